package pscontrol

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psfollow"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/platform"
)

const (
	// vmsTimeout bounds the time until a call about VMs is answered, and vmsAnswerTimeout the
	// answer from then on.
	vmsTimeout       = 1800 * time.Millisecond
	vmsAnswerTimeout = 5 * time.Second
	// vmsRetryInterval is the least time before failed calls are repeated, and half of the longest.
	vmsRetryInterval = 300 * time.Millisecond
	// vmsInterval is the time between readings of the published VMs, and firstVMsInterval at the start.
	vmsInterval      = 60 * time.Second
	firstVMsInterval = 1500 * time.Millisecond
	firstVMsReadings = 2
)

// vmsExchange is what a VM has exchanged with the others over the store.
type vmsExchange struct {
	published bool
	// version is the store's version up to which published VMs are known; 0 before the first
	// reading.
	version int64
}

// followVMs publishes this VM and reads where the others are.
func (c *Control) followVMs(ctx context.Context) {
	x := &vmsExchange{}
	readings := 0
	loss := psfollow.Loss{Call: "vms"}
	for ctx.Err() == nil {
		err := c.exchangeVMs(ctx, x)
		loss.Note(err, c.options.Logger, c.options.Now())
		if err != nil {
			if !c.options.Settings.FirstStart {
				c.vmsOnce.Do(func() { close(c.vmsRead) })
			}
			pswait.Sleep(ctx, vmsRetryInterval+time.Duration(rand.Float64()*float64(vmsRetryInterval)))
			continue
		}
		readings++
		pswait.Sleep(ctx, vmsPause(readings, c.FleetSize()))
	}
}

// vmsPause returns the time after a number of readings until the next one. In a large fleet one
// reading is enough: VMs that were not published by then have read of this one, and report to it.
func vmsPause(readings, fleet int) time.Duration {
	if readings < firstVMsReadings && fleet < psfleet.Large {
		return firstVMsInterval
	}
	return vmsInterval
}

// exchangeVMs publishes this VM and reads the others.
func (c *Control) exchangeVMs(ctx context.Context, x *vmsExchange) error {
	limited, stop := platform.WithAnswerTimeouts(ctx, vmsTimeout, vmsAnswerTimeout)
	defer stop()
	// At the first start only what all have published is of use. Later the others are known to the
	// store already, which performs writes one after the other.
	steps := []func(context.Context, *vmsExchange) error{c.readVMs, c.publishVM}
	if c.options.Settings.FirstStart {
		slices.Reverse(steps)
	}
	for _, step := range steps {
		if err := step(limited, x); err != nil {
			return err
		}
	}
	return nil
}

// readVMs reads all VMs, or those that were published since the last reading.
func (c *Control) readVMs(ctx context.Context, x *vmsExchange) error {
	v, err := c.vmsAfter(ctx, x.version)
	if err != nil {
		// The changes since the last reading may no longer be kept.
		x.version = 0
		return err
	}
	x.version = v.Version
	c.tell(vmsEvent{v.Rows})
	return nil
}

func (c *Control) vmsAfter(ctx context.Context, version int64) (platform.VMs, error) {
	if version == 0 {
		return c.options.Store.VMs(ctx)
	}
	return c.options.Store.VMChanges(ctx, version)
}

// publishVM publishes this VM, if that isn't done.
func (c *Control) publishVM(ctx context.Context, x *vmsExchange) error {
	if x.published {
		return nil
	}
	value, err := json.Marshal(c.options.Identity)
	if err != nil {
		return err
	}
	if err := c.options.Store.PublishVM(ctx, c.options.Identity.VM, value); err != nil {
		return err
	}
	x.published = true
	return nil
}
