package psdecode_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psdecode"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/version/psconfig"
)

// TestDecodedDocumentTakesNoMoreThanEstimated guards against an estimate that is too low for dense documents.
func TestDecodedDocumentTakesNoMoreThanEstimated(t *testing.T) {
	list := func(element string) string { return "[" + strings.Repeat(element+",", 50000) + element + "]" }
	for _, v := range []struct {
		text string
		to   func() any
	}{
		{list(`{}`), func() any { return new([]psmessage.ForwardedReport) }},
		{list(`{}`), func() any { return new([]psconfig.Route) }},
		{list(`""`), func() any { return new([]string) }},
		{list(`{"a":1}`), func() any { return new([]map[string]int) }},
		{list(`[]`), func() any { return new([][]string) }},
	} {
		to := v.to()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		qt.Assert(t, json.Unmarshal([]byte(v.text), to), qt.IsNil)
		runtime.GC()
		runtime.ReadMemStats(&after)
		took := int64(after.HeapAlloc - before.HeapAlloc)
		qt.Check(t, took < psdecode.Size([]byte(v.text)), qt.IsTrue, qt.Commentf("%T: %d bytes, %d estimated", to, took, psdecode.Size([]byte(v.text))))
		runtime.KeepAlive(to)
	}
}

func TestTextInStringsIsNotCounted(t *testing.T) {
	for _, text := range []string{`"{[,"`, `"\"{"`, `"\\"`} {
		qt.Check(t, psdecode.Size([]byte(text)), qt.Equals, int64(len(text)))
	}
	qt.Check(t, psdecode.Size([]byte(`"\\",{`)) > 512, qt.IsTrue)
}

func TestLongInputIsRefused(t *testing.T) {
	for n := range 6 {
		data, err := psdecode.ReadAll(strings.NewReader("1234"), int64(n))
		qt.Check(t, fmt.Sprint(string(data), err == nil), qt.Equals, map[bool]string{true: "1234true", false: "false"}[n >= 4])
	}
}
