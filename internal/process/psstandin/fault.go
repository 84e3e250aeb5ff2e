package psstandin

import (
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// FaultKind says what goes wrong with a call.
type FaultKind string

const (
	// FaultRefuse answers 503 before the call takes effect.
	FaultRefuse FaultKind = "refuse"
	// FaultLoseAnswer closes the connection after the call took effect.
	FaultLoseAnswer FaultKind = "loseAnswer"
	// FaultLoseCall closes the connection before the call takes effect.
	FaultLoseCall FaultKind = "loseCall"
	// FaultSlow delays the call.
	FaultSlow FaultKind = "slow"
	// FaultNever answers nothing until the client gives up; the call takes no effect.
	FaultNever FaultKind = "never"
	// FaultStale answers a reading call as the store was when it was last frozen.
	FaultStale FaultKind = "stale"
)

// UnmarshalText checks the kind.
func (k *FaultKind) UnmarshalText(text []byte) error {
	switch v := FaultKind(text); v {
	case FaultRefuse, FaultLoseAnswer, FaultLoseCall, FaultSlow, FaultNever, FaultStale:
		*k = v
		return nil
	}
	return errors.Errorf("%q is not a fault: use refuse, loseAnswer, loseCall, slow, never or stale", text)
}

// Fault is one row of the fault table.
type Fault struct {
	// Path is the prefix of the calls that it meets, such as "/table/commit".
	Path string `toml:"path" json:"path"`
	// Kind says what goes wrong.
	Kind FaultKind `toml:"kind" json:"kind"`
	// Delay is the wait of a slow call.
	Delay time.Duration `toml:"-" json:"delay"`
	// Count is the number of calls that it meets; 0 stands for all.
	Count int `toml:"count" json:"count"`
}

// Faults is a fault table. Its zero value has no faults.
type Faults struct {
	mutex sync.Mutex
	rows  []Fault
}

// Set replaces the table.
func (f *Faults) Set(rows ...Fault) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.rows = append([]Fault(nil), rows...)
}

// take finds the first fault for a call and counts it down.
func (f *Faults) take(path string) (Fault, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for i, r := range f.rows {
		if !strings.HasPrefix(path, r.Path) {
			continue
		}
		if r.Count == 1 {
			f.rows = append(f.rows[:i:i], f.rows[i+1:]...)
		} else if r.Count > 1 {
			f.rows[i].Count--
		}
		return r, true
	}
	return Fault{}, false
}
