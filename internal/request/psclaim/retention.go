package psclaim

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"persimmonstep/internal/process/psevent"
	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/pswait"
)

const (
	// EpochLength is the shortest time between two epochs.
	EpochLength = time.Hour
	// RetentionEpochs is the number of whole epochs for which a claim is kept. With the
	// epoch in which it was made this keeps a claim for at least 24 hours.
	RetentionEpochs = 24
	// lookInterval is the mean time between two looks at the epoch.
	lookInterval = 10 * time.Minute
	// logPage is the number of logged transactions that one scan asks for.
	logPage = 50
)

// Cleaner counts epochs and deletes claims that are past their retention.
//
// An epoch is a number in the table. A VM raises it when it has itself seen the same
// number for an epoch's length by its monotonic clock. Clocks that are wrong, VMs that are
// paused and tables that are down can thus make an epoch longer, but never shorter.
type Cleaner struct {
	// Table keeps the claims.
	Table psplatform.Table
	// Chosen reports whether this VM is the one to clean up the epoch; more than one may be.
	Chosen func(epoch uint64) bool
	// Now gives the time with a monotonic reading.
	Now func() time.Time
	// Logger takes the log lines.
	Logger hclog.Logger

	seen  uint64
	since time.Time
}

// Run counts epochs and cleans up until the context ends.
func (c *Cleaner) Run(ctx context.Context) {
	for {
		// A failed look is made up for by the next one.
		_ = c.Look(ctx)
		if !pswait.Sleep(ctx, lookInterval/2+rand.N(lookInterval)) {
			return
		}
	}
}

// Look raises the epoch if it is time, and cleans up if this VM is chosen.
func (c *Cleaner) Look(ctx context.Context) error {
	rows, err := c.Table.Read(ctx, epochKey)
	if err != nil {
		return errors.Wrap(err, "read the claim epoch")
	}
	epoch, err := decodeEpoch(rows[0])
	if err != nil {
		return err
	}
	// Only a reading taken after the row was seen may begin the wait.
	now := c.Now()
	if c.since.IsZero() || rows[0].Revision != c.seen {
		c.seen, c.since = rows[0].Revision, now
	}
	if now.Sub(c.since) >= EpochLength {
		return c.advance(ctx, epoch+1, rows[0].Revision)
	}
	if epoch <= RetentionEpochs || !c.Chosen(epoch) {
		return nil
	}
	return c.clean(ctx, epoch-RetentionEpochs)
}

func (c *Cleaner) advance(ctx context.Context, epoch, revision uint64) error {
	_, err := c.Table.Commit(ctx, psplatform.Transaction{
		Conditions: []psplatform.Condition{{Key: epochKey, Revision: revision}},
		Writes:     []psplatform.Write{{Key: epochKey, Value: encode(epochRow{Number: epoch})}},
	})
	if err == nil {
		psevent.EpochAdvanced.Log(c.Logger, epoch)
	}
	return errors.Wrap(err, "advance the claim epoch")
}

// clean deletes the claims of epochs before the given one.
func (c *Cleaner) clean(ctx context.Context, before uint64) error {
	for {
		rows, err := c.Table.Scan(ctx, logPrefix, "", logPage)
		if err != nil {
			return errors.Wrap(err, "scan the claim log")
		}
		for _, r := range rows {
			epoch, err := logEpoch(r.Key)
			if err != nil || epoch >= before {
				return err
			}
			if err := c.forget(ctx, r, epoch); err != nil {
				return err
			}
		}
		if len(rows) < logPage {
			return nil
		}
	}
}

func logEpoch(key string) (uint64, error) {
	text, _, _ := strings.Cut(strings.TrimPrefix(key, logPrefix), "/")
	epoch, err := strconv.ParseUint(text, 10, 64)
	return epoch, errors.Wrapf(err, "read the epoch of %q", key)
}

// forget deletes the claims of one logged transaction that have ended in its epoch, and the
// log row. A claim that runs or is unknown is kept for ever.
func (c *Cleaner) forget(ctx context.Context, log psplatform.Row, epoch uint64) error {
	var keys []string
	if err := json.Unmarshal(log.Value, &keys); err != nil {
		return errors.Wrapf(err, "decode %q", log.Key)
	}
	t := psplatform.Transaction{
		Conditions: []psplatform.Condition{{Key: log.Key, Revision: log.Revision}},
		Writes:     []psplatform.Write{{Key: log.Key, Delete: true}},
	}
	rows, err := c.Table.Read(ctx, keys...)
	if err != nil {
		return errors.Wrap(err, "read claims")
	}
	for _, r := range rows {
		if r.Revision == 0 {
			continue
		}
		current, err := decode(r)
		if err != nil {
			return err
		}
		if current.Epoch != epoch || current.State == stateRunning || current.State == stateUnknown {
			continue
		}
		t.Conditions = append(t.Conditions, psplatform.Condition{Key: r.Key, Revision: r.Revision})
		t.Writes = append(t.Writes, psplatform.Write{Key: r.Key, Delete: true})
	}
	if _, err := c.Table.Commit(ctx, t); err != nil {
		return errors.Wrap(err, "forget claims")
	}
	psevent.ClaimsForgotten.Log(c.Logger, epoch, len(t.Writes)-1)
	return nil
}
