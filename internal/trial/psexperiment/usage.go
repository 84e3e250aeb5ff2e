package psexperiment

import (
	"context"
	"slices"
	"time"

	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/trial/psresult"
	"persimmonstep/platform/psstandin"
)

// usage records the slot utilization of each pool, the datagrams between VMs and the calls to the store.
type usage struct {
	experiment *experiment
	slots      map[string]int
	samples    []sample
	// delays are how late the timer of each sample was.
	delays []time.Duration
	// before and after are the counters at the start and the end of the run.
	before, after counters
}

// counters are the bytes of the datagrams between VMs and the calls to the store since the start of the system.
type counters struct {
	at    time.Time
	bytes int64
	calls psstandin.CallCounts
}

func (e *experiment) counters() counters {
	return counters{at: time.Now(), bytes: e.system.Network.SentBytes(), calls: e.system.Store.Calls()}
}

// recordControlCost computes the rates of datagram bytes between VMs and of store calls during the run.
func (u *usage) recordControlCost(r *psresult.Result) {
	span := u.after.at.Sub(u.before.at).Seconds()
	r.PeerBytesPerSecond = float64(u.after.bytes-u.before.bytes) / span / float64(len(u.experiment.topology.VMs))
	r.ReadsPerSecond = float64(u.after.calls.Reads-u.before.calls.Reads) / span
	r.WritesPerSecond = float64(u.after.calls.Writes-u.before.calls.Writes) / span
}

// sample is the slot utilization of each pool at one time, as a fraction.
type sample struct {
	at    time.Duration
	pools map[string]float64
}

func newUsage(e *experiment) *usage {
	u := &usage{experiment: e, slots: make(map[string]int)}
	for _, v := range e.topology.Servers {
		u.slots[v.Service] += v.Behaviour.Slots
	}
	return u
}

// sample records the slot utilization every samplePeriod until the context ends.
func (u *usage) sample(ctx context.Context) {
	for {
		began := time.Now()
		if !pswait.Sleep(ctx, samplePeriod) {
			return
		}
		u.delays = append(u.delays, time.Since(began)-samplePeriod)
		u.samples = append(u.samples, u.observe())
	}
}

// timerDelay returns the 99th percentile of how late the timers of the samples were. It shows how busy the machine was.
func (u *usage) timerDelay() time.Duration {
	if len(u.delays) == 0 {
		return 0
	}
	slices.Sort(u.delays)
	return u.delays[len(u.delays)*99/100]
}

func (u *usage) observe() sample {
	e := u.experiment
	out := sample{at: time.Since(e.start), pools: make(map[string]float64)}
	for i, v := range e.topology.Servers {
		out.pools[v.Service] += float64(e.system.Servers[i].Stats().Running) / float64(u.slots[v.Service])
	}
	return out
}

// peak returns the highest slot utilization of a pool up to a time.
func (u *usage) peak(pool string, before time.Duration) float64 {
	out := 0.0
	for _, s := range u.samples {
		if s.at <= before {
			out = max(out, s.pools[pool])
		}
	}
	return out
}
