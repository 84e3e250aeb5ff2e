package pscli

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psstate"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
	"persimmonstep/platform/psdocument"
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

// The rules for whole files.
const (
	codeUnreadable psconfig.Code = "unreadable"
	codeSyntax     psconfig.Code = "syntax"
	codeSettings   psconfig.Code = "settings"
	codeScenario   psconfig.Code = "scenario"
	codeUnknown    psconfig.Code = "unknown"
)

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
	r := &report{}
	for _, path := range c.Settings {
		r.file(path, func(data []byte) []fileFinding { return checkSettings(data, in) })
	}
	for _, path := range c.Configuration {
		r.file(path, func(data []byte) []fileFinding { return checkConfiguration(data, in) })
	}
	for _, path := range c.Scenarios {
		r.file(path, func(data []byte) []fileFinding { return checkScenario(path, data) })
	}
	return r.print(s.out, c.JSON)
}

// installation is what configurations are checked against.
type installation struct {
	fleet pslint.Fleet
	// inForce is the version in force; nil without one. document locates its values, and file is where it was read from; both
	// are empty if it is that of a state.
	inForce  *psconfig.Configuration
	document *psdocument.Document
	file     string
}

// installation reads the version in force and the state.
func (c *checkCommand) installation(ctx context.Context) (*installation, error) {
	in := &installation{}
	if c.State != "" || c.VM.IsValid() {
		e := explainCommand{VM: c.VM, State: c.State}
		state, err := e.state(ctx)
		if err != nil {
			return nil, err
		}
		if state.Configuration == nil {
			return nil, errors.New("check: the VM has no configuration")
		}
		in.fleet, in.inForce = fleetOf(state), state.Configuration
	}
	if c.Against == "" {
		return in, nil
	}
	data, err := os.ReadFile(c.Against)
	if err != nil {
		return nil, errors.Wrap(err, "read configuration in force")
	}
	d, err := psdocument.Read(data)
	if err != nil {
		return nil, errors.Wrapf(err, "configuration in force %s", c.Against)
	}
	if faults := append(d.Faults, d.Configuration.Check()...); len(faults) > 0 {
		return nil, errors.Errorf("configuration in force %s: %s", c.Against, faults[0])
	}
	in.inForce, in.document, in.file = d.Configuration, d, c.Against
	return in, nil
}

// fleetOf returns what a state shows of the installation.
func fleetOf(s psstate.State) pslint.Fleet {
	f := pslint.Fleet{VMs: s.FleetSize, Runs: map[string]time.Duration{}}
	for _, v := range s.Servers {
		f.Servers = append(f.Servers, pslint.Server{Service: v.Entry.Service, Region: v.Region})
	}
	for name, runs := range s.Runs {
		f.Runs[name] = min(runs.Cached, runs.Uncached)
	}
	for _, d := range s.RoundTrips {
		if d > 0 && (f.RoundTrip == 0 || d < f.RoundTrip) {
			f.RoundTrip = d
		}
	}
	return f
}
