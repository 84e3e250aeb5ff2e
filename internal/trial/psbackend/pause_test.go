package psbackend_test

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/trial/psbackend"
	"persimmonstep/internal/trial/psbehaviour"
)

// TestRequestsDuringPauseAreCounted checks that a server counts the requests during a pause that it requested.
// Requests right after its response don't count, because they may have been in flight already.
func TestRequestsDuringPauseAreCounted(t *testing.T) {
	s, clean, err := psbackend.New(t.Context(), "i-1", netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	defer clean()
	s.Set(psbehaviour.Behaviour{Pause: 2 * time.Second, Leaving: true})
	send := func() *http.Response {
		response, err := http.Get("http://" + s.Address.String() + "/orders/1") //nolint:noctx // a test's request
		qt.Assert(t, err, qt.IsNil)
		_ = response.Body.Close()
		return response
	}
	response := send()
	qt.Assert(t, response.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	qt.Assert(t, response.Header.Get("Retry-After"), qt.Equals, "2.000")
	send()
	qt.Assert(t, s.Stats().RequestsInPause, qt.Equals, 0)
	time.Sleep(600 * time.Millisecond)
	s.Set(psbehaviour.Behaviour{})
	for range 3 {
		send()
	}
	qt.Assert(t, s.Stats().RequestsInPause, qt.Equals, 3)
	qt.Assert(t, s.Stats().Runs, qt.Equals, 3)
}
