package psstate

import (
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/request/psadmit"
	"persimmonstep/internal/request/psplace"
	"persimmonstep/internal/request/psselect"
	"persimmonstep/internal/version/psconfig"
)

// Question is a request to explain.
type Question struct {
	Host, Path string
	// Object is what the request is about, as its caller names it.
	Object string
	// Workspace holds the request's key; empty on a route without keys.
	Workspace string
	// Bytes is the size of the body.
	Bytes int
	// Left is how long the caller waits; 0 stands for the route's timeout.
	Left time.Duration
}

// Outcome is what would be decided.
type Outcome string

const (
	// OutcomeSent requests go to the first candidate.
	OutcomeSent Outcome = "sent"
	// OutcomeRejected requests are rejected, with a reason.
	OutcomeRejected Outcome = "rejected"
)

// Rate is what a VM grants a workspace.
type Rate struct {
	PerSecond float64 `json:"perSecond"`
	Burst     float64 `json:"burst"`
	// Kept says that one VM keeps the tokens for all VMs.
	Kept bool `json:"kept"`
}

// Candidate is a server with what is expected of it.
type Candidate struct {
	Server        string        `json:"server"`
	FailureDomain string        `json:"failureDomain"`
	Rank          int           `json:"rank"`
	Cost          time.Duration `json:"cost"`
	Wait          time.Duration `json:"wait"`
	Run           time.Duration `json:"run"`
	Travel        time.Duration `json:"travel"`
	Load          float64       `json:"load"`
	LoadAge       time.Duration `json:"loadAge"`
	Slowness      float64       `json:"slowness"`
	Failures      float64       `json:"failures"`
	Sent          bool          `json:"sent"`
}

// Service is what would be decided if the request went to one of the route's services.
type Service struct {
	Name string `json:"name"`
	// Part is the part of the route's requests that go there.
	Part    float64 `json:"part"`
	Outcome Outcome `json:"outcome"`
	Reason  string  `json:"reason,omitempty"`
	// RetryAfter is when a rejected caller is told to come back.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Candidates are the servers that may run the request, the best one first.
	Candidates []Candidate `json:"candidates"`
	// Passed says why each other server of the service may not.
	Passed map[string]string `json:"passed"`
}

// Explanation tells what would be decided for a request.
type Explanation struct {
	Version   int64  `json:"version"`
	Route     string `json:"route"`
	Workspace string `json:"workspace,omitempty"`
	// Rate is what the VM grants the workspace, nil without a workspace or a limit.
	Rate *Rate `json:"rate,omitempty"`
	// Services are those of the route.
	Services []Service `json:"services"`
}

// Explain tells what the VM would have decided for a request. Its error says what the
// request would have been refused for before any server was looked at.
func Explain(s State, q Question) (Explanation, error) {
	if s.Configuration == nil {
		return Explanation{}, errors.New("the VM has no configuration")
	}
	x := psconfig.NewIndex(s.Configuration)
	r, found := x.Route(q.Host, q.Path)
	if !found {
		return Explanation{}, errors.Errorf("host %q has no route for %q", q.Host, q.Path)
	}
	e := Explanation{Version: s.Configuration.Version, Route: r.Name}
	var w *psconfig.Workspace
	if !r.Public && x.HasWorkspaces() {
		if w, found = x.Named(q.Workspace); !found {
			return Explanation{}, errors.Errorf("route %q needs a workspace, and %q is none", r.Name, q.Workspace)
		}
		e.Workspace = w.Name
		if w.Rate > 0 {
			e.Rate = lo.ToPtr(s.limit(*w))
		}
	}
	sum := lo.SumBy(r.Backends, func(b psconfig.Backend) float64 { return b.Weight })
	for _, b := range r.Backends {
		v := s.explainService(b.Service, q, r, w)
		v.Part = b.Weight / sum
		e.Services = append(e.Services, v)
	}
	return e, nil
}

func (s *State) explainService(service string, q Question, r *psconfig.Route, w *psconfig.Workspace) Service {
	v := Service{Name: service, Outcome: OutcomeRejected, Reason: "noServer", Passed: make(map[string]string)}
	object := psselect.ObjectOf(r, q.Object, q.Object)
	request := psselect.Request{
		Route: r, Workspace: w, Object: object, Bytes: q.Bytes + s.AnswerBytes[r.Name], From: s.Place, ArrivedAt: s.TakenAt,
		Runs: s.Runs[r.Name], MeanRun: s.MeanRuns[service], Left: q.Left,
	}
	if request.Left <= 0 {
		request.Left = r.Timeout
	}
	allowed := psselect.Allowed(r, w)
	var options []psselect.Option
	for i := range s.Servers {
		o := &s.Servers[i]
		if o.Entry.Service != service {
			continue
		}
		if reason := s.passedFor(o, allowed); reason != "" {
			v.Passed[o.Entry.ID] = reason
			continue
		}
		options = append(options, psselect.Option{
			View: o.View, Region: o.Region, Travel: s.Travels[o.Entry.FailureDomain], Sent: slices.Contains(o.Objects, object),
		})
	}
	if len(options) == 0 {
		return v
	}
	ranked := psselect.Rank(options, request)
	v.Candidates = lo.Map(ranked, func(c psplace.Weighed, _ int) Candidate { return candidate(c, options[c.Index]) })
	v.decide(psselect.Admit(ranked[0].Choice, request))
	return v
}

// passedFor returns why a server may not run the request; empty where it may.
func (s *State) passedFor(o *Server, allowed func(region string) bool) string {
	switch {
	case !allowed(o.Region):
		return "region not allowed"
	case slices.Contains(s.Evacuated, o.Entry.FailureDomain):
		return "failure domain evacuated"
	case !o.Usable:
		return "draining or failed"
	case o.Cold && !o.MayGetCold:
		return "cold, and served by other VMs"
	}
	return ""
}

func candidate(c psplace.Weighed, o psselect.Option) Candidate {
	return Candidate{
		Server: o.View.Entry.ID, FailureDomain: o.View.Entry.FailureDomain, Rank: c.Rank, Cost: c.Cost,
		Wait: c.Wait, Run: c.Run, Travel: c.Travel, Load: o.View.Load, LoadAge: o.View.LoadAge,
		Slowness: o.View.Slowness, Failures: o.View.FailureRate, Sent: o.Sent,
	}
}

func (v *Service) decide(verdict psadmit.Verdict) {
	switch d := verdict.(type) {
	case psadmit.Admitted:
		v.Outcome, v.Reason = OutcomeSent, ""
	case psadmit.Rejected:
		v.Reason, v.RetryAfter = d.Reason, d.After
	}
}
