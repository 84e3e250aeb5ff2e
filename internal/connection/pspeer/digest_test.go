package pspeer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/netip"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestDenseMessagesAreRefused covers messages of a few bytes for each element, also compressed, which take many times their
// length when they are decoded.
func TestDenseMessagesAreRefused(t *testing.T) {
	var compressed bytes.Buffer
	z := gzip.NewWriter(&compressed)
	_, _ = z.Write([]byte(`{"reports":[` + strings.Repeat("{},", 300<<10) + `{}]}`))
	_ = z.Close()
	params, err := json.Marshal(compressedDigest{compressed.Bytes()})
	qt.Assert(t, err, qt.IsNil)
	for _, text := range []string{
		`{"method":"digest","params":` + string(params) + `}`,
		`{"method":"report","params":{"vm":"a","departed":[` + strings.Repeat("{},", 10<<10) + `{}]}}`,
	} {
		qt.Assert(t, len(text) < maxDatagramBytes, qt.IsTrue, qt.Commentf("%d bytes", len(text)))
		e := &Endpoint{}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := e.handleDatagram(strictHandler{t}, []byte(text), netip.AddrPort{})
		runtime.ReadMemStats(&after)
		qt.Check(t, err, qt.ErrorMatches, ".*too large")
		qt.Check(t, after.TotalAlloc-before.TotalAlloc < 8<<20, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
	}
}
