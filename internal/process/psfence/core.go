package psfence

import (
	"cmp"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
	"persimmonstep/internal/version/psplan"
)

// rowPrefix begins the keys of adoption rows in the table.
const rowPrefix = "adoption/"

func rowKey(vm psdoc.Name) string {
	return rowPrefix + string(vm)
}

// adoptionRow is the content of an adoption row.
type adoptionRow struct {
	// Guardian is the VM that adopted.
	Guardian psdoc.Name `json:"guardian"`
	// Nonce identifies the attempt.
	Nonce string `json:"nonce"`
}

// stage is how far a guardian is with a ward.
type stage int

const (
	// stageClearing means that a row of the ward may exist and must go.
	stageClearing stage = iota
	// stageWatching means that there was no row when the guardian last looked.
	stageWatching
	// stageAdopted means that the row was written by the present attempt.
	stageAdopted
)

// ward is what a guardian knows of one VM.
type ward struct {
	stage stage
	// quiet is when the VM was last heard, or when the guardian began to listen.
	quiet time.Time
	// nonce identifies the attempt whose commit is under way; empty when there is none.
	nonce string
	// usable is when an adopted part may be used.
	usable time.Time
	// free is when the last loan of a part that this VM no longer uses has run out.
	free time.Time
}

// core is the fence's state. It has no clock and does no input or output.
type core struct {
	self    psdoc.Name
	drain   time.Duration
	started time.Time

	settlement settlement
	guardian   *psplan.VM
	wards      map[psdoc.Name]*ward
	// held is the span for which the VM may use its own revocable part.
	held Span
	// current says that the plan was the latest of all at some time since the start. Before
	// that an earlier process of this VM may have confirmed a later layout.
	current bool
}

// newCore returns the state of a process that starts. drain is the longest time for which a
// loan can outlast the right to what is lent.
func newCore(self psdoc.Name, now time.Time, drain time.Duration) *core {
	return &core{self: self, drain: drain, started: now, settlement: settlement{self: self, began: now}, wards: make(map[psdoc.Name]*ward)}
}

// install takes in the plan in force and reports whether its layout is another one.
func (c *core) install(p *psplan.Plan, now time.Time) bool {
	if p.Version <= c.settlement.version || !c.settlement.install(p, now) {
		return false
	}
	old := c.wards
	c.wards = make(map[psdoc.Name]*ward)
	for _, vm := range wards(p, c.self) {
		// An earlier process of this VM may have lent what it had adopted.
		c.wards[vm] = &ward{quiet: now, free: c.started.Add(c.drain)}
		if c.settlement.first {
			c.wards[vm].free = time.Time{}
		}
		if w := old[vm]; w != nil {
			c.wards[vm] = w
		}
	}
	guardian := Guardian(p, c.self)
	if guardian == nil || c.guardian == nil || guardian.Name != c.guardian.Name {
		// A promise binds only the VM that gave it.
		c.held = Span{}
	}
	c.guardian = guardian
	return true
}

// promise answers a ward's renewal. After a promise this VM uses nothing of the ward's
// part for a term and a margin.
func (c *core) promise(vm psdoc.Name, now time.Time) bool {
	w, found := c.wards[vm]
	if !found {
		return false
	}
	w.quiet = now
	if w.stage == stageAdopted && !now.Before(w.usable) {
		w.free = now.Add(c.drain)
	}
	if w.stage == stageAdopted || w.nonce != "" {
		w.stage, w.nonce = stageClearing, ""
	}
	return c.informed() && c.mayAct(vm, now) && !now.Before(w.free)
}

// processPrefix begins the keys of the rows that say that a VM has had a process.
const processPrefix = "process/"

// announcement is the transaction that succeeds only for a VM's first process.
func (c *core) announcement() psplatform.Transaction {
	key := processPrefix + string(c.self)
	return psplatform.Transaction{
		Conditions: []psplatform.Condition{{Key: key}},
		Writes:     []psplatform.Write{{Key: key, Value: []byte("{}")}},
	}
}

// announced takes in the end of the announcement. An unknown end counts as a later process.
func (c *core) announced(err error) {
	if err != nil {
		return
	}
	c.settlement.first = true
	for _, w := range c.wards {
		w.free = time.Time{}
	}
}

// latest takes in which version is the latest of all.
func (c *core) latest(version uint64) {
	c.current = c.current || version <= c.settlement.version
}

// informed reports whether no earlier process of this VM can have confirmed a later layout
// under which another VM acts: the plan was the latest, or all others have the same layout.
func (c *core) informed() bool {
	return c.current || len(c.settlement.unheard) == 0
}

// mayAct reports whether no other guardian can use the ward's part: all have confirmed the
// layout and loans of before have run out.
func (c *core) mayAct(vm psdoc.Name, now time.Time) bool {
	return c.settlement.settled(vm) && (c.settlement.original() || !now.Before(c.settlement.completed.Add(c.drain)))
}

// promised takes in the guardian's promise.
func (c *core) promised(askedAt, now time.Time) {
	c.hold(askedAt.Add(Term), now)
}

// read takes in a read of the table.
func (c *core) read(beganAt time.Time, adopted bool, now time.Time) {
	if !adopted {
		c.hold(beganAt.Add(Term), now)
	}
}

// hold extends the span, or begins a new one where the last has ended.
func (c *core) hold(until, now time.Time) {
	if !now.Before(c.held.Until) {
		c.held.Since = now
	}
	c.held.Until = later(c.held.Until, until)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// adopted lists the parts that may be used now.
func (c *core) adopted(now time.Time) []Adoption {
	var out []Adoption
	for vm, w := range c.wards {
		if w.stage == stageAdopted && !now.Before(w.usable) {
			out = append(out, Adoption{VM: vm, Since: w.usable})
		}
	}
	slices.SortFunc(out, func(a, b Adoption) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// due lists the wards for which the table must be asked now.
func (c *core) due(now time.Time) []psdoc.Name {
	if !c.current {
		return nil
	}
	var out []psdoc.Name
	for vm, w := range c.wards {
		if w.stage == stageClearing && !now.Before(w.free) || w.stage == stageWatching && c.silent(vm, w, now) {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// silent reports whether the ward was silent for long enough to be taken for gone. Promises
// and reads may still be good then; they run out while the adoption waits for its use.
func (c *core) silent(vm psdoc.Name, w *ward, now time.Time) bool {
	return c.mayAct(vm, now) && now.Sub(w.quiet) > Patience && !now.Before(w.free)
}

// step decides what follows from a ward's row, and returns the transaction to commit.
func (c *core) step(vm psdoc.Name, r psplatform.Row, now time.Time) *psplatform.Transaction {
	w, found := c.wards[vm]
	if !found {
		return nil
	}
	conditions := []psplatform.Condition{{Key: rowKey(vm), Revision: r.Revision}}
	switch {
	case now.Before(w.free):
	case w.stage == stageClearing && r.Revision == 0:
		w.stage = stageWatching
	case w.stage == stageClearing && c.mayClear(vm, r, now):
		return &psplatform.Transaction{Conditions: conditions, Writes: []psplatform.Write{{Key: rowKey(vm), Delete: true}}}
	case w.stage == stageWatching && c.silent(vm, w, now):
		// A row that is there is written anew, so that no delete of it can come late.
		w.nonce = rand.Text()
		value, err := json.Marshal(adoptionRow{Guardian: c.self, Nonce: w.nonce})
		if err != nil {
			panic(err)
		}
		return &psplatform.Transaction{Conditions: conditions, Writes: []psplatform.Write{{Key: rowKey(vm), Value: value}}}
	}
	return nil
}

// mayClear reports whether nobody can use the part under the row.
func (c *core) mayClear(vm psdoc.Name, r psplatform.Row, now time.Time) bool {
	var content adoptionRow
	if json.Unmarshal(r.Value, &content) == nil && content.Guardian == c.self {
		return true
	}
	return c.mayAct(vm, now)
}

// committed takes in the end of a transaction. After an unknown end the row is read again,
// and an adoption is written anew.
func (c *core) committed(vm psdoc.Name, t psplatform.Transaction, err error, now time.Time) {
	w, found := c.wards[vm]
	if !found || err != nil {
		return
	}
	write := t.Writes[0]
	if write.Delete {
		if w.stage == stageClearing {
			w.stage = stageWatching
		}
		return
	}
	var content adoptionRow
	if json.Unmarshal(write.Value, &content) != nil || w.nonce == "" || content.Nonce != w.nonce {
		// The ward spoke meanwhile.
		w.stage = stageClearing
		return
	}
	w.stage, w.usable, w.nonce = stageAdopted, now.Add(Term+Margin+c.drain), ""
}
