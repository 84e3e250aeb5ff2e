package pscheck

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psstate"
	"persimmonstep/internal/version/psconfig"
	"persimmonstep/internal/version/pslint"
	"persimmonstep/platform/psdocument"
)

// Installation is what configurations are checked against.
type Installation struct {
	fleet pslint.Fleet
	// inForce is the version in force; nil without one. document locates its values, and file is where it was read from; both
	// are empty if it is that of a state.
	inForce  *psconfig.Configuration
	document *psdocument.Document
	file     string
}

// SetState sets the fleet and the version in force to those that a VM's state shows.
func (in *Installation) SetState(s psstate.State) error {
	if s.Configuration == nil {
		return errors.New("check: the VM has no configuration")
	}
	in.fleet, in.inForce = fleetOf(s), s.Configuration
	return nil
}

// ReadInForce reads the version in force from a file.
func (in *Installation) ReadInForce(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Wrap(err, "read configuration in force")
	}
	d, err := psdocument.Read(data)
	if err != nil {
		return errors.Wrapf(err, "configuration in force %s", path)
	}
	if faults := append(d.Faults, d.Configuration.Check()...); len(faults) > 0 {
		return errors.Errorf("configuration in force %s: %s", path, faults[0])
	}
	in.inForce, in.document, in.file = d.Configuration, d, path
	return nil
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
