package pscontrol

import (
	"context"
	"encoding/json"
	"time"

	"persimmonstep/internal/process/psfollow"
	"persimmonstep/internal/process/pswait"
)

const (
	// vmsTimeout bounds the calls to publish this VM and to read the others.
	vmsTimeout = 1800 * time.Millisecond
	// vmsRetryInterval is the time before failed calls are repeated.
	vmsRetryInterval = 300 * time.Millisecond
	// vmsInterval is the time between readings of the published VMs, and firstVMsInterval at the start.
	vmsInterval      = 60 * time.Second
	firstVMsInterval = 1500 * time.Millisecond
	firstVMsReadings = 2
)

// followVMs publishes this VM and reads where the others are.
func (c *Control) followVMs(ctx context.Context) {
	published := false
	readings := 0
	loss := psfollow.Loss{Call: "vms"}
	for ctx.Err() == nil {
		err := c.exchangeVMs(ctx, &published)
		loss.Note(err, c.options.Logger, c.options.Now())
		if err != nil {
			pswait.Sleep(ctx, vmsRetryInterval)
			continue
		}
		readings++
		pswait.Sleep(ctx, vmsPause(readings))
	}
}

// vmsPause returns the time after a number of readings until the next one.
func vmsPause(readings int) time.Duration {
	if readings < firstVMsReadings {
		return firstVMsInterval
	}
	return vmsInterval
}

// exchangeVMs publishes this VM, if that isn't done, and reads the others.
func (c *Control) exchangeVMs(ctx context.Context, published *bool) error {
	limited, stop := context.WithTimeout(ctx, vmsTimeout)
	defer stop()
	if !*published {
		if err := c.publishVM(limited); err != nil {
			return err
		}
		*published = true
	}
	rows, err := c.options.Store.VMs(limited)
	if err == nil {
		c.tell(vmsEvent{rows})
	}
	return err
}

func (c *Control) publishVM(ctx context.Context) error {
	value, err := json.Marshal(c.options.Identity)
	if err != nil {
		return err
	}
	return c.options.Store.PublishVM(ctx, c.options.Identity.VM, value)
}
