package pscli

import (
	"context"
	"net/netip"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/pscheck"
)

// checkCommand validates files.
type checkCommand struct {
	Settings      []string       `type:"existingfile" help:"Settings files of VMs. Their regions are those that a configuration may name."`
	Configuration []string       `type:"existingfile" help:"Configurations as the store holds them (JSON)."`
	Against       string         `type:"existingfile" help:"The configuration in force (JSON), to print what differs from it."`
	VM            netip.AddrPort `xor:"state" help:"The address at which a VM serves operators, to check against its servers and the version in force."`
	State         string         `xor:"state" type:"existingfile" help:"A state that status saved, instead of a VM."`
	JSON          bool           `name:"json" help:"Print each finding as a line of JSON."`
	Scenarios     []string       `arg:"" optional:"" type:"existingfile" help:"Scenarios of experiments (TOML)."`
}

// Help describes the output.
func (*checkCommand) Help() string {
	return `Each finding is a line "file:line:column: severity: path: text (code)". Severities:
error: VMs would ignore the file. warning: an entry that can never match or take effect, limits that contradict each other, or a
change to look at twice. note: any other change, or an unknown field, which VMs ignore.

Exit codes: 0 without errors and warnings, 1 with any, 2 if a file can't be read as what it should be, or for wrong usage.`
}

// Run prints the findings of all files.
func (c *checkCommand) Run(ctx context.Context, s streams) error {
	if len(c.Settings)+len(c.Configuration)+len(c.Scenarios) == 0 {
		return errors.New("check: no file given")
	}
	if len(c.Configuration) == 0 && (c.Against != "" || c.State != "" || c.VM.IsValid()) {
		return errors.New("check: no configuration given to compare with the one in force")
	}
	in, err := c.installation(ctx)
	if err != nil {
		return err
	}
	r := &pscheck.Report{}
	for _, path := range c.Settings {
		r.Settings(path, in)
	}
	for _, path := range c.Configuration {
		r.Configuration(path, in)
	}
	for _, path := range c.Scenarios {
		r.Scenario(path)
	}
	if err := r.Print(s.out, c.JSON); err != nil {
		return err
	}
	switch {
	case r.Unusable():
		return &exitError{code: ExitFailed}
	case r.Faulty():
		return &exitError{code: ExitFindings}
	}
	return nil
}

// installation reads the version in force and the state.
func (c *checkCommand) installation(ctx context.Context) (*pscheck.Installation, error) {
	in := &pscheck.Installation{}
	if c.State != "" || c.VM.IsValid() {
		e := explainCommand{VM: c.VM, State: c.State}
		state, err := e.state(ctx)
		if err != nil {
			return nil, err
		}
		if err := in.SetState(state); err != nil {
			return nil, err
		}
	}
	if c.Against != "" {
		if err := in.ReadInForce(c.Against); err != nil {
			return nil, err
		}
	}
	return in, nil
}
