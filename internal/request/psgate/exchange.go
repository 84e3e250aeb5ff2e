package psgate

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/request/pskey"
	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// exchange is the life of one request.
type exchange struct {
	gate    *Gate
	id      string
	began   time.Time
	writer  http.ResponseWriter
	request *http.Request

	plan      *psplan.Plan
	route     *psplan.Route
	workspace *psplan.Workspace
	home      *psplan.Region
	// body is the whole body; nil where it is streamed.
	body []byte
	// tries are the attempts so far.
	tries tries
	// status is the status of the answer.
	status int
}

func newExchange(g *Gate, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{gate: g, id: newID(), began: time.Now(), writer: w, request: r, plan: g.Plans.Plan()}
}

// identifierBytes is the entropy of a request id.
const identifierBytes = 12

func newID() string {
	var b [identifierBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// run takes the request through its steps.
func (x *exchange) run() error {
	steps := []func() error{x.match, x.authenticate, x.spend, x.readBody}
	for _, s := range steps {
		if err := s(); err != nil {
			return err
		}
	}
	x.home = x.gate.Homes.Home(x.plan, clientAddress(x.request))
	if x.route.Kind == psdoc.KindExclusive {
		return x.runExclusive()
	}
	return x.runPlain()
}

// clientAddress is the caller's address as the connection shows it.
func clientAddress(r *http.Request) netip.Addr {
	a, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

func (x *exchange) match() error {
	if x.plan.Version == 0 {
		return psproblem.New(http.StatusServiceUnavailable, "noConfiguration", "no configuration is in force yet").After(time.Second)
	}
	r, found := x.plan.Match(x.request.URL.Path)
	if !found {
		return psproblem.New(http.StatusNotFound, "noRoute", "no route matches the path")
	}
	x.route = r
	return nil
}

func (x *exchange) authenticate() error {
	k, found, err := pskey.Take(x.request.Header)
	if err != nil {
		return psproblem.New(http.StatusBadRequest, "badKey", err.Error())
	}
	if found {
		if err := x.identify(k); err != nil {
			return err
		}
	} else if !x.route.Open {
		return unauthorized()
	}
	if (pskey.Scan{Own: k, Known: x.digestOf}).Find(x.request) {
		return psproblem.New(http.StatusBadRequest, "keyElsewhere", "the call holds a key outside the header Authorization")
	}
	return nil
}

// identify finds the workspace of a key.
func (x *exchange) identify(k pskey.Key) error {
	known, found := x.plan.Key(k.ID)
	if !found || !k.Matches(known.Digest) || x.gate.Withdrawals.Has(k.ID) {
		return unauthorized()
	}
	x.workspace = known.Workspace
	if !x.workspace.MayUse(x.route) {
		return psproblem.New(http.StatusForbidden, "routeForbidden", "the key's workspace may not use the route")
	}
	return nil
}

func (x *exchange) digestOf(id psdoc.Name) (psdoc.Digest, bool) {
	k, found := x.plan.Key(id)
	if !found {
		return psdoc.Digest{}, false
	}
	return k.Digest, true
}

func unauthorized() error {
	return psproblem.New(http.StatusUnauthorized, "badKey", "the key is missing, unknown or withdrawn")
}

func (x *exchange) spend() error {
	if x.workspace == nil {
		return nil
	}
	return x.gate.Limiter.Spend(x.request.Context(), x.plan, x.workspace)
}

// readBody takes in the whole body, except on upload routes, where it is streamed.
func (x *exchange) readBody() error {
	if x.request.ContentLength > x.route.MaxBodyBytes {
		return tooLarge()
	}
	x.request.Body = http.MaxBytesReader(x.writer, x.request.Body, x.route.MaxBodyBytes)
	if x.route.Kind == psdoc.KindUpload {
		return nil
	}
	body, err := io.ReadAll(x.request.Body)
	var m *http.MaxBytesError
	if errors.As(err, &m) {
		return tooLarge()
	}
	if err != nil {
		return psproblem.New(http.StatusBadRequest, "badBody", "the body could not be read to its end")
	}
	x.body = body
	return nil
}

func tooLarge() error {
	return psproblem.New(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is larger than the route allows")
}

func (x *exchange) workspaceName() psdoc.Name {
	if x.workspace == nil {
		return ""
	}
	return x.workspace.Name
}

func (x *exchange) routeName() psdoc.Name {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

// deadline bounds the exchange; uploads are bounded by progress instead.
func (x *exchange) deadline(parent context.Context) (context.Context, context.CancelFunc) {
	if x.route.Kind == psdoc.KindUpload {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, x.began.Add(x.route.Deadline))
}
