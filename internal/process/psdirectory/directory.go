// Package psdirectory tells callers which VMs to use.
//
// Any VM answers for all of them. VMs of the caller's failure domain come first, then those
// of its region, then others; among equally near ones the workspace's own come first, so
// that its requests meet on few VMs and its rate needs few loans. An answer names several
// VMs, so that a caller whose first VM is gone goes on with the next.
package psdirectory

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// TTL is how long a caller may keep an answer.
const TTL = 5 * time.Second

// Answer is what a caller is told.
type Answer struct {
	// Version is the configuration version behind the answer.
	Version uint64 `json:"version"`
	// TTL is how long the answer may be kept.
	TTL psdoc.Duration `json:"ttl"`
	// VMs lists the VMs to use, the best first.
	VMs []Entry `json:"vms"`
}

// Entry is one VM of an answer.
type Entry struct {
	Name          psdoc.Name     `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain psdoc.Name     `json:"failureDomain"`
	Region        psdoc.Name     `json:"region"`
	Weight        float64        `json:"weight"`
}

// Plans gives the plan in force.
type Plans interface {
	Plan() *psplan.Plan
}

// Members tells which VMs callers can use.
type Members interface {
	// Usable reports whether the VM is neither leaving nor known to be down.
	Usable(vm psdoc.Name) bool
}

// Locator finds the failure domain nearest to a caller.
type Locator interface {
	Locate(p *psplan.Plan, caller netip.Addr) *psplan.Domain
}

// Directory answers callers.
type Directory struct {
	Plans   Plans
	Members Members
	Locator Locator
	Logger  hclog.Logger

	cache cache
}

// ServeHTTP answers one caller.
func (d *Directory) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	address, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		http.Error(w, "unknown caller address", http.StatusBadRequest)
		return
	}
	body, err := d.answer(address.Addr().Unmap(), psdoc.Name(r.URL.Query().Get("workspace")), time.Now())
	if err != nil {
		http.Error(w, "the answer could not be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "max-age=5")
	_, _ = w.Write(body)
}

// answer returns the encoded answer for a caller. A placement is logged when it is made;
// answers from the cache repeat it and are not logged.
func (d *Directory) answer(caller netip.Addr, workspace psdoc.Name, now time.Time) ([]byte, error) {
	p := d.Plans.Plan()
	if _, found := p.Workspace(workspace); !found {
		// Names that callers make up must not fill the cache.
		workspace = ""
	}
	q := question{home: d.Locator.Locate(p, caller), workspace: workspace}
	q.turn = Turn(caller, Spread(p, workspace, q.home))
	if body, found := d.cache.get(p, q, now); found {
		return body, nil
	}
	a := Rank(p, q.home, q.workspace, q.turn, d.Members)
	names := lo.Map(a.VMs, func(e Entry, _ int) psdoc.Name { return e.Name })
	psevent.Directed.Log(d.Logger, caller, workspace, names, reasonOf(q.home))
	body, err := json.Marshal(a)
	if err != nil {
		return nil, errors.Wrap(err, "encode a directory answer")
	}
	d.cache.put(p, q, cached{body: body, made: now})
	return body, nil
}

func reasonOf(home *psplan.Domain) string {
	if home == nil {
		return "no home"
	}
	return "home " + string(home.Name)
}

func answerOf(p *psplan.Plan, vms []*psplan.VM) Answer {
	entries := lo.Map(vms, func(v *psplan.VM, _ int) Entry {
		return Entry{Name: v.Name, Address: v.Callers, FailureDomain: v.Domain.Name, Region: v.Domain.Region.Name, Weight: v.Weight}
	})
	return Answer{Version: p.Version, TTL: psdoc.Duration{Duration: TTL}, VMs: entries}
}
