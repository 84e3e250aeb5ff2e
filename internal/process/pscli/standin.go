package pscli

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/pstoml"
)

// standinCommand runs the platform stand-in alone.
type standinCommand struct {
	Settings string `required:"" type:"existingfile" help:"The stand-in's settings (TOML)."`
}

// standinSettings are those of the platform stand-in.
type standinSettings struct {
	// Listen is the address to listen on.
	Listen netip.AddrPort `toml:"listen"`
	// Faults is the fault table.
	Faults []standinFault `toml:"faults"`
	// Machines is the VM list.
	Machines []standinMachine `toml:"machines"`
}

// standinFault is a row of the fault table as settings write it.
type standinFault struct {
	Path  string              `toml:"path"`
	Kind  psstandin.FaultKind `toml:"kind"`
	Delay psdoc.Duration      `toml:"delay"`
	Count int                 `toml:"count"`
}

// standinMachine is an entry of the VM list as settings write it.
type standinMachine struct {
	Name  psdoc.Name `toml:"name"`
	State string     `toml:"state"`
}

// Run serves until the context ends.
func (c *standinCommand) Run(ctx context.Context) error {
	data, err := os.ReadFile(c.Settings)
	if err != nil {
		return errors.Wrap(err, "read the stand-in's settings")
	}
	s, source, findings := pstoml.Decode[standinSettings](c.Settings, data)
	if source != nil && !s.Listen.IsValid() && !source.Faulty("listen") {
		findings = append(findings, source.Finding("listen", "the stand-in needs the address listen"))
	}
	if len(findings) > 0 {
		return findingsOr(findings)
	}
	server, stop, err := psstandin.NewServer(ctx, s.Listen)
	if err != nil {
		return err
	}
	defer stop()
	for _, m := range s.Machines {
		server.Store.SetMachine(string(m.Name), psplatform.MachineState(m.State))
	}
	server.Faults.Set(s.faults()...)
	<-ctx.Done()
	return nil
}

func (s standinSettings) faults() []psstandin.Fault {
	out := make([]psstandin.Fault, 0, len(s.Faults))
	for _, f := range s.Faults {
		out = append(out, psstandin.Fault{Path: f.Path, Kind: f.Kind, Delay: time.Duration(f.Delay.Duration), Count: f.Count})
	}
	return out
}
