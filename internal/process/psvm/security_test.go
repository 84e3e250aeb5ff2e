package psvm

import (
	"crypto/tls"
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/connection/pstls"
)

func TestCallersMaySpeakHTTP2OverTLS(t *testing.T) {
	a, err := pstls.NewAuthority()
	qt.Assert(t, err, qt.IsNil)
	m, err := a.Issue("vm-1")
	qt.Assert(t, err, qt.IsNil)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s := newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	go serve(s, security{callers: pstls.Fixed{Value: m}}.listener(l))
	t.Cleanup(func() { _ = s.Close() })
	for _, h2 := range []bool{true, false} {
		transport := &http.Transport{ForceAttemptHTTP2: h2, TLSClientConfig: &tls.Config{RootCAs: m.Authorities, ServerName: "vm-1"}}
		answer, err := (&http.Client{Transport: transport}).Get("https://" + l.Addr().String()) //nolint:noctx // a test's request
		qt.Assert(t, err, qt.IsNil)
		_ = answer.Body.Close()
		qt.Assert(t, answer.ProtoMajor == 2, qt.Equals, h2)
		transport.CloseIdleConnections()
	}
}
