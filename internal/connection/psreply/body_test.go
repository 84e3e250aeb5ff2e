package psreply_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/psreply"
)

// exchange records whether the caller has to read or send something.
type exchange struct{ forCaller atomic.Bool }

func (*exchange) BeginResponse(must, whenLast bool) bool { return must || whenLast }
func (*exchange) BodyRead()                              {}
func (*exchange) SetReadDeadline(time.Time) error        { return nil }
func (e *exchange) Wait(forCaller bool)                  { e.forCaller.Store(forCaller) }
func (*exchange) Break()                                 {}

// TestUnreadContinueWaitsForCaller covers a caller that waits for 100 Continue and doesn't read it. The connection must count as
// blocked by the caller, so that it can make room for others.
func TestUnreadContinueWaitsForCaller(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()  //nolint:errcheck // nothing is left to do
	defer near.Close() //nolint:errcheck // nothing is left to do
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "/", io.NopCloser(strings.NewReader("x")))
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Expect", "100-continue")
	e := &exchange{}
	psreply.New(psreply.Options{Exchange: e, Conn: near, Request: r})
	go func() { _, _ = io.Copy(io.Discard, r.Body) }()
	for end := time.Now().Add(5 * time.Second); !e.forCaller.Load(); time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(end), qt.IsTrue)
	}
}
