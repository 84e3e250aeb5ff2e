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

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psstate"
)

// statusCommand prints the state of VMs.
type statusCommand struct {
	VM   []netip.AddrPort `required:"" help:"Addresses at which VMs serve operators."`
	JSON bool             `name:"json" help:"Print JSON."`
	Save string           `help:"Write the state of the first VM to this file, for explain."`
}

// Run prints a line for each VM, and a line for each server that the first VM knows.
func (c *statusCommand) Run(ctx context.Context, s streams) error {
	var all []psstate.State
	for _, a := range c.VM {
		v, err := psadmin.FetchState(ctx, a)
		if err != nil {
			return err
		}
		all = append(all, v)
	}
	if c.Save != "" {
		if err := save(c.Save, all[0]); err != nil {
			return err
		}
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(s.out).Encode(all), "print states")
	}
	return printStates(s, all)
}

func save(path string, v psstate.State) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode state")
	}
	return errors.Wrap(os.WriteFile(path, append(data, '\n'), 0o600), "save state")
}

func printStates(s streams, all []psstate.State) error {
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "vm\tfailure domain\tready\tversion\tservers read\tfleet\tdirected\tin flight\tevacuated")
	for _, v := range all {
		version := int64(0)
		if v.Configuration != nil {
			version = v.Configuration.Version
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%t\t%d\t%s ago\t%d\t%d\t%d\t%v\n", v.VM, v.Place.FailureDomain, v.Ready, version,
			v.ServersAge.Round(time.Millisecond), v.FleetSize, len(v.VMs), v.InFlight, v.Evacuated)
	}
	_, _ = fmt.Fprintf(t, "\nservers as %s sees them\nserver\tservice\tfailure domain\tusable\tcold\tload\tslots\tslowness\tfailures\tlimit\n", all[0].VM)
	for _, v := range all[0].Servers {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%t\t%.1f\t%d\t%.2f\t%.2f\t%s\n", v.Entry.ID, v.Entry.Service, v.Entry.FailureDomain,
			v.Usable, v.Cold, v.Load, v.Entry.Slots, v.Slowness, v.FailureRate, v.Limit)
	}
	return errors.Wrap(t.Flush(), "print states")
}
