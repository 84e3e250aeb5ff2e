// Package psdiscovery publishes this VM in the store and discovers the other VMs of the fleet from it.
//
// Each VM publishes its identity once. It reads those of the others at its start and periodically
// after that. In between, new VMs become known by the reports that they send.
package psdiscovery

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/process/pswatch"
	"persimmonstep/internal/version/psrevision"
	"persimmonstep/platform"
)

const (
	// responseTimeout limits the time until the store begins its response to a call about VMs, and
	// bodyTimeout the rest of the response.
	responseTimeout = 1800 * time.Millisecond
	bodyTimeout     = 5 * time.Second
	// retryInterval is the minimum delay before failed calls are repeated, and half of the maximum
	// delay.
	retryInterval = 300 * time.Millisecond
	// readInterval is the time between reads of the published VMs. The first startupReads reads of a
	// small fleet are startupReadInterval apart.
	readInterval        = 60 * time.Second
	startupReadInterval = 1500 * time.Millisecond
	startupReads        = 2
	// republishWindow is the time over which VMs publish themselves again after a restore of the
	// store.
	republishWindow = 3 * time.Second
)

// Store stores the identities that VMs publish.
type Store interface {
	VMs(ctx context.Context) (platform.VMs, error)
	VMChanges(ctx context.Context, after psrevision.Revision) (platform.VMs, error)
	PublishVM(ctx context.Context, name string, value []byte) error
}

// Options are the dependencies of a [Discovery].
type Options struct {
	// Self identifies this VM.
	Self psmessage.Identity
	// FirstStart states that the whole fleet starts for the first time.
	FirstStart bool
	Store      Store
	// Apply applies what VMs have published, by VM name. complete states that this VM had been published when that was read.
	Apply func(rows map[string][]byte, complete bool)
	// FleetSize returns the number of known VMs.
	FleetSize func() int
	Logger    hclog.Logger
	// Now returns the current time with its monotonic reading.
	Now func() time.Time
}

// Discovery exchanges identities with the other VMs through the store.
type Discovery struct {
	options   Options
	published bool
	// owner states that this VM owns a part of the fleet's limits.
	owner bool
	// writing is held while this VM is published. ended is set once it has published its heir, and publishes nothing more.
	writing sync.Mutex
	ended   bool
	// known is the revision up to which published VMs are known; zero if all must be read.
	known psrevision.Revision
	// lastRead is the revision of the last successful read.
	lastRead  psrevision.Revision
	attempted chan struct{}
	once      sync.Once
	// restored receives a value after the store was restored from a backup, and confirmed once this VM owns a part of the
	// fleet's limits.
	restored, confirmed chan struct{}
}

// New returns a discovery that knows no other VM.
func New(o Options) *Discovery {
	return &Discovery{options: o, attempted: make(chan struct{}), restored: make(chan struct{}, 1), confirmed: make(chan struct{}, 1)}
}

// Attempted returns a channel that is closed once published VMs were applied or could not be read. At
// the first start of the fleet it is closed only once they were applied.
func (d *Discovery) Attempted() <-chan struct{} { return d.attempted }

// Run publishes this VM and reads the others until the context ends.
func (d *Discovery) Run(ctx context.Context) {
	reads := 0
	outage := pswatch.Outage{Call: "vms"}
	for ctx.Err() == nil {
		err := d.exchange(ctx)
		outage.Record(err, d.options.Logger, d.options.Now())
		if !d.options.FirstStart {
			d.once.Do(func() { close(d.attempted) })
		}
		if err != nil {
			pswait.Sleep(ctx, retryInterval+time.Duration(rand.Float64()*float64(retryInterval)))
			continue
		}
		reads++
		d.wait(ctx, readDelay(reads, d.options.FleetSize()))
	}
}

// HandleRestore makes this VM publish itself again, since the backup from which the store was restored
// may lack what it published.
func (d *Discovery) HandleRestore() {
	select {
	case d.restored <- struct{}{}:
	default:
	}
}

// PublishOwner publishes that this VM owns a part of the fleet's limits, after a random delay that spreads the writes.
func (d *Discovery) PublishOwner() {
	select {
	case d.confirmed <- struct{}{}:
	default:
	}
}

// PublishHeir publishes that this VM, which ends, has left its part of the fleet's limits to another VM. It fails while this VM
// is being published, because the grace period is too short to wait for that.
func (d *Discovery) PublishHeir(ctx context.Context, heir string) error {
	if !d.writing.TryLock() {
		return errors.New("publish heir: this VM is being published")
	}
	defer d.writing.Unlock()
	value, err := json.Marshal(psmessage.PublishedVM{Identity: d.options.Self, Heir: heir})
	if err != nil {
		return err
	}
	d.ended = true
	return d.options.Store.PublishVM(ctx, d.options.Self.VM, value)
}

// wait waits until the next read. After a restore of the store all VMs publish themselves again, each
// after a random delay that spreads the writes.
func (d *Discovery) wait(ctx context.Context, delay time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(delay):
	case <-d.restored:
		d.published = false
		d.known = psrevision.Revision{}
		pswait.Sleep(ctx, time.Duration(rand.Float64()*float64(republishWindow)))
	case <-d.confirmed:
		d.published, d.owner = false, true
		pswait.Sleep(ctx, time.Duration(rand.Float64()*float64(republishWindow)))
		d.publishAlone(ctx)
	}
}

// publishAlone publishes this VM without reading the others. If that fails, the next exchange does so.
func (d *Discovery) publishAlone(ctx context.Context) {
	limited, stop := platform.WithResponseTimeouts(ctx, responseTimeout, bodyTimeout)
	defer stop()
	if err := d.publish(limited); err != nil {
		d.options.Logger.Debug("publishing this VM failed", "error", err.Error())
	}
}

// readDelay returns the time from one read to the next. In a large fleet one read at the start is
// enough: VMs that publish themselves later read the entry of this one, and report to it.
func readDelay(reads, fleet int) time.Duration {
	if reads < startupReads && fleet < psfleet.LargeSize {
		return startupReadInterval
	}
	return readInterval
}

// exchange publishes this VM and reads the others.
func (d *Discovery) exchange(ctx context.Context) error {
	limited, stop := platform.WithResponseTimeouts(ctx, responseTimeout, bodyTimeout)
	defer stop()
	steps := []func(context.Context) error{d.publish, d.read}
	if !d.options.FirstStart && !d.published {
		// The store holds the other VMs already, and it performs writes one after the other, so this
		// VM reads before it waits for its own write. It reads again after the write: of two VMs that
		// start at the same time, the later one then discovers the earlier one.
		steps = []func(context.Context) error{d.read, d.publish, d.read}
	}
	for _, step := range steps {
		if err := step(limited); err != nil {
			return err
		}
	}
	return nil
}

// read reads all VMs, or those that were published since the last read.
func (d *Discovery) read(ctx context.Context) error {
	v, err := d.fetch(ctx)
	if err != nil {
		// The store may no longer keep the changes since the last read.
		d.known = psrevision.Revision{}
		return err
	}
	d.known = v.Revision
	if v.Revision.RestoredSince(d.lastRead) {
		d.HandleRestore()
	}
	d.lastRead = v.Revision
	d.readOwn(v.Rows)
	d.options.Apply(v.Rows, d.published)
	d.once.Do(func() { close(d.attempted) })
	return nil
}

// readOwn keeps what an earlier process of this VM has published: that it owns a part of the fleet's limits.
func (d *Discovery) readOwn(rows map[string][]byte) {
	value, found := rows[d.options.Self.VM]
	if !found {
		return
	}
	own, err := psmessage.DecodePublishedVM(value)
	d.owner = d.owner || err == nil && own.OwnsPart()
}

func (d *Discovery) fetch(ctx context.Context) (platform.VMs, error) {
	if d.known.IsZero() {
		return d.options.Store.VMs(ctx)
	}
	return d.options.Store.VMChanges(ctx, d.known)
}

// publish publishes this VM unless that was done already.
func (d *Discovery) publish(ctx context.Context) error {
	d.writing.Lock()
	defer d.writing.Unlock()
	if d.published || d.ended {
		return nil
	}
	value, err := json.Marshal(psmessage.PublishedVM{Identity: d.options.Self, Owner: d.owner})
	if err != nil {
		return err
	}
	if err := d.options.Store.PublishVM(ctx, d.options.Self.VM, value); err != nil {
		return err
	}
	d.published = true
	return nil
}
