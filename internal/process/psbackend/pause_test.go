package psbackend_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/process/psbackend"
)

// TestRequestsInAQuietTimeAreCounted sends requests right after a server has asked for quiet, which may
// cross its answer, and later ones.
func TestRequestsDuringPauseAreCounted(t *testing.T) {
	s, clean, err := psbackend.New(t.Context(), "i-1", netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	defer clean()
	s.Set(psbackend.Behaviour{Pause: 2 * time.Second, Leaving: true})
	send := func() *http.Response {
		answer, err := http.Get("http://" + s.Address.String() + "/orders/1") //nolint:noctx // a test's request
		qt.Assert(t, err, qt.IsNil)
		_ = answer.Body.Close()
		return answer
	}
	answer := send()
	qt.Assert(t, answer.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, answer.Header.Get("Retry-After"), qt.Equals, "2.000")
	send()
	qt.Assert(t, s.Stats().RequestsInPause, qt.Equals, 0)
	time.Sleep(600 * time.Millisecond)
	s.Set(psbackend.Behaviour{})
	for range 3 {
		send()
	}
	qt.Assert(t, s.Stats().RequestsInPause, qt.Equals, 3)
	qt.Assert(t, s.Stats().Runs, qt.Equals, 3)
}
