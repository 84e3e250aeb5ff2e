// Package psdiscover tells the store where this VM is, and learns from it where the others are.
//
// Each VM publishes itself once. It reads the others when it starts and now and then; in between it
// learns of new ones by their reports.
package psdiscovery

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/internal/version/psmoment"
	"persimmonstep/platform"
)

const (
	// callTimeout bounds the time until a call about VMs is answered, and answerTimeout the
	// answer from then on.
	responseTimeout = 1800 * time.Millisecond
	bodyTimeout     = 5 * time.Second
	// retryInterval is the least time before failed calls are repeated, and half of the longest.
	retryInterval = 300 * time.Millisecond
	// interval is the time between readings of the published VMs, and firstInterval at the start.
	readInterval        = 60 * time.Second
	startupReadInterval = 1500 * time.Millisecond
	startupReads        = 2
	// renewSpan is the time over which VMs publish themselves again after the store came back.
	republishWindow = 3 * time.Second
)

// Store holds what VMs publish of themselves.
type Store interface {
	VMs(ctx context.Context) (platform.VMs, error)
	VMChanges(ctx context.Context, after psmoment.Moment) (platform.VMs, error)
	PublishVM(ctx context.Context, name string, value []byte) error
}

// Options are what a [Discovery] needs.
type Options struct {
	// Self is this VM.
	Self psfleet.Identity
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	Store      Store
	// Take takes what other VMs have published, by name.
	Apply func(rows map[string][]byte)
	// FleetSize returns the number of known VMs.
	FleetSize func() int
	Logger    hclog.Logger
	// Now gives monotonic time.
	Now func() time.Time
}

// Discovery is what a VM has exchanged with the others over the store.
type Discovery struct {
	options   Options
	published bool
	// known is the moment up to which published VMs are known; zero before the first reading.
	known psmoment.Moment
	// readAt is the moment of the last reading.
	lastRead  psmoment.Moment
	attempted chan struct{}
	once      sync.Once
	// restored gets a word when the store came back from a copy.
	restored chan struct{}
}

// New returns a discovery that knows nobody.
func New(o Options) *Discovery {
	return &Discovery{options: o, attempted: make(chan struct{}), restored: make(chan struct{}, 1)}
}

// Tried returns a channel that is closed once published VMs were taken, or can't be read now. At the
// first start of the fleet it stays open until they were.
func (d *Discovery) Attempted() <-chan struct{} { return d.attempted }

// Run publishes this VM and follows the others until the context ends.
func (d *Discovery) Run(ctx context.Context) {
	readings := 0
	loss := pswatch.Outage{Call: "vms"}
	for ctx.Err() == nil {
		err := d.exchange(ctx)
		loss.Record(err, d.options.Logger, d.options.Now())
		if !d.options.FirstStart {
			d.once.Do(func() { close(d.attempted) })
		}
		if err != nil {
			pswait.Sleep(ctx, retryInterval+time.Duration(rand.Float64()*float64(retryInterval)))
			continue
		}
		readings++
		d.wait(ctx, readDelay(readings, d.options.FleetSize()))
	}
}

// Restored takes in that the store came back from a copy, which may not hold what this VM published.
func (d *Discovery) HandleRestore() {
	select {
	case d.restored <- struct{}{}:
	default:
	}
}

// wait waits until the next reading. After the store came back, all VMs publish themselves again,
// spread over a span.
func (d *Discovery) wait(ctx context.Context, pause time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	case <-d.restored:
		d.published = false
		d.known = psmoment.Moment{}
		pswait.Sleep(ctx, time.Duration(rand.Float64()*float64(republishWindow)))
	}
}

// pause returns the time after a number of readings until the next one. In a large fleet one reading
// is enough: VMs that were not published by then have read of this one, and report to it.
func readDelay(readings, fleet int) time.Duration {
	if readings < startupReads && fleet < psfleet.Large {
		return startupReadInterval
	}
	return readInterval
}

// exchange publishes this VM and reads the others.
func (d *Discovery) exchange(ctx context.Context) error {
	limited, stop := platform.WithAnswerTimeouts(ctx, responseTimeout, bodyTimeout)
	defer stop()
	steps := []func(context.Context) error{d.publish, d.read}
	if !d.options.FirstStart && !d.published {
		// The others are known to the store already, which performs writes one after the other.
		// What it holds after the own entry is read all the same: of two VMs that come at the
		// same time, the later one then knows the earlier one.
		steps = []func(context.Context) error{d.read, d.publish, d.read}
	}
	for _, step := range steps {
		if err := step(limited); err != nil {
			return err
		}
	}
	return nil
}

// read reads all VMs, or those that were published since the last reading.
func (d *Discovery) read(ctx context.Context) error {
	v, err := d.fetch(ctx)
	if err != nil {
		// The changes since the last reading may no longer be kept.
		d.known = psmoment.Moment{}
		return err
	}
	d.known = v.At
	if v.At.RestoredSince(d.lastRead) {
		d.HandleRestore()
	}
	d.lastRead = v.At
	d.options.Apply(v.Rows)
	d.once.Do(func() { close(d.attempted) })
	return nil
}

func (d *Discovery) fetch(ctx context.Context) (platform.VMs, error) {
	if d.known.IsZero() {
		return d.options.Store.VMs(ctx)
	}
	return d.options.Store.VMChanges(ctx, d.known)
}

// publish publishes this VM, if that isn't done.
func (d *Discovery) publish(ctx context.Context) error {
	if d.published {
		return nil
	}
	value, err := json.Marshal(d.options.Self)
	if err != nil {
		return err
	}
	if err := d.options.Store.PublishVM(ctx, d.options.Self.VM, value); err != nil {
		return err
	}
	d.published = true
	return nil
}
