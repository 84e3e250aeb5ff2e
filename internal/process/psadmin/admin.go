// Package psadmin is the administration API of a VM.
//
// Every VM offers the whole API on its operator address: none is set aside for control.
// All calls but health, metrics and the API's description need the operators' bearer
// token. Each change is logged with its author, target and outcome.
package psadmin

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/time/rate"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/request/psroute"
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

// Fleet asks the VMs of the plan which version they have in force.
type Fleet interface {
	// Versions returns the version of each VM that answers before the context ends.
	Versions(ctx context.Context) map[psdoc.Name]uint64
}

// Withdrawer withdraws keys without the platform.
type Withdrawer interface {
	// Withdraw returns the VMs that honour the withdrawals, and those that did not answer.
	Withdraw(ctx context.Context, ids ...psdoc.Name) (confirmed, missing []psdoc.Name)
	// Has reports whether the key is withdrawn.
	Has(id psdoc.Name) bool
}

// Slots shows the backend servers of a route as a request would find them.
type Slots interface {
	Candidates(r *psplan.Route) []psroute.Candidate
}

// Homes finds the region in which a caller's requests run without being shifted.
type Homes interface {
	Home(p *psplan.Plan, caller netip.Addr) *psplan.Region
}

// API serves operators.
type API struct {
	Self       psdoc.Name
	Token      *Token
	Plans      Plans
	Versions   Versions
	Confirmer  Confirmer
	Fleet      Fleet
	Withdrawer Withdrawer
	Slots      Slots
	Homes      Homes
	Quarantine Quarantine
	Registry   *prometheus.Registry
	Logger     hclog.Logger
}

const (
	tokenScheme = "operatorToken"
	bearer      = "Bearer "

	// callsPerSecond and callBurst bound the authorized calls to one VM.
	callsPerSecond = 50
	callBurst      = 100
	// refusalsPerSecond and refusalBurst bound the answers to calls without the token.
	refusalsPerSecond = 5
	refusalBurst      = 20

	// confirmTimeout bounds the wait for all VMs after a change.
	confirmTimeout = 5 * time.Second
	// statusTimeout bounds the wait for all VMs of a status.
	statusTimeout = time.Second
)

// Handler returns the API as an HTTP handler.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	c := huma.DefaultConfig("persimmonstep administration", "1")
	c.Components.SecuritySchemes = map[string]*huma.SecurityScheme{tokenScheme: {Type: "http", Scheme: "bearer"}}
	c.Security = []map[string][]string{{tokenScheme: {}}}
	h := humago.New(mux, c)
	h.UseMiddleware(a.authorize(h), a.limit(h))
	a.registerVersions(h)
	a.registerDocuments(h)
	a.registerKeys(h)
	a.registerDrains(h)
	a.registerQuarantine(h)
	a.registerExplain(h)
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

// middleware is a step before an operation.
type middleware = func(huma.Context, func(huma.Context))

// authorize demands the operators' token. Calls without it have a bound of their own, so
// that they cannot use up that of the operators.
func (a *API) authorize(h huma.API) middleware {
	refusals := rate.NewLimiter(refusalsPerSecond, refusalBurst)
	return func(ctx huma.Context, next func(huma.Context)) {
		token, found := strings.CutPrefix(ctx.Header("Authorization"), bearer)
		if found && a.Token.Matches(token) {
			next(ctx)
			return
		}
		if !refusals.Allow() {
			a.tooMany(h, ctx)
			return
		}
		psevent.OperatorRefused.Log(a.Logger, ctx.RemoteAddr(), ctx.URL().Path, "token")
		_ = huma.WriteErr(h, ctx, http.StatusUnauthorized, "the operators' token is missing or wrong")
	}
}

// limit bounds the operators' calls.
func (a *API) limit(h huma.API) middleware {
	calls := rate.NewLimiter(callsPerSecond, callBurst)
	return func(ctx huma.Context, next func(huma.Context)) {
		if !calls.Allow() {
			psevent.OperatorRefused.Log(a.Logger, ctx.RemoteAddr(), ctx.URL().Path, "rate")
			a.tooMany(h, ctx)
			return
		}
		next(ctx)
	}
}

func (a *API) tooMany(h huma.API, ctx huma.Context) {
	ctx.SetHeader("Retry-After", "1")
	_ = huma.WriteErr(h, ctx, http.StatusTooManyRequests, "too many calls to this VM's administration API")
}

// output wraps a body as huma wants it.
type output[T any] struct {
	Body T
}

// input wraps a body as huma wants it.
type input[T any] struct {
	Body T
}

// register adds an operation that reads its input from the body.
func register[In, Out any](h huma.API, id, method, path, summary string, f func(context.Context, In) (Out, error)) {
	huma.Register(h, huma.Operation{OperationID: id, Method: method, Path: path, Summary: summary},
		func(ctx context.Context, in *input[In]) (*output[Out], error) {
			out, err := f(ctx, in.Body)
			return &output[Out]{out}, err
		})
}

// registerList adds an operation without input.
func registerList[Out any](h huma.API, id, path, summary string, f func(context.Context) (Out, error)) {
	huma.Register(h, huma.Operation{OperationID: id, Method: http.MethodGet, Path: path, Summary: summary},
		func(ctx context.Context, _ *struct{}) (*output[Out], error) {
			out, err := f(ctx)
			return &output[Out]{out}, err
		})
}
