package pswithdrawal

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/samber/lo"

	"persimmonstep/internal/connection/psfanout"
	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/version/psdoc"
)

const (
	rowPrefix = "withdrawal/"
	// headKey is a row that each write of withdrawals changes, so that one read tells
	// whether there are new ones.
	headKey    = "withdrawalHead"
	topic      = "withdrawal"
	methodList = "withdrawal.list"
	// scanPage is the number of rows that one scan asks for.
	scanPage = 500
	// maxWrites bounds the rows of one transaction.
	maxWrites = 100
	// scanInterval is the mean time between two scans once the table and the set agree.
	scanInterval = time.Minute
	// headInterval is the time between two looks of a domain's first VM at the head row.
	headInterval = time.Second
	// retryInterval is the mean time between two tries to bring the table up to date.
	retryInterval = time.Second
)

// Spreader brings the set to the other VMs and to the table, and from them to this VM.
type Spreader struct {
	// Set is this VM's set.
	Set *Set
	// Plans gives the addresses of the other VMs.
	Plans psfanout.Plans
	// Peers calls one VM.
	Peers psfanout.Peers
	// Fanout calls all VMs.
	Fanout *psfanout.Fanout
	// Table keeps the set for VMs that start later.
	Table psplatform.Table
	// First reports whether this VM looks at the table often, for its failure domain.
	First func() bool
	// Logger takes the log lines.
	Logger hclog.Logger

	mutex  sync.Mutex
	stored map[psdoc.Name]bool
	loaded bool

	wake  chan struct{}
	pulls chan psdoc.Name
}

// list is another VM's set.
type list struct {
	// Loaded says that the set was loaded from the table or from a VM whose set was.
	Loaded bool         `json:"loaded"`
	Keys   []psdoc.Name `json:"keys"`
}

// Start registers the handlers; it must be called once before the peers serve.
func (s *Spreader) Start() {
	s.stored = make(map[psdoc.Name]bool)
	s.wake = make(chan struct{}, 1)
	s.pulls = make(chan psdoc.Name, 1)
	s.Fanout.Handle(topic, func(_ context.Context, from psdoc.Name, params json.RawMessage) bool {
		var ids []psdoc.Name
		if json.Unmarshal(params, &ids) != nil {
			return false
		}
		s.learn(from, ids)
		return true
	})
	s.Peers.Handle(methodList, func(context.Context, psdoc.Name, json.RawMessage) (any, error) {
		return list{Loaded: s.Loaded(), Keys: s.Set.All()}, nil
	})
}

// Withdraw withdraws keys. They stop working on this VM at once; the call returns when all
// VMs of the plan have confirmed, or when the context ends, and names those that have not.
// It works while the platform is down.
func (s *Spreader) Withdraw(ctx context.Context, ids ...psdoc.Name) (confirmed, missing []psdoc.Name) {
	s.learn("", ids)
	confirmed, missing, err := s.Fanout.Ask(ctx, topic, ids)
	if err != nil {
		panic("pswithdrawal: " + err.Error())
	}
	psevent.WithdrawalSpread.Log(s.Logger, ids, len(confirmed), missing)
	return confirmed, missing
}

// Stored reports whether the table holds all keys of the set.
func (s *Spreader) Stored() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loaded && len(s.unstored()) == 0
}

// Loaded reports whether the set was loaded once from the table or from another VM. Until
// then a VM that has just started cannot know which keys are withdrawn.
func (s *Spreader) Loaded() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.loaded
}

// learn honours withdrawals at once and has them written to the table.
func (s *Spreader) learn(from psdoc.Name, ids []psdoc.Name) {
	fresh := s.Set.Add(ids...)
	if len(fresh) == 0 {
		return
	}
	psevent.KeyWithdrawn.Log(s.Logger, fresh, from)
	if from == "" {
		s.signal()
	}
}

func (s *Spreader) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run keeps the set and the table equal and pulls from VMs whose set differs, until the
// context ends. The VM that took a withdrawal writes it at once; the others look at the
// table after a random wait and write only what is still missing there.
func (s *Spreader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		head, err := s.synchronize(ctx)
		wait := jitter(retryInterval)
		if err == nil && s.Stored() {
			wait = jitter(scanInterval)
		}
		s.idle(ctx, head, time.Now().Add(wait))
	}
}

// idle serves pulls until the table must be scanned: at the given time, after a withdrawal
// by an operator, or, on the first VM of a domain, when the head row has changed.
func (s *Spreader) idle(ctx context.Context, head uint64, end time.Time) {
	for ctx.Err() == nil && time.Now().Before(end) {
		t := time.NewTimer(min(headInterval, time.Until(end)))
		woken := s.pullUntil(ctx, t.C)
		t.Stop()
		if woken {
			return
		}
		if s.First() {
			rows, err := s.Table.Read(ctx, headKey)
			if err == nil && rows[0].Revision != head {
				return
			}
		}
	}
}

// pullUntil serves pulls until the end, and reports whether an operator's withdrawal waits.
func (s *Spreader) pullUntil(ctx context.Context, end <-chan time.Time) bool {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-end:
			return false
		case <-s.wake:
			return true
		case n := <-s.pulls:
			s.pull(ctx, n)
		}
	}
}

// jitter spreads a wait over half to three halves of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// synchronize loads the table's keys and writes those that it lacks. It returns the head
// row's revision from before.
func (s *Spreader) synchronize(ctx context.Context) (uint64, error) {
	head, err := s.Table.Read(ctx, headKey)
	if err != nil {
		return 0, errors.Wrap(err, "read the head of the withdrawals")
	}
	if err := s.load(ctx); err != nil {
		return 0, err
	}
	s.mutex.Lock()
	missing := s.unstored()
	s.mutex.Unlock()
	for _, ids := range lo.Chunk(missing, maxWrites) {
		t := psplatform.Transaction{Writes: []psplatform.Write{{Key: headKey, Value: []byte("{}")}}}
		for _, id := range ids {
			t.Writes = append(t.Writes, psplatform.Write{Key: rowPrefix + string(id), Value: []byte("{}")})
		}
		// The rows say the same whoever writes them, so a repeated or late commit does no harm.
		if _, err := s.Table.Commit(ctx, t); err != nil {
			return 0, errors.Wrap(err, "store withdrawals")
		}
		s.mark(ids)
	}
	return head[0].Revision, nil
}

func (s *Spreader) load(ctx context.Context) error {
	after := ""
	for {
		rows, err := s.Table.Scan(ctx, rowPrefix, after, scanPage)
		if err != nil {
			return errors.Wrap(err, "load withdrawals")
		}
		ids := lo.Map(rows, func(r psplatform.Row, _ int) psdoc.Name {
			return psdoc.Name(strings.TrimPrefix(r.Key, rowPrefix))
		})
		s.mark(ids)
		s.learn("table", ids)
		if len(rows) < scanPage {
			break
		}
		after = rows[len(rows)-1].Key
	}
	s.setLoaded()
	return nil
}

func (s *Spreader) setLoaded() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.loaded = true
}

func (s *Spreader) mark(ids []psdoc.Name) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, id := range ids {
		s.stored[id] = true
	}
}

// unstored lists the keys that the table is not known to hold. The mutex is held.
func (s *Spreader) unstored() []psdoc.Name {
	return lo.Filter(s.Set.All(), func(id psdoc.Name, _ int) bool { return !s.stored[id] })
}

// pull takes over the set of another VM.
func (s *Spreader) pull(ctx context.Context, n psdoc.Name) {
	v, found := s.Plans.Plan().VM(n)
	if !found {
		return
	}
	var out list
	if s.Peers.Call(ctx, pspeer.Peer{Name: n, Address: v.Peer}, methodList, struct{}{}, &out) != nil {
		return
	}
	s.learn(n, out.Keys)
	if out.Loaded {
		s.setLoaded()
	}
}

// summary is what a heartbeat says about a set.
type summary struct {
	Count  int    `json:"n"`
	Digest uint64 `json:"d"`
}

// Name identifies the heartbeat section.
func (s *Spreader) Name() string { return "withdrawals" }

// Produce returns the summary of the set.
func (s *Spreader) Produce() json.RawMessage {
	count, digest := s.Set.Summary()
	data, err := json.Marshal(summary{Count: count, Digest: digest})
	if err != nil {
		panic("pswithdrawal: " + err.Error())
	}
	return data
}

// Consume has the other VM's set pulled if it differs.
func (s *Spreader) Consume(from psdoc.Name, data json.RawMessage) {
	var in summary
	if json.Unmarshal(data, &in) != nil {
		return
	}
	if count, digest := s.Set.Summary(); in.Count == count && in.Digest == digest && s.Loaded() {
		return
	}
	select {
	case s.pulls <- from:
	default:
	}
}
