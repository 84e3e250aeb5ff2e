package pscontrol

import (
	"context"
	"time"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/pswait"
)

const (
	// handOverReports is the number of reports that say that this VM has ended, since reports can be lost, and handOverInterval is
	// the time between two of them.
	handOverReports  = 3
	handOverInterval = 50 * time.Millisecond
)

// HandOver tells the other VMs that this one uses nothing of the fleet's limits any more, and leaves its part to a VM without one
// if there is one. All requests must have ended, and the process must end afterwards.
func (c *Controller) HandOver(ctx context.Context) {
	reply := make(chan string, 1)
	c.enqueue(heirEvent{reply})
	select {
	case heir := <-reply:
		c.end(ctx, c.publishHeir(ctx, heir))
	case <-ctx.Done():
	}
}

// publishHeir publishes to which VM this one leaves its part, so that it doesn't take that for its own if it starts again. It
// returns no VM if that fails.
func (c *Controller) publishHeir(ctx context.Context, heir string) string {
	if heir == "" {
		return ""
	}
	if err := c.discovery.PublishHeir(ctx, heir); err != nil {
		c.options.Logger.Debug("publishing the heir failed", "error", err.Error())
		return ""
	}
	psevent.PartLeft.Log(c.options.Logger, heir)
	return heir
}

// end sends the last reports of this VM.
func (c *Controller) end(ctx context.Context, heir string) {
	for range handOverReports {
		c.enqueue(endEvent{heir})
		pswait.Sleep(ctx, handOverInterval)
	}
}
