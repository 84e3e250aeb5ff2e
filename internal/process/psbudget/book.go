package psbudget

import (
	"context"
	"net/http"
	"sync"
	"time"

	"persimmonstep/internal/request/psproblem"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// Book keeps this VM's buckets, one for each workspace in use.
type Book struct {
	self  psdoc.Name
	now   func() time.Time
	began time.Time

	mutex   sync.Mutex
	version uint64
	buckets map[psdoc.Name]*Bucket
}

// NewBook returns the book of a VM.
func NewBook(self psdoc.Name, now func() time.Time) *Book {
	return &Book{self: self, now: now, began: now(), buckets: make(map[psdoc.Name]*Bucket)}
}

// Spend takes one request from the workspace's rate, or returns a refusal of type
// *psproblem.Problem.
func (b *Book) Spend(_ context.Context, p *psplan.Plan, w *psplan.Workspace) error {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	now := b.now()
	k := b.bucket(p, w, now)
	if k.Spend(1, now) {
		return nil
	}
	return psproblem.New(http.StatusTooManyRequests, "overRate", "the workspace is over its rate").After(k.Until(1, now))
}

func (b *Book) bucket(p *psplan.Plan, w *psplan.Workspace, now time.Time) *Bucket {
	k, found := b.buckets[w.Name]
	if !found {
		k = &Bucket{last: b.began}
		b.buckets[w.Name] = k
	} else {
		k.fill(now)
	}
	share := Share(p, b.self)
	k.Rate, k.Burst = w.Rate*share, w.Burst*share
	return k
}

// Share returns the part of each budget that belongs to a VM, from 0 to 1.
func Share(p *psplan.Plan, vm psdoc.Name) float64 {
	v, found := p.VM(vm)
	if !found {
		return 0
	}
	sum := 0.0
	for _, w := range p.VMs {
		sum += w.Weight
	}
	return v.Weight / sum
}
