package psadmin

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/request/psroute"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// ExplainRequest describes a request that is not sent.
type ExplainRequest struct {
	// Path is the request's path.
	Path string `json:"path" minLength:"1" maxLength:"2000"`
	// KeyID names the caller's key; the secret is not asked for.
	KeyID psdoc.Name `json:"keyId,omitempty"`
	// Workspace stands for any valid key of the workspace where no KeyID is given.
	Workspace psdoc.Name `json:"workspace,omitempty"`
	// Client is the caller's address; when absent the caller is one of this VM's failure domain.
	Client string `json:"client,omitempty" maxLength:"50"`
	// BodyBytes is the length of the request's body.
	BodyBytes int64 `json:"bodyBytes,omitempty" minimum:"0"`
	// Tried names servers that an earlier attempt was sent to.
	Tried []psdoc.Name `json:"tried,omitempty" maxItems:"10"`
}

// ExplainResponse says what would be decided and why.
type ExplainResponse struct {
	// VM is the deciding VM, and Version the configuration that it has in force.
	VM      psdoc.Name `json:"vm"`
	Version uint64     `json:"version"`
	// FailureDomain is where the deciding VM stands.
	FailureDomain psdoc.Name `json:"failureDomain,omitempty"`
	// Route, RouteKind and Workspace are what the request was matched with.
	Route     psdoc.Name      `json:"route,omitempty"`
	RouteKind psdoc.RouteKind `json:"routeKind,omitempty"`
	Workspace psdoc.Name      `json:"workspace,omitempty"`
	// Home is the region in which the request runs without being shifted.
	Home psdoc.Name `json:"home,omitempty"`
	// Refusal is the answer of the first step that refuses the request; nil where none does.
	Refusal *psproblem.Problem `json:"refusal,omitempty"`
	// Candidates lists the backend servers of the route.
	Candidates []ExplainCandidate `json:"candidates,omitempty"`
	// Decision is what happens while the shift cap is used up, and Shifted while it has room.
	Decision *ExplainDecision `json:"decision,omitempty"`
	Shifted  *ExplainDecision `json:"shifted,omitempty"`
	// Conditions lists what may still refuse the request and depends on the moment.
	Conditions []string `json:"conditions,omitempty"`
}

// ExplainCandidate is a backend server as the VM sees it.
type ExplainCandidate struct {
	Server        psdoc.Name `json:"server"`
	FailureDomain psdoc.Name `json:"failureDomain"`
	Region        psdoc.Name `json:"region"`
	// Limit is the number of slots that this VM may use, InFlight the number that it uses.
	Limit    int `json:"limit"`
	InFlight int `json:"inFlight"`
	// Leaving says that the configuration drains the server; Excluded that it gets no new work.
	Leaving  bool `json:"leaving"`
	Excluded bool `json:"excluded"`
	// Shifted says that the server stands outside the home region.
	Shifted bool `json:"shifted"`
	// Latency is the recently observed time of one request; 0s when unknown.
	Latency string `json:"latency"`
}

// ExplainDecision is one decision of the router.
type ExplainDecision struct {
	// Action is send, wait or refuse.
	Action string `json:"action"`
	// Server is the chosen backend server.
	Server psdoc.Name `json:"server,omitempty"`
	// Reason names the rule.
	Reason psroute.Reason `json:"reason"`
}

// String is the decision in one line.
func (d *ExplainDecision) String() string {
	return strings.TrimSpace(fmt.Sprintf("%s %s (%s)", d.Action, d.Server, d.Reason))
}

func (a *API) registerExplain(h huma.API) {
	register(h, "explain", http.MethodPost, "/v1/explain", "Explain a decision without sending the request", a.explain)
}

func (a *API) explain(_ context.Context, r ExplainRequest) (ExplainResponse, error) {
	p := a.Plans.Plan()
	out := ExplainResponse{VM: a.Self, Version: p.Version}
	request := psroute.Request{MayShift: false}
	if v, found := p.VM(a.Self); found {
		request.Domain, out.FailureDomain = v.Domain, v.Domain.Name
	}
	if out.Refusal = a.admit(p, r, &request); request.Route != nil {
		out.Route, out.RouteKind = request.Route.Name, request.Route.Kind
	}
	if request.Workspace != nil {
		out.Workspace = request.Workspace.Name
	}
	if out.Refusal != nil {
		return out, nil
	}
	client, err := clientOf(r.Client)
	if err != nil {
		return out, huma.Error422UnprocessableEntity("the client is not an IP address", err)
	}
	if request.Home = a.Homes.Home(p, client); request.Home != nil {
		out.Home = request.Home.Name
	}
	a.decide(r, request, p, &out)
	return out, nil
}

func clientOf(text string) (netip.Addr, error) {
	if text == "" {
		return netip.Addr{}, nil
	}
	return netip.ParseAddr(text)
}

// admit goes through the steps before a backend server is chosen.
func (a *API) admit(p *psplan.Plan, r ExplainRequest, request *psroute.Request) *psproblem.Problem {
	if p.Version == 0 {
		return psproblem.New(http.StatusServiceUnavailable, "noConfiguration", "no configuration is in force yet")
	}
	route, found := p.Match(r.Path)
	if !found {
		return psproblem.New(http.StatusNotFound, "noRoute", "no route matches the path")
	}
	request.Route = route
	if refusal := a.admitKey(p, r, request); refusal != nil {
		return refusal
	}
	if request.Workspace != nil && !request.Workspace.MayUse(route) {
		return psproblem.New(http.StatusForbidden, "routeForbidden", "the key's workspace may not use the route")
	}
	if r.BodyBytes > route.MaxBodyBytes {
		return psproblem.New(http.StatusRequestEntityTooLarge, "bodyTooLarge", "the body is larger than the route allows")
	}
	return nil
}

func (a *API) admitKey(p *psplan.Plan, r ExplainRequest, request *psroute.Request) *psproblem.Problem {
	if r.KeyID == "" {
		w, found := p.Workspace(r.Workspace)
		request.Workspace = w
		if found || (r.Workspace == "" && request.Route.Open) {
			return nil
		}
		return psproblem.New(http.StatusUnauthorized, "badKey", "the request has no key, or the workspace is unknown")
	}
	k, found := p.Key(r.KeyID)
	if !found {
		return psproblem.New(http.StatusUnauthorized, "badKey", "the key is unknown")
	}
	request.Workspace = k.Workspace
	if a.Withdrawer.Has(r.KeyID) {
		return psproblem.New(http.StatusUnauthorized, "badKey", "the key is withdrawn")
	}
	return nil
}

// decide shows the candidates and asks the router twice.
func (a *API) decide(r ExplainRequest, request psroute.Request, p *psplan.Plan, out *ExplainResponse) {
	for _, n := range r.Tried {
		if s, found := p.Server(n); found {
			request.Tried = append(request.Tried, s)
		}
	}
	candidates := a.Slots.Candidates(request.Route)
	for _, c := range candidates {
		out.Candidates = append(out.Candidates, ExplainCandidate{
			Server: c.Server.Name, FailureDomain: c.Server.Domain.Name, Region: c.Server.Domain.Region.Name,
			Limit: c.Limit, InFlight: c.InFlight, Leaving: c.Server.Leaving, Excluded: c.Excluded,
			Shifted: psroute.Shifted(request, c.Server), Latency: c.Latency.Round(time.Microsecond).String(),
		})
	}
	out.Decision = decisionOf(psroute.Decide(request, candidates))
	request.MayShift = true
	out.Shifted = decisionOf(psroute.Decide(request, candidates))
	out.Conditions = conditionsOf(request)
}

func decisionOf(d psroute.Decision) *ExplainDecision {
	switch v := d.(type) {
	case psroute.Send:
		return &ExplainDecision{Action: "send", Server: v.Server.Name, Reason: v.Reason}
	case psroute.Wait:
		return &ExplainDecision{Action: "wait", Reason: v.Reason}
	case psroute.Refuse:
		return &ExplainDecision{Action: "refuse", Reason: v.Reason}
	}
	panic("psadmin: unknown decision")
}

// conditionsOf lists what depends on the moment.
func conditionsOf(r psroute.Request) []string {
	out := []string{"503 while the VM is cut off and the route's whenCutOff policy refuses"}
	if r.Workspace != nil {
		out = append(out, "429 while the workspace is over its rate")
	}
	if r.Route.Kind == psdoc.KindExclusive {
		out = append(out, "409 while a request with the same Idempotency-Key runs", "503 while the platform's table is down")
	}
	return out
}
