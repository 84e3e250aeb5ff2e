package pspeerstate

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
)

// FuzzFetch fetches arbitrary response bodies. A state that is accepted must be valid.
func FuzzFetch(f *testing.F) {
	for _, text := range []string{
		`{"configuration":{"version":1},"servers":[{"id":"i-1","service":"s","address":"1.2.3.4:5","failureDomain":"a","slots":4}]}`,
		`{"configuration":{"version":-1}}`, `{"configuration":{"routes":[{}]}}`, `{"servers":[{}]}`, `{`, `null`,
	} {
		f.Add([]byte(text))
	}
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerAge, "1s")
		_, _ = w.Write(body)
	}))
	f.Cleanup(server.Close)
	c, clean := NewClient(nil)
	f.Cleanup(clean)
	at := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f.Fuzz(func(t *testing.T, data []byte) {
		body = data
		response, err := c.Fetch(context.Background(), at, "")
		if err != nil {
			return
		}
		if err := response.State.Check(); err != nil {
			t.Fatalf("invalid control state was accepted: %s", err)
		}
		if _, err := json.Marshal(response.State.Configuration); err != nil {
			t.Fatalf("accepted configuration can't be passed on: %s", err)
		}
	})
}
