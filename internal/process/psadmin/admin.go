// Package psadmin is the administration API of a VM.
//
// Every VM offers the whole API on its operator address: none is set aside for control.
// All calls but health and metrics need the operators' bearer token.
package psadmin

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
	"persimmonstep/internal/version/psversion"
)

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Versions reads and writes configuration versions.
type Versions interface {
	Apply(ctx context.Context, c psversion.Change) (psversion.Head, error)
	History(ctx context.Context, limit int) ([]psversion.Head, error)
	Latest(ctx context.Context) (psversion.Head, error)
	Load(ctx context.Context, h psversion.Head) (*psversion.Content, error)
}

// Confirmer finds out which VMs have a version in force.
type Confirmer interface {
	// Confirm waits until all VMs have the version or the context ends.
	Confirm(ctx context.Context, version uint64) (confirmed, missing []psdoc.Name)
}

// API serves operators.
type API struct {
	Self      psdoc.Name
	Token     string
	Plans     Plans
	Versions  Versions
	Confirmer Confirmer
	Registry  *prometheus.Registry
	Logger    hclog.Logger
}

const tokenScheme = "operatorToken"

// Handler returns the API as an HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	c := huma.DefaultConfig("persimmonstep administration", "1")
	c.Components.SecuritySchemes = map[string]*huma.SecurityScheme{tokenScheme: {Type: "http", Scheme: "bearer"}}
	c.Security = []map[string][]string{{tokenScheme: {}}}
	h := humago.New(mux, c)
	h.UseMiddleware(a.authorize(h))
	a.registerVersions(h)
	a.registerStatus(h)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.Handle("GET /metrics", promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	return mux
}

// ready answers 200 once a configuration is in force.
func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if a.Plans.Plan().Version == 0 {
		http.Error(w, "no configuration is in force", http.StatusServiceUnavailable)
	}
}

// authorize demands the operators' token.
func (a *API) authorize(h huma.API) func(huma.Context, func(huma.Context)) {
	return func(ctx huma.Context, next func(huma.Context)) {
		token, _ := strings.CutPrefix(ctx.Header("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(token), []byte(a.Token)) != 1 {
			_ = huma.WriteErr(h, ctx, http.StatusUnauthorized, "the operators' token is missing or wrong")
			return
		}
		next(ctx)
	}
}

const (
	// confirmTimeout bounds the wait for all VMs after an apply.
	confirmTimeout = 5 * time.Second
	// statusTimeout bounds the wait for all VMs of a status.
	statusTimeout = time.Second
)
