package pspeer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/jsonrpc2"
)

func FuzzReadObject(f *testing.F) {
	seed := func(v any) []byte {
		var b bytes.Buffer
		if err := (codec{}).WriteObject(&b, v); err != nil {
			panic(err)
		}
		return b.Bytes()
	}
	f.Add(seed(jsonrpc2.Request{Method: "heartbeat", ID: jsonrpc2.ID{Num: 1}}))
	f.Add(seed(map[string]int{"a": 1}))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add([]byte{5, '{', '}'})
	f.Fuzz(func(t *testing.T, data []byte) {
		var v json.RawMessage
		r := bufio.NewReader(bytes.NewReader(append(data, seed(1)...)))
		if (codec{}).ReadObject(r, &v) == nil && !json.Valid(v) {
			t.Fatalf("%q was taken", v)
		}
	})
}

func TestBackoffIsBounded(t *testing.T) {
	for n := range 100 {
		d := backoff(n)
		qt.Assert(t, d >= minBackoff/2 && d <= time.Second, qt.IsTrue, qt.Commentf("%d: %s", n, d))
	}
}
