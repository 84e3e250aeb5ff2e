package psstate

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/pslimit"
	"persimmonstep/internal/request/psadmission"
	"persimmonstep/internal/request/psplacement"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/request/psshed"
	"persimmonstep/internal/request/psusage"
	"persimmonstep/internal/version/psconfig"
)

// Query describes a request to explain.
type Query struct {
	Host, Path string
	// Object names the object that the request is about, as its caller does.
	Object string
	// Workspace is the workspace of the request's key; empty on a route without keys.
	Workspace string
	// Bytes is the size of the request body.
	Bytes int
	// Remaining is the time that the caller still waits; 0 means the route's timeout.
	Remaining time.Duration
}

// Outcome is the decision for a request.
type Outcome string

const (
	// OutcomeSent means that the request goes to the first candidate.
	OutcomeSent Outcome = "sent"
	// OutcomeRejected means that the request is rejected, with a reason.
	OutcomeRejected Outcome = "rejected"
)

// Rate is the rate that a VM grants a workspace.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	// SingleOwner states that one VM owns the tokens and grants them to all VMs.
	SingleOwner bool `json:"kept"`
}

// Candidate is a server with its estimates for the request.
type Candidate struct {
	Server        string        `json:"server"`
	FailureDomain string        `json:"failureDomain"`
	Rank          int           `json:"rank"`
	Cost          time.Duration `json:"cost"`
	Wait          time.Duration `json:"wait"`
	Run           time.Duration `json:"run"`
	RoundTrip     time.Duration `json:"travel"`
	Load          float64       `json:"load"`
	LoadAge       time.Duration `json:"loadAge"`
	Slowness      float64       `json:"slowness"`
	// Speed is how much longer than usual work takes on the server's machine at the moment, as far as it is known.
	Speed       float64 `json:"speed"`
	FailureRate float64 `json:"failures"`
	// ObjectSent states that this VM recently sent a request for the object to the server.
	ObjectSent bool `json:"sent"`
	// Limit is the server's limit. With one the request needs a token of TokenOwner, and the VM requests one for a
	// fraction of such requests. Without a token, the request goes to the next candidate whose limit is not used up.
	Limit             pslimit.Limit `json:"limit,omitzero"`
	TokenOwner        string        `json:"tokenOwner,omitempty"`
	RequestedFraction float64       `json:"tokenPart,omitempty"`
}

// Service is the decision for the request if it goes to one of the route's services.
type Service struct {
	Name string `json:"name"`
	// Fraction is the fraction of the route's requests that go to the service.
	Fraction float64 `json:"part"`
	Outcome  Outcome `json:"outcome"`
	Reason   string  `json:"reason,omitempty"`
	// RetryAfter is the time after which a rejected caller is asked to retry.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Demand is the present demand by priorities. Among the requests of the same class and workspace, First is the basis of the
	// decision on the one that is rejected first when slots are short, and Last that of the one that is rejected last.
	Demand psshed.Demand     `json:"demand,omitempty"`
	First  psadmission.Basis `json:"first,omitzero"`
	Last   psadmission.Basis `json:"last,omitzero"`
	// Candidates are the servers that may run the request, the best one first.
	Candidates []Candidate `json:"candidates"`
	// Excluded gives the reason why each other server of the service may not run it, by id.
	Excluded map[string]string `json:"passed"`
}

// Explanation is the decision for a request, with its inputs.
type Explanation struct {
	Version   int64  `json:"version"`
	Route     string `json:"route"`
	Workspace string `json:"workspace,omitempty"`
	// Rate is nil without a workspace or a limit.
	Rate *Rate `json:"rate,omitempty"`
	// Usage is what the VM knows of the amount of the workspace's requests; nil without a workspace or any request of it.
	Usage *psusage.Amount `json:"usage,omitempty"`
	// Services are the services of the route.
	Services []Service `json:"services"`
}

// mostlyBeyond is the fraction of a workspace's requests beyond its usual amount from which on a single one is taken for one of
// them.
const mostlyBeyond = 0.5

// Explain returns the decision that the VM would have made for a request. Its error is the cause for which the
// request would have been rejected before a server was chosen.
func Explain(s State, q Query) (Explanation, error) {
	if s.Configuration == nil {
		return Explanation{}, errors.New("explain request: the VM has no configuration")
	}
	x := psconfig.NewIndex(s.Configuration)
	r, found := x.Route(q.Host, q.Path)
	if !found {
		return Explanation{}, errors.Errorf("explain request: host %q has no route for path %q", q.Host, q.Path)
	}
	e := Explanation{Version: s.Configuration.Version, Route: r.Name}
	var w *psconfig.Workspace
	if !r.Public && x.HasWorkspaces() {
		if w, found = x.WorkspaceByName(q.Workspace); !found {
			return Explanation{}, errors.Errorf("explain request: route %q requires a workspace: unknown workspace %q", r.Name, q.Workspace)
		}
		e.Workspace = w.Name
		if w.Rate > 0 {
			e.Rate = lo.ToPtr(s.limit(*w))
		}
		if a, known := s.Usages[w.Name]; known {
			e.Usage = &a
		}
	}
	beyond := 0.0
	if e.Usage != nil {
		beyond = e.Usage.Beyond
	}
	sum := lo.SumBy(r.Backends, func(b psconfig.Backend) float64 { return b.Weight })
	for _, b := range r.Backends {
		v := s.explainService(b.Service, q, r, w, beyond)
		v.Fraction = b.Weight / sum
		e.Services = append(e.Services, v)
	}
	return e, nil
}

// explainService returns the decision for the request at a service. beyond is the fraction of the workspace's requests that
// exceeds its usual amount.
func (s *State) explainService(service string, q Query, r *psconfig.Route, w *psconfig.Workspace, beyond float64) Service {
	v := Service{Name: service, Outcome: OutcomeRejected, Reason: "noServer", Excluded: make(map[string]string)}
	object := psselect.ObjectOf(r, q.Object, q.Object)
	request := psselect.Request{
		Route: r, Workspace: w, Object: object, Bytes: q.Bytes + s.ResponseBytes[r.Name], From: s.Place, ArrivedAt: s.TakenAt,
		Runs: s.Runs[r.Name], MeanRun: s.MeanRuns[service], Remaining: q.Remaining,
		Demand: s.Demands[service], BeyondUsual: beyond >= mostlyBeyond,
	}
	if request.Remaining <= 0 {
		request.Remaining = r.Timeout
	}
	allowed := psselect.Allowed(r, w)
	var options []psselect.Option
	var servers []*Server
	for i := range s.Servers {
		o := &s.Servers[i]
		if o.Entry.Service != service {
			continue
		}
		if reason := s.exclusionReason(o, allowed); reason != "" {
			v.Excluded[o.Entry.ID] = reason
			continue
		}
		options = append(options, psselect.Option{
			View: o.View, Region: o.Region, RoundTrip: s.RoundTrips[o.Entry.FailureDomain], ObjectSent: slices.Contains(o.Objects, object), NeedsToken: o.Limit.Named,
		})
		servers = append(servers, o)
	}
	if len(options) == 0 {
		return v
	}
	choice := psselect.Choose(options, request)
	ranked := psselect.Rank(options, request)
	chosen := slices.IndexFunc(ranked, func(c psplacement.Ranked) bool { return c.Index == choice.Index })
	first := ranked[chosen]
	ranked = slices.Insert(slices.Delete(ranked, chosen, chosen+1), 0, first)
	v.Candidates = lo.Map(ranked, func(c psplacement.Ranked, _ int) Candidate { return candidate(c, servers[c.Index]) })
	v.decide(psselect.Admit(choice, request))
	v.Demand = request.Demand
	v.First, v.Last = psselect.Bounds(choice, request, beyond)
	return v
}

// exclusionReason returns why a server may not run the request; empty if it may.
func (s *State) exclusionReason(o *Server, allowed func(region string) bool) string {
	switch {
	case !allowed(o.Region):
		return "region not allowed"
	case slices.Contains(s.Evacuated, o.Entry.FailureDomain):
		return "failure domain evacuated"
	case !o.Usable:
		return "draining or failed"
	case o.Cold && !o.ColdSender:
		return "cold, and served by other VMs"
	}
	return ""
}

func candidate(c psplacement.Ranked, s *Server) Candidate {
	return Candidate{
		Server: s.Entry.ID, FailureDomain: s.Entry.FailureDomain, Rank: c.Rank, Cost: c.Cost,
		Wait: c.Wait, Run: c.Run, RoundTrip: c.RoundTrip, Load: s.Load, LoadAge: s.LoadAge,
		Slowness: s.Slowness, Speed: s.Speed.Now(), FailureRate: s.FailureRate, ObjectSent: c.LikelyCached,
		Limit: s.Limit, TokenOwner: s.TokenOwner, RequestedFraction: s.RequestedFraction,
	}
}

func (v *Service) decide(verdict psadmission.Verdict) {
	switch d := verdict.(type) {
	case psadmission.Admitted:
		v.Outcome, v.Reason = OutcomeSent, ""
	case psadmission.Rejected:
		v.Reason, v.RetryAfter = d.Reason, d.RetryAfter
	}
}
