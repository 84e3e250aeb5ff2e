package psvm_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"
	"github.com/pelletier/go-toml/v2"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/process/psdev"
	"persimmonstep/internal/process/psstandin"
	"persimmonstep/internal/request/pskey"
	"persimmonstep/internal/version/psdoc"
)

// nineVMs has three regions with two failure domains each, and two VMs in every second one.
func nineVMs() psdev.Topology {
	t := psdev.Example()
	t.Regions, t.Domains, t.VMs, t.Servers = nil, nil, nil, nil
	for d := range 6 {
		region, domain := psdoc.Name(fmt.Sprintf("r%d", d/2)), psdoc.Name(fmt.Sprintf("d%d", d))
		if d%2 == 0 {
			t.Regions = append(t.Regions, psdoc.Region{Name: region})
		}
		t.Domains = append(t.Domains, psdoc.FailureDomain{Name: domain, Region: region})
		for v := range 2 - d%2 {
			t.VMs = append(t.VMs, psdev.TopologyVM{Name: psdoc.Name(fmt.Sprintf("vm-%d-%d", d, v)), Region: region, Domain: domain})
		}
		for _, pool := range []psdoc.Name{"prices", "orders", "photos"} {
			t.Servers = append(t.Servers, psdev.TopologyServer{Name: psdoc.Name(fmt.Sprintf("%s-%d", pool, d)), Domain: domain, Pool: pool, Slots: 16})
		}
	}
	return t
}

func startNine(b *testing.B) *psdev.System {
	b.Helper()
	s, stop, err := psdev.New(context.Background(), nineVMs(), hclog.NewNullLogger())
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(stop)
	return s
}

// spans are the outcomes of a benchmark.
type spans []time.Duration

func (s spans) report(b *testing.B) {
	b.Helper()
	slices.Sort(s)
	b.ReportMetric(float64(s[len(s)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(s[len(s)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(s[len(s)-1].Microseconds())/1000, "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkApplyToInForce is the time from an accepted apply until all living VMs have it
// in force. The first VM of a domain is its poller.
func BenchmarkApplyToInForce(b *testing.B) {
	for _, kill := range []bool{false, true} {
		b.Run(fmt.Sprintf("pollerDead=%t", kill), func(b *testing.B) {
			s := startNine(b)
			time.Sleep(time.Second)
			var out spans
			n := 0
			for b.Loop() {
				n++
				text := fmt.Sprintf("document = \"drains\"\n# %d\n", n)
				qt.Assert(b, s.Apply(b.Context(), fmt.Sprintf("bench-%d", n), map[string]string{"drains.toml": text}), qt.IsNil)
				began := time.Now()
				if kill && n == 1 {
					s.Kill(0)
				}
				expected := uint64(n + 1)
				for i, v := range s.VMs {
					for v.Version() < expected && !(kill && i == 0) {
						time.Sleep(time.Millisecond)
					}
				}
				out = append(out, time.Since(began))
				time.Sleep(50 * time.Millisecond)
			}
			out.report(b)
		})
	}
}

// BenchmarkWithdrawal is the time from an operator's withdrawal until the last answer 200
// to a caller that goes on with the key on all VMs.
func BenchmarkWithdrawal(b *testing.B) {
	for _, down := range []bool{false, true} {
		b.Run(fmt.Sprintf("storeDown=%t", down), func(b *testing.B) {
			s := startNine(b)
			keys := issue(b, s, 64)
			for s.VMs[8].Version() < 2 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(time.Second)
			if down {
				s.Platform.Faults.Set(psstandin.Fault{Kind: psstandin.FaultLoseCall})
				time.Sleep(2 * time.Second)
			}
			var out spans
			for b.Loop() {
				k := keys[0]
				keys = keys[1:]
				out = append(out, withdraw(b, s, k))
			}
			out.report(b)
		})
	}
}

// issue makes keys for the first workspace.
func issue(b *testing.B, s *psdev.System, n int) []pskey.Key {
	b.Helper()
	d := psdoc.Document{Document: "more-keys"}
	var out []pskey.Key
	for range n {
		k := pskey.New()
		out = append(out, k)
		d.Keys = append(d.Keys, psdoc.Key{ID: k.ID, Workspace: s.Ready.Workspaces[0].Name, Digest: psdoc.DigestOf(k.Secret)})
	}
	text, err := toml.Marshal(d)
	qt.Assert(b, err, qt.IsNil)
	qt.Assert(b, s.Apply(b.Context(), "keys", map[string]string{"more-keys.toml": string(text)}), qt.IsNil)
	return out
}

// withdraw withdraws a key under load and returns the time until its last success.
func withdraw(b *testing.B, s *psdev.System, k pskey.Key) time.Duration {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	var mutex sync.Mutex
	var last time.Time
	var calling sync.WaitGroup
	for _, v := range s.Ready.Callers {
		calling.Go(func() {
			for ctx.Err() == nil {
				r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.String()+"/prices/x", nil)
				if err != nil {
					return
				}
				r.Header.Set("Authorization", "Bearer "+k.String())
				a, err := http.DefaultClient.Do(r)
				if err != nil {
					continue
				}
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				if a.StatusCode == http.StatusOK {
					mutex.Lock()
					last = time.Now()
					mutex.Unlock()
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	body, err := json.Marshal(psadmin.WithdrawRequest{Author: "bench", IDs: []psdoc.Name{k.ID}})
	qt.Assert(b, err, qt.IsNil)
	token, err := os.ReadFile(s.Ready.OperatorTokenFile)
	qt.Assert(b, err, qt.IsNil)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.Ready.Operators[0].String()+"/v1/keys/withdraw", bytes.NewReader(body))
	qt.Assert(b, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(token)))
	r.Header.Set("Content-Type", "application/json")
	began := time.Now()
	a, err := http.DefaultClient.Do(r)
	qt.Assert(b, err, qt.IsNil)
	var out psadmin.WithdrawResponse
	qt.Assert(b, json.NewDecoder(a.Body).Decode(&out), qt.IsNil)
	qt.Assert(b, a.Body.Close(), qt.IsNil)
	qt.Assert(b, out.Missing, qt.HasLen, 0)
	qt.Assert(b, out.Confirmed, qt.HasLen, len(s.VMs))
	time.Sleep(100 * time.Millisecond)
	cancel()
	calling.Wait()
	return max(0, last.Sub(began))
}

// BenchmarkOrder is the time of one order after the other, with and without a claim.
func BenchmarkOrder(b *testing.B) {
	for _, claimed := range []bool{false, true} {
		b.Run(fmt.Sprintf("claimed=%t", claimed), func(b *testing.B) {
			s := startNine(b)
			var out spans
			n := 0
			for b.Loop() {
				n++
				r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+s.Ready.Callers[n%9].String()+"/orders/x", strings.NewReader("tray"))
				qt.Assert(b, err, qt.IsNil)
				r.Header.Set("Authorization", "Bearer "+s.Ready.Workspaces[0].Key)
				if claimed {
					r.Header.Set("Idempotency-Key", fmt.Sprint(n))
				}
				began := time.Now()
				a, err := http.DefaultClient.Do(r)
				qt.Assert(b, err, qt.IsNil)
				_, _ = io.Copy(io.Discard, a.Body)
				_ = a.Body.Close()
				if a.StatusCode != http.StatusOK {
					b.Fatalf("order %d: %s", n, a.Status)
				}
				out = append(out, time.Since(began))
				time.Sleep(10 * time.Millisecond)
			}
			out.report(b)
		})
	}
}
