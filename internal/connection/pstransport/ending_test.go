package pstransport

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pssocket"
)

// TestEndCountsOnlyIfNoWriteCanHaveTakenTheError covers each state of the socket and of the write of the request.
func TestEndCountsOnlyIfNoWriteCanHaveTakenTheError(t *testing.T) {
	for _, v := range []struct {
		end                          pssocket.Ending
		writing, written, writeError bool
	}{
		{pssocket.EndedRegularly, true, true, true},
		{pssocket.EndedAbruptly, false, true, false},
		{pssocket.EndingUnknown, false, true, false},
	} {
		qt.Check(t, closedRegularly(v.end, writing), qt.Equals, v.writing)
		qt.Check(t, closedRegularly(v.end, written), qt.Equals, v.written)
		qt.Check(t, closedRegularly(v.end, writeFailed), qt.Equals, v.writeError)
	}
}
