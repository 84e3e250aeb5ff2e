package pscli_test

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
)

// deafServer takes each call and closes the connection without an answer.
func deafServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // a test's listener
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1))
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}
