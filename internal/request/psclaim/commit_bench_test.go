package psclaim_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psplatform"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/request/psclaim"
)

// BenchmarkClaims runs orders of 5 ms on one of nine VMs from 256 callers: the claims that
// end each second, and the writes that they cost, with group commit and with one
// transaction for each write.
func BenchmarkClaims(b *testing.B) {
	const callers, span, work = 256, 4 * time.Second, 5 * time.Millisecond
	for _, grouped := range []bool{true, false} {
		b.Run(fmt.Sprintf("grouped=%t", grouped), func(b *testing.B) {
			s, clean, err := psstandin.NewServer(context.Background(), netip.MustParseAddrPort("127.0.0.1:0"))
			qt.Assert(b, err, qt.IsNil)
			defer clean()
			client, cleanClient := psplatform.NewClient(s.Address)
			defer cleanClient()
			guard := psplatform.NewGuard(psplatform.GuardOptions{
				Platform: client, Fleet: func() int { return 9 }, Now: time.Now,
				Observe: func(psplatform.Call, psplatform.End, time.Duration) {}, Switched: func(bool) {},
			})
			ctx, stop := context.WithCancel(b.Context())
			defer stop()
			claims := psclaim.New(psclaim.Options{VM: "a", Incarnation: "1", Platform: guard, Logger: hclog.NewNullLogger()})
			go claims.Run(ctx)
			one := func(n int64) bool {
				if !grouped {
					return writeTwice(ctx, guard, n, work)
				}
				result, err := claims.Begin(ctx, order(fmt.Sprint(n), "x"))
				run, found := result.(psclaim.Run)
				if err != nil || !found {
					return false
				}
				time.Sleep(work)
				run.Finish(recorded)
				return true
			}
			for b.Loop() {
				before, began := s.Store.Commits(), time.Now()
				var number, done atomic.Int64
				var calling sync.WaitGroup
				for range callers {
					calling.Go(func() {
						for time.Since(began) < span {
							if one(number.Add(1)) {
								done.Add(1)
							}
						}
					})
				}
				calling.Wait()
				b.ReportMetric(float64(done.Load())/time.Since(began).Seconds(), "claims/s")
				b.ReportMetric(float64(s.Store.Commits()-before)/time.Since(began).Seconds(), "writes/s")
				b.ReportMetric(float64(number.Load()-done.Load()), "refused")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// writeTwice writes a row before and after the work, each in a transaction of its own, and
// waits for its turn as long as it takes.
func writeTwice(ctx context.Context, g *psplatform.Guard, n int64, work time.Duration) bool {
	key := fmt.Sprintf("single/%d", n)
	revision, err := g.Commit(ctx, psplatform.Transaction{
		Conditions: []psplatform.Condition{{Key: key}}, Writes: []psplatform.Write{{Key: key, Value: []byte("running")}},
	})
	if err != nil {
		return false
	}
	time.Sleep(work)
	_, err = g.Commit(ctx, psplatform.Transaction{
		Conditions: []psplatform.Condition{{Key: key, Revision: revision}}, Writes: []psplatform.Write{{Key: key, Value: []byte("done")}},
	})
	return err == nil
}
