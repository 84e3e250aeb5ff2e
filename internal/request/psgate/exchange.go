package psgate

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
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
	// controller sets the deadlines of the caller's connection.
	controller *http.ResponseController

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
	// broken says that the answer broke off after the caller saw a part of it.
	broken bool
}

func newExchange(g *Gate, w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		gate: g, id: newID(), began: time.Now(), plan: g.Plans.Plan(),
		writer: w, request: r, controller: http.NewResponseController(w),
	}
}

// newID makes a request id. It need not be secret, so it takes no random bytes from the system.
func newID() string {
	const bytes = 12
	var b [bytes]byte
	binary.BigEndian.PutUint64(b[:], rand.Uint64())
	binary.BigEndian.PutUint32(b[8:], rand.Uint32())
	var text [2 * bytes]byte
	hex.Encode(text[:], b[:])
	return string(text[:])
}

// run takes the request through its steps.
func (x *exchange) run() error {
	steps := []func() error{x.match, x.checkContact, x.authenticate, x.spend, x.readBody}
	for _, s := range steps {
		if err := s(); err != nil {
			return err
		}
	}
	x.home = x.gate.Homes.Home(x.plan, clientAddress(x.request))
	switch x.route.Kind {
	case psdoc.KindExclusive:
		return x.runExclusive()
	case psdoc.KindUpload:
		return x.runUpload()
	}
	return x.runLookup()
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
	x.allowWrite(r.Deadline + callerTimeout)
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
	if x.request.ContentLength == 0 {
		return nil
	}
	x.request.Body = http.MaxBytesReader(x.writer, x.request.Body, x.route.MaxBodyBytes)
	if x.route.Kind == psdoc.KindUpload {
		return nil
	}
	_ = x.controller.SetReadDeadline(x.began.Add(x.route.Deadline))
	body, err := x.readAll()
	var m *http.MaxBytesError
	switch {
	case errors.As(err, &m):
		return tooLarge()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return psproblem.New(http.StatusRequestTimeout, "slowBody", "the body did not arrive in time")
	case err != nil:
		return psproblem.New(http.StatusBadRequest, "badBody", "the body could not be read to its end")
	}
	_ = x.controller.SetReadDeadline(time.Time{})
	x.body = body
	return nil
}

// readAll reads the body into a buffer of its length where that is known.
func (x *exchange) readAll() ([]byte, error) {
	if x.request.ContentLength < 0 {
		return io.ReadAll(x.request.Body)
	}
	body := make([]byte, x.request.ContentLength)
	_, err := io.ReadFull(x.request.Body, body)
	return body, err
}

func tooLarge() *psproblem.Problem {
	return psproblem.New(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is larger than the route allows")
}

// connections is this VM's part of the connections that a backend server holds.
func (x *exchange) connections(s *psplan.Server) int {
	self, found := x.plan.VM(x.gate.Self)
	if !found {
		return 0
	}
	return psplan.ConnectionsOf(x.plan, s, self.Domain)
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

// deadline bounds the exchange.
func (x *exchange) deadline(parent context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(parent, x.began.Add(x.route.Deadline))
}
