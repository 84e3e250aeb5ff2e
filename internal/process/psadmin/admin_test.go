package psadmin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// emptyPlans has no configuration, and no VM answers.
type emptyPlans struct{}

func (emptyPlans) Plan() *psplan.Plan                             { return psplan.Empty() }
func (emptyPlans) Versions(context.Context) map[psdoc.Name]uint64 { return nil }
func (emptyPlans) serve(h http.Handler, r *http.Request) (int, http.Header, string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w.Code, w.Header(), w.Body.String()
}

func newAPI(t *testing.T, log *strings.Builder) http.Handler {
	path := filepath.Join(t.TempDir(), "token")
	qt.Assert(t, os.WriteFile(path, []byte("secret-token\n"), 0o600), qt.IsNil)
	token, err := psadmin.NewToken(path, time.Now)
	qt.Assert(t, err, qt.IsNil)
	a := &psadmin.API{
		Self: "vm-1", Token: token, Plans: emptyPlans{}, Fleet: emptyPlans{}, Registry: prometheus.NewRegistry(),
		Logger: hclog.New(&hclog.LoggerOptions{Output: log}),
	}
	return a.Handler()
}

func get(path, token string) *http.Request {
	r := httptest.NewRequest(http.MethodGet, path, nil)
	if token != "" {
		r.Header.Set("Authorization", token)
	}
	return r
}

func TestCallsWithoutTheTokenAreRefused(t *testing.T) {
	var log strings.Builder
	h := newAPI(t, &log)
	for _, token := range []string{"", "Bearer ", "Bearer wrong", "secret-token", "Basic secret-token"} {
		status, _, _ := emptyPlans{}.serve(h, get("/v1/status", token))
		qt.Check(t, status, qt.Equals, http.StatusUnauthorized, qt.Commentf("%q", token))
	}
	qt.Assert(t, log.String(), qt.Contains, "event=1012")
	qt.Assert(t, log.String(), qt.Not(qt.Contains), "wrong")
	status, _, _ := emptyPlans{}.serve(h, get("/v1/status", "Bearer secret-token"))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
}

func TestWrongTokensDoNotUseUpTheOperatorsRate(t *testing.T) {
	var log strings.Builder
	h := newAPI(t, &log)
	var last int
	var header http.Header
	for range 100 {
		last, header, _ = emptyPlans{}.serve(h, get("/v1/status", "Bearer wrong"))
	}
	qt.Assert(t, last, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, header.Get("Retry-After"), qt.Equals, "1")
	last, _, _ = emptyPlans{}.serve(h, get("/v1/status", "Bearer secret-token"))
	qt.Assert(t, last, qt.Equals, http.StatusOK)
	for range 1000 {
		last, header, _ = emptyPlans{}.serve(h, get("/v1/status", "Bearer secret-token"))
		if last == http.StatusTooManyRequests {
			break
		}
	}
	qt.Assert(t, last, qt.Equals, http.StatusTooManyRequests)
	qt.Assert(t, header.Get("Retry-After"), qt.Equals, "1")
}

func TestOpenPaths(t *testing.T) {
	var log strings.Builder
	h := newAPI(t, &log)
	status, _, text := emptyPlans{}.serve(h, get("/openapi.json", ""))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	for _, path := range []string{"/v1/apply", "/v1/keys/withdraw", "/v1/drain", "/v1/explain", "/v1/documents/{name}"} {
		qt.Check(t, text, qt.Contains, `"`+path+`"`)
	}
	status, _, _ = emptyPlans{}.serve(h, get("/healthz", ""))
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	status, _, _ = emptyPlans{}.serve(h, get("/readyz", ""))
	qt.Assert(t, status, qt.Equals, http.StatusServiceUnavailable)
}

func TestAnEmptyTokenFileIsRefused(t *testing.T) {
	path := filepath.Join(t.TempDir(), "token")
	qt.Assert(t, os.WriteFile(path, []byte(" \n"), 0o600), qt.IsNil)
	_, err := psadmin.NewToken(path, time.Now)
	qt.Assert(t, err, qt.ErrorMatches, ".* is empty")
}
