package psload

import (
	"context"
	"sync"
	"time"
)

// maxInFlight is the maximum number of requests that wait for responses. Requests beyond it are not sent.
const maxInFlight = 4000

// Run sends the requests of a schedule through the callers of the failure domains. It returns their
// observations and the number of requests that it did not send because of maxInFlight.
func Run(ctx context.Context, callers []*Caller, schedule []Arrival, start time.Time) ([]Observation, int) {
	out := make([]Observation, len(schedule))
	slots := make(chan struct{}, maxInFlight)
	var sending sync.WaitGroup
	unsent := 0
	for i, a := range schedule {
		wait(ctx, time.Until(start.Add(a.At)))
		select {
		case slots <- struct{}{}:
		default:
			unsent++
			continue
		}
		sending.Go(func() {
			out[i] = callers[a.Domain].Send(ctx, a, start)
			<-slots
		})
	}
	sending.Wait()
	sent := out[:0]
	for _, o := range out {
		if o.Stream != nil {
			sent = append(sent, o)
		}
	}
	return sent, unsent
}

func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
