package pssteer_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psserver"
	"persimmonstep/platform/psstandin"
)

// TestServerThatLeftBetweenPagesGetsRequests guards against a leaving that a starting VM never learns of: the server's
// entry is on the first page of the table, and says draining before the VM reads the second page.
func TestServerThatLeftBetweenPagesGetsRequests(t *testing.T) {
	t.Parallel()
	server := startBackend(t, 0)
	s := startStore(t, server)
	other := entry(startBackend(t, 0))
	other.ID, other.Service = "i-2", "prices"
	s.Register(other)
	left := false
	s.SetPaging(psstandin.Paging{Rows: 1, After: func(string) {
		if !left {
			left = true
			e := entry(server)
			e.State, e.Sequence = psserver.Draining, 2
			s.Register(e)
		}
	}})
	v := startVM(t, "vm-1", s)
	eventually(t, "the VM is ready", func() bool { return isReady(v) })
	time.Sleep(time.Second)
	qt.Assert(t, status(v), qt.Equals, http.StatusServiceUnavailable)
}
