package psdev_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psdev"
)

func start(t *testing.T) *psdev.System {
	t.Helper()
	s, stop, err := psdev.New(context.Background(), psdev.Example(), hclog.NewNullLogger())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(stop)
	return s
}

func send(t *testing.T, method, url, key string, body io.Reader) (*http.Response, []byte) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, body)
	qt.Assert(t, err, qt.IsNil)
	if key != "" {
		r.Header.Set("authorization", "Bearer "+key)
	}
	a, err := http.DefaultClient.Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer a.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(a.Body)
	qt.Assert(t, err, qt.IsNil)
	return a, text
}

func TestRequestThroughEveryVM(t *testing.T) {
	c := qt.New(t)
	s := start(t)
	w := s.Ready.Workspaces[0]
	for _, v := range s.Ready.Callers {
		a, text := send(t, "GET", "http://"+v.String()+"/prices/eggs?size=large", w.Key, nil)
		c.Assert(a.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
		c.Assert(a.Header.Get("X-Request-Id"), qt.Not(qt.Equals), "")
		var e psbackend.Echo
		c.Assert(json.Unmarshal(text, &e), qt.IsNil)
		c.Assert(e.Workspace, qt.Equals, string(w.Name))
		_, secret, _ := strings.Cut(w.Key, ".")
		c.Assert(strings.Contains(string(text), secret), qt.IsFalse)
	}
}

func TestRefusals(t *testing.T) {
	s := start(t)
	base := "http://" + s.Ready.Callers[0].String()
	tests := []struct {
		name, path, key string
		status          int
		code            string
	}{
		{"no key", "/prices/x", "", http.StatusUnauthorized, "badKey"},
		{"unknown key", "/prices/x", "nobody.secret", http.StatusUnauthorized, "badKey"},
		{"malformed key", "/prices/x", "nodot", http.StatusBadRequest, "badKey"},
		{"no route", "/nowhere", s.Ready.Workspaces[0].Key, http.StatusNotFound, "noRoute"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a, text := send(t, "GET", base+tt.path, tt.key, nil)
			c.Assert(a.StatusCode, qt.Equals, tt.status)
			c.Assert(a.Header.Get("Persimmonstep-Ran"), qt.Equals, "no")
			c.Assert(string(text), qt.Contains, `"code":"`+tt.code+`"`)
		})
	}
}
