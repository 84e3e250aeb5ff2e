package psmeasure

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psbackend"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/version/psdoc"
)

const (
	// slowFactor is how much slower a slow backend server is.
	slowFactor = 10
	// poisonRate is in requests per second.
	poisonRate   = 3
	poisonMarker = "poison"
	// crashSpan is how long a crashed backend server is down.
	crashSpan = time.Second
)

// follow lets the faults of the timetable happen and waits for them.
func (e *experiment) follow(ctx context.Context) {
	var happening sync.WaitGroup
	for _, f := range e.scenario.Faults {
		happening.Go(func() {
			if !sleepUntil(ctx, e.start.Add(f.At.Duration)) {
				return
			}
			if err := e.begin(ctx, f); err != nil {
				e.note(errors.Wrapf(err, "fault %s", f.Kind))
			}
			if f.Until.Duration > 0 && sleepUntil(ctx, e.start.Add(f.Until.Duration)) {
				e.end(f)
			}
		})
	}
	happening.Wait()
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

// begin lets a fault happen.
func (e *experiment) begin(ctx context.Context, f Fault) error {
	switch f.Kind {
	case FaultKillVM:
		e.system.Kill(f.Target)
	case FaultStopVM:
		e.stop(f.Target)
	case FaultKillRegion:
		e.killRegion(f.Target)
	case FaultCutRegion:
		e.cutRegion(f.Target)
	case FaultCutAll:
		for r := range regionCount {
			e.cutRegion(r)
		}
	case FaultPlatformDown:
		for _, p := range e.system.Platforms {
			p.Faults.Set(psstandin.Fault{Kind: psstandin.FaultRefuse})
		}
	case FaultSlowServer:
		e.behave(f.Target, func(b *psbackend.Behaviour) { b.ServiceTime *= slowFactor })
	case FaultKillServer:
		e.system.Servers[f.Target].Crash(-1)
	case FaultDrain:
		return e.drain(ctx, f.Target)
	case FaultWithdrawKey:
		return e.withdraw(ctx, f.Target)
	}
	return nil
}

// end takes back a cut or an outage.
func (e *experiment) end(f Fault) {
	switch f.Kind {
	case FaultCutRegion:
		e.mendRegion(f.Target)
	case FaultCutAll:
		for r := range regionCount {
			e.mendRegion(r)
		}
	case FaultPlatformDown:
		for _, p := range e.system.Platforms {
			p.Faults.Set()
		}
	case FaultSlowServer:
		e.behave(f.Target, func(b *psbackend.Behaviour) { b.ServiceTime /= slowFactor })
	case FaultKillServer:
		e.system.Servers[f.Target].Start()
	}
}

// stop shuts a VM down and notes how long that took.
func (e *experiment) stop(vm int) {
	began := time.Now()
	e.mutex.Lock()
	e.stopped = append(e.stopped, e.topology.VMs[vm].Name)
	e.mutex.Unlock()
	e.system.Stop(vm)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stopTime = max(e.stopTime, time.Since(began))
}

func (e *experiment) killRegion(n int) {
	region := e.firm.Regions[n]
	for i, v := range e.topology.VMs {
		if v.Region == region {
			go e.system.Kill(i)
		}
	}
	for i, v := range e.topology.Servers {
		if e.regionOf(v.Domain) == region {
			e.system.Servers[i].Crash(-1)
		}
	}
}

func (e *experiment) cutRegion(n int) {
	region := e.firm.Regions[n]
	e.system.Platforms[region].Faults.Set(psstandin.Fault{Kind: psstandin.FaultLoseCall})
	for _, v := range e.topology.VMs {
		if v.Region == region {
			e.system.Peers.Cut(v.Name)
		}
	}
}

func (e *experiment) mendRegion(n int) {
	region := e.firm.Regions[n]
	e.system.Platforms[region].Faults.Set()
	for _, v := range e.topology.VMs {
		if v.Region == region {
			e.system.Peers.Mend(v.Name)
		}
	}
}

// behave changes the behaviour of a backend server stand-in.
func (e *experiment) behave(server int, change func(*psbackend.Behaviour)) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	change(&e.behaviours[server])
	e.system.Servers[server].Set(e.behaviours[server])
}

// drain marks a backend server as leaving.
func (e *experiment) drain(ctx context.Context, server int) error {
	e.mutex.Lock()
	e.drained[server] = time.Since(e.start)
	e.mutex.Unlock()
	text, err := toml.Marshal(psdoc.Document{Document: "drains", Drains: []psdoc.Drain{{Server: e.topology.Servers[server].Name}}})
	if err != nil {
		return errors.Wrap(err, "render the drain")
	}
	return e.system.Apply(ctx, "drain", map[string]string{"drains.toml": string(text)})
}

// withdraw withdraws the key of a workspace at the first VM.
func (e *experiment) withdraw(ctx context.Context, workspace int) error {
	w := e.system.Ready.Workspaces[workspace]
	e.mutex.Lock()
	e.withdrawn = append(e.withdrawn, withdrawal{workspace: w.Name, at: time.Since(e.start)})
	e.mutex.Unlock()
	body, err := json.Marshal(psadmin.WithdrawRequest{Author: "measure", IDs: []psdoc.Name{w.KeyID}})
	if err != nil {
		return errors.Wrap(err, "encode the withdrawal")
	}
	token, err := os.ReadFile(e.system.Ready.OperatorTokenFile)
	if err != nil {
		return errors.Wrap(err, "read the operators' token")
	}
	url := "http://" + e.system.Ready.Operators[0].String() + "/v1/keys/withdraw"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make the withdrawal")
	}
	r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "withdraw the key")
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return errors.Errorf("the withdrawal was answered with %s", answer.Status)
	}
	return nil
}

// hasFault reports whether the scenario holds a fault of the kind.
func (e *experiment) hasFault(k FaultKind) bool {
	return slices.ContainsFunc(e.scenario.Faults, func(f Fault) bool { return f.Kind == k })
}
