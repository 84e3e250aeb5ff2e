package pscli

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/request/pskey"
	"persimmonstep/internal/version/psdoc"
)

// keyCommands are the operations on keys.
type keyCommands struct {
	Issue    issueCommand    `cmd:"" help:"Make a key for a workspace and print it once."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw keys; works while the platform is down."`
	List     keysCommand     `cmd:"" help:"List the keys in force."`
}

// issueCommand makes a key. The secret never leaves the command: VMs get its digest.
type issueCommand struct {
	change
	Workspace psdoc.Name `arg:"" help:"The workspace."`
}

// issued is the printed key.
type issued struct {
	ID        psdoc.Name `json:"id"`
	Key       string     `json:"key"`
	Workspace psdoc.Name `json:"workspace"`
	psadmin.ApplyResponse
}

// Run enters the key's digest and prints the key.
func (c *issueCommand) Run(ctx context.Context, s streams) error {
	k := pskey.New()
	in := psadmin.IssueRequest{Operation: c.operation(), ID: k.ID, Workspace: c.Workspace, Digest: psdoc.DigestOf(k.Secret)}
	client, err := c.client()
	if err != nil {
		return err
	}
	out, err := client.change(ctx, call{http.MethodPost, "/v1/keys", in})
	if err != nil {
		// A repeat would make another key, so the unclear one is named for its withdrawal.
		var u *unclearError
		if errors.As(err, &u) {
			return &exitError{code: ExitUnknown, text: fmt.Sprintf("persimmonstep: %v; key %s may be in force and was not printed: withdraw it", err, k.ID)}
		}
		return err
	}
	granted := out.Outcome == psadmin.OutcomeInForce || out.Outcome == psadmin.OutcomeAccepted
	switch {
	case c.JSON:
		answer := issued{ID: k.ID, Workspace: c.Workspace, ApplyResponse: out}
		if granted {
			answer.Key = k.String()
		}
		printJSON(s.out, answer)
	default:
		if granted {
			_, _ = fmt.Fprintf(s.out, "id: %s\nkey: %s\n", k.ID, k)
		}
		printApply(s.out, out)
		if out.Outcome == psadmin.OutcomeUnknown {
			_, _ = fmt.Fprintf(s.out, "key %s may be in force and was not printed: withdraw it\n", k.ID)
		}
	}
	return applyExit(out.Outcome)
}

// withdrawCommand withdraws keys at every VM that can be reached.
type withdrawCommand struct {
	target
	Keys []psdoc.Name `arg:"" name:"key-id" help:"The ids of the keys, the part before the dot."`
}

// withdrawal is the printed answer.
type withdrawal struct {
	Keys      []psdoc.Name `json:"keys"`
	Confirmed []psdoc.Name `json:"confirmed"`
	Missing   []psdoc.Name `json:"missing"`
	// Unknown lists the ids that no asked VM's configuration holds.
	Unknown []psdoc.Name `json:"unknown,omitempty"`
}

// Run tells every VM, so that VMs which cannot reach each other learn of it as well.
func (c *withdrawCommand) Run(ctx context.Context, s streams) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	for _, id := range c.Keys {
		if err := new(psdoc.Name).UnmarshalText([]byte(id)); err != nil {
			return errors.Wrap(err, "a key id is the part before the dot")
		}
	}
	var status psadmin.StatusResponse
	_, _ = client.ask(ctx, call{http.MethodGet, "/v1/status", nil}, &status)
	addresses := lo.Uniq(slices.Concat(client.addresses, lo.Map(status.VMs, func(v psadmin.VMStatus, _ int) netip.AddrPort { return v.Operator })))
	answers, err := client.withdraw(ctx, addresses, psadmin.WithdrawRequest{Author: author(), IDs: c.Keys})
	if len(answers) == 0 {
		return err
	}
	out := summarize(c.Keys, status, answers)
	if c.JSON {
		printJSON(s.out, out)
	} else {
		printWithdrawal(s, out)
	}
	if len(out.Missing) > 0 {
		return &exitError{code: ExitAccepted}
	}
	return nil
}

// withdraw asks all VMs at a time and returns their answers and the last failure.
func (c *client) withdraw(ctx context.Context, addresses []netip.AddrPort, in psadmin.WithdrawRequest) ([]psadmin.WithdrawResponse, error) {
	var mutex sync.Mutex
	var asking sync.WaitGroup
	var answers []psadmin.WithdrawResponse
	var last error
	for _, a := range addresses {
		asking.Go(func() {
			var out psadmin.WithdrawResponse
			err := c.askOne(ctx, a, call{http.MethodPost, "/v1/keys/withdraw", in}, &out)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				last = err
				return
			}
			answers = append(answers, out)
		})
	}
	asking.Wait()
	return answers, last
}

// summarize joins the answers: a VM has confirmed if any answer says so.
func summarize(keys []psdoc.Name, status psadmin.StatusResponse, answers []psadmin.WithdrawResponse) withdrawal {
	out := withdrawal{Keys: keys, Confirmed: []psdoc.Name{}, Unknown: keys}
	all := lo.Map(status.VMs, func(v psadmin.VMStatus, _ int) psdoc.Name { return v.Name })
	for _, a := range answers {
		out.Confirmed = append(append(out.Confirmed, a.VM), a.Confirmed...)
		all = append(all, a.Missing...)
		out.Unknown = lo.Intersect(out.Unknown, a.Unknown)
	}
	out.Confirmed = lo.Uniq(out.Confirmed)
	out.Missing = lo.Uniq(lo.Without(all, out.Confirmed...))
	slices.Sort(out.Confirmed)
	slices.Sort(out.Missing)
	return out
}

func printWithdrawal(s streams, w withdrawal) {
	_, _ = fmt.Fprintf(s.out, "withdrawn: %s\nconfirmed: %s\n", join(w.Keys), join(w.Confirmed))
	if len(w.Missing) > 0 {
		_, _ = fmt.Fprintf(s.out, "not confirmed: %s\n", join(w.Missing))
	}
	if len(w.Unknown) > 0 {
		_, _ = fmt.Fprintf(s.out, "in no configuration: %s\n", join(w.Unknown))
	}
}

// keysCommand lists keys.
type keysCommand struct {
	target
}

// Run prints the keys.
func (c *keysCommand) Run(ctx context.Context, s streams) error {
	return listing(ctx, s, c.target, call{http.MethodGet, "/v1/keys", nil}, func(r psadmin.KeysResponse) {
		for _, k := range r.Keys {
			_, _ = fmt.Fprintf(s.out, "%s  %s  %s\n", k.ID, k.Workspace, lo.Ternary(k.Withdrawn, "withdrawn", "in force"))
		}
	})
}

// drainCommand drains a backend server.
type drainCommand struct {
	change
	Server psdoc.Name `arg:"" help:"The backend server."`
}

// Run orders the drain.
func (c *drainCommand) Run(ctx context.Context, s streams) error {
	return c.send(ctx, s, call{http.MethodPost, "/v1/drain", psadmin.DrainRequest{Operation: c.operation(), Server: c.Server}}, nil)
}

// undrainCommand ends a drain.
type undrainCommand struct {
	change
	Server psdoc.Name `arg:"" help:"The backend server."`
}

// Run ends the drain.
func (c *undrainCommand) Run(ctx context.Context, s streams) error {
	return c.send(ctx, s, call{http.MethodPost, "/v1/undrain", psadmin.DrainRequest{Operation: c.operation(), Server: c.Server}}, nil)
}
