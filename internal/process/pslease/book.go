// Package pslease divides the limits of the fleet among its VMs, so that what all VMs may use together is at most the limit at
// any time.
//
// Each VM owns an equal part of each limit and lends it to the VMs whose reports it receives, so that a limit can be used where
// its demand is. A VM that is cut off, or has failed, keeps its part: the others can't tell one from the other, and those on
// the other side of a partition use theirs.
//
// It answers this load: VMs fail, hang, are suspended, restart in turn or all at once, and the network between them is
// partitioned in one or both directions, while callers use the limits fully.
//
// A lease ends by the clocks of both sides. The borrower stops when it no longer hears the lender, or is told that the lender
// doesn't hear it. The lender excludes a silent VM only after a time in which one of the two must have happened. A VM that enters
// a group, or that its members choose as an owner of tokens, waits until all of them must have received the lender's report of
// the change.
//
// How the VMs of a group split its parts is up to packages psrate and psshare. They count a VM's lowest demand within the
// [Group]'s window as its own, because another member may still rely on any report of that age.
package pslease

import (
	"math"
	"time"

	"persimmonstep/internal/process/psfleet"
	"persimmonstep/internal/process/psmessage"
)

const (
	// messageDelay is the longest time that a report is under way, without the time until its sender sends it.
	messageDelay = 100 * time.Millisecond
	// exclusionSlack is added to the time after which a silent VM is excluded, for slow processes.
	exclusionSlack = time.Second
	// orphanTime is how long guests must hear no owner until they share the limits among themselves. They can't tell whether the
	// owners are gone or cut off, but without this the limits of a fleet whose owners are gone would stay out of use.
	orphanTime = time.Minute
	// maxSets bounds the sets of members that are kept.
	maxSets = 64
	// unbounded is the window of a group with a member that may rely on any report of this VM.
	unbounded = time.Duration(math.MaxInt64 / 2)
)

// Book is one VM's record of the leases. It isn't safe for concurrent use.
type Book struct {
	self      psmessage.Identity
	startedAt time.Time
	// guest is set while other VMs may not count this one as an owner.
	guest bool
	// owners are the other VMs that own a part, or may soon own one, and ownersHash identifies them and this VM, if that
	// is counted as well.
	owners     map[string]bool
	ownersHash uint32
	// heardOwnerAt is when the last report of an owner arrived.
	heardOwnerAt time.Time
	// ended states that this VM ends, and heir is the VM to which it has left its part; empty if there is none. bequests are those
	// of other VMs, by name, and inheritedAt is when this VM got a part; zero if it has got none.
	ended       bool
	heir        string
	bequests    map[string]bequest
	inheritedAt time.Time

	own     term
	lenders map[string]*lender
	// sets holds the members of groups by the group's hash, for the fleet's generation.
	sets       map[uint32]*set
	generation int64
	// unheard are the VMs that were published when this one had read them for the first time, and that it hasn't heard so far. They
	// may have become owners since an earlier process of this VM ended. read is set once it has read them.
	unheard map[string]bool
	read    bool
	// parts is the number of parts of each limit, as counted at partsCountedAt by this VM or another one.
	parts          int
	partsCountedAt time.Time
	// formerParts is the number of parts before the last changes, the last of which was at partsChangedAt; 0 once all VMs know
	// of them. bothParts states that this VM goes by both.
	formerParts    int
	bothParts      bool
	partsChangedAt time.Time
	statement      psmessage.Lease
	// first states that no earlier process of this VM can have lent a part. stated is set once other VMs may have received a
	// statement.
	first, stated bool
	// aloneIn holds, by VM, the incarnation in which it stated that no VM lends it its part.
	aloneIn map[string]int64
	// windows are the windows of groups at the last update, and informed states whether all members know the VMs of a group.
	windows  map[*set]time.Duration
	informed map[*set]bool
	// formers holds the lists of former groups.
	formers map[former]*former
}

// New returns the book of a VM that starts now, as a guest.
func New(self psmessage.Identity, now time.Time) *Book {
	return &Book{
		self: self, startedAt: now, guest: true, owners: map[string]bool{}, bequests: map[string]bequest{}, heardOwnerAt: now,
		lenders: map[string]*lender{}, sets: map[uint32]*set{}, aloneIn: map[string]int64{}, formers: map[former]*former{}, unheard: map[string]bool{},
	}
}

// Confirm records that an earlier process of this VM owned a part. All other VMs count it as an owner.
func (b *Book) Confirm() { b.guest = false }

// Guest reports whether this VM has no part of its own, because other VMs may not count it as an owner yet.
func (b *Book) Guest() bool { return b.guest }

// Statement returns what this VM states in its reports, as of the last update.
func (b *Book) Statement() psmessage.Lease { return b.statement }

// Update brings the book up to date with the fleet, and returns what this VM may use. complete states that all published VMs
// were read since this VM was published. If an earlier process of it owned a part, it must have been confirmed before.
func (b *Book) Update(f *psfleet.Fleet, complete bool, now time.Time) Holding {
	if g := f.Generation(); g != b.generation || len(b.sets) > maxSets || len(b.formers) > maxSets {
		b.generation = g
		clear(b.sets)
		clear(b.formers)
	}
	b.windows, b.informed = map[*set]time.Duration{}, map[*set]bool{}
	b.first = b.first || complete && b.guest
	b.noteAlone(f)
	counted := b.updateOwners(f, complete, now)
	b.updateUnheard(f, complete)
	b.updateParts(f, counted, now)
	b.updateStatement(f, now)
	b.updateOwn(f, now)
	if b.guest && !b.ended && (b.hasInherited(f, now) || counted && b.isCounted(f, now)) {
		b.guest = false
		b.statement.Guest = false
	}
	b.updateLenders(f, now)
	if b.ended {
		return Holding{Parts: b.parts, DecisiveParts: []int{b.parts}, Since: b.own.since}
	}
	return b.hold(f, now)
}

// hears reports whether this VM hears another one that hasn't ended.
func hears(f *psfleet.Fleet, p *psfleet.Peer, now time.Time) bool {
	return f.Live(p, now) && !p.Ended()
}
