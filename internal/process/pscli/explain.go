package pscli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psstate"
)

// explainCommand explains the routing decision for a request.
type explainCommand struct {
	VM        netip.AddrPort `xor:"from" required:"" help:"The address at which a VM serves operators."`
	State     string         `xor:"from" required:"" type:"existingfile" help:"A state that status saved."`
	Host      string         `required:"" help:"The host that the request is for."`
	Path      string         `required:"" help:"The request's path."`
	Object    string         `help:"What the request is about, as its caller names it."`
	Workspace string         `help:"The workspace that holds the request's key."`
	Bytes     int            `help:"The size of the body."`
	Left      time.Duration  `help:"How long the caller waits; the route's timeout when absent."`
	JSON      bool           `name:"json" help:"Print JSON."`
}

// Run prints the decision.
func (c *explainCommand) Run(ctx context.Context, s streams) error {
	state, err := c.state(ctx)
	if err != nil {
		return err
	}
	e, err := psstate.Explain(state, psstate.Query{
		Host: c.Host, Path: c.Path, Object: c.Object, Workspace: c.Workspace, Bytes: c.Bytes, Remaining: c.Left,
	})
	if err != nil {
		return &exitError{code: ExitFindings, text: err.Error()}
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(s.out).Encode(e), "print explanation")
	}
	return printExplanation(s, e)
}

func (c *explainCommand) state(ctx context.Context) (psstate.State, error) {
	if c.State == "" {
		return psadmin.FetchState(ctx, c.VM)
	}
	data, err := os.ReadFile(c.State)
	if err != nil {
		return psstate.State{}, errors.Wrap(err, "read state")
	}
	var v psstate.State
	return v, errors.Wrap(json.Unmarshal(data, &v), "decode state")
}

func printExplanation(s streams, e psstate.Explanation) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "version %d, route %s\n", e.Version, e.Route)
	if e.Rate != nil {
		_, _ = fmt.Fprintf(t, "workspace %s: %.1f requests/s, burst %.1f, kept by one VM for all: %t\n", e.Workspace, e.Rate.PerSecond, e.Rate.Burst, e.Rate.SingleOwner)
	}
	if u := e.Usage; u != nil {
		_, _ = fmt.Fprintf(t, "workspace %s at this VM: %.2f requests/s, usually %.2f, ratio %.1f relative to the others, busy at %d other VMs; when slots are short %.0f%% of its requests yield to others of their priority\n",
			e.Workspace, u.Recent, u.Usual, u.Ratio, u.BusyAt, 100*u.Beyond)
	}
	for _, v := range e.Services {
		_, _ = fmt.Fprintf(t, "service %s, %.0f%% of the requests: %s", v.Name, 100*v.Fraction, v.Outcome)
		if v.Reason != "" {
			_, _ = fmt.Fprintf(t, " (%s), come back after %s", v.Reason, v.RetryAfter)
		}
		for _, c := range v.Demand {
			_, _ = fmt.Fprintf(t, "\npriority %d: %.0f%% of the requests, %.0f%% more urgent, %.0f%% rejected for lack of slots, %.0f%% beyond the usual amount of their workspace",
				c.Priority, 100*c.Fraction, 100*c.Above, 100*c.Rejected, 100*c.Beyond)
		}
		_, _ = fmt.Fprintf(t, "\nthis request, priority %d: wait %s, sent up to %s to %s, overload %.2f", v.Last.Priority,
			roundDuration(v.Last.Wait), roundDuration(v.First.MaxWait), roundDuration(v.Last.MaxWait), v.Last.Overload)
		_, _ = fmt.Fprintln(t, "\nserver\tfailure domain\trank\tcost\twait\trun\ttravel\tload\tslowness\tspeed\tfailures\tsent before\tlimit")
		for _, o := range v.Candidates {
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%s\t%.1f\t%.2f\t%.2f\t%.2f\t%t\t%s\n", o.Server, o.FailureDomain, o.Rank,
				roundDuration(o.Cost), roundDuration(o.Wait), roundDuration(o.Run), roundDuration(o.RoundTrip), o.Load, o.Slowness, o.Speed, o.FailureRate, o.ObjectSent, describeLimit(o))
		}
		for _, id := range lo.Keys(v.Excluded) {
			_, _ = fmt.Fprintf(t, "%s\tpassed over: %s\n", id, v.Excluded[id])
		}
	}
	return errors.Wrap(t.Flush(), "print explanation")
}

func describeLimit(c psstate.Candidate) string {
	if !c.Limit.Named {
		return ""
	}
	return fmt.Sprintf("%s/s, tokens of %s requested for %.0f%%", c.Limit, c.TokenOwner, 100*c.RequestedFraction)
}

func roundDuration(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }
