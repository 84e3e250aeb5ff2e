package psobject_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psobject"
)

func TestRecentEvictsLeastRecentlySent(t *testing.T) {
	m := psobject.NewRecent()
	for o := range uint64(64) {
		m.Add(o)
	}
	m.Add(0)
	m.Add(100)
	qt.Assert(t, m.Contains(0), qt.IsTrue)
	qt.Assert(t, m.Contains(1), qt.IsFalse)
	qt.Assert(t, m.Objects(), qt.HasLen, 64)
}
