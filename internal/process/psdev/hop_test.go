package psdev_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/go-hclog"

	"persimmonstep/internal/process/psdev"
)

const (
	// hopRate is the number of requests per second on each of the two ways.
	hopRate = 1000
	// hopSpan is how long they are sent, after the first part that does not count.
	hopSpan   = 4 * time.Second
	hopWarmUp = time.Second
)

// way is one way to a backend server: through a VM, or straight to it.
type way struct {
	url, key string
	mutex    sync.Mutex
	taken    *hdrhistogram.Histogram
	failed   int
}

func newWay(url, key string) *way {
	return &way{url: url, key: key, taken: hdrhistogram.New(1, int64(10*time.Second), 3)}
}

// send sends a request and counts the time from when it was due.
func (w *way) send(c *http.Client, due time.Time, counts bool) {
	r, err := http.NewRequestWithContext(context.Background(), "GET", w.url, nil)
	if err != nil {
		panic(err)
	}
	r.Header.Set("Authorization", "Bearer "+w.key)
	a, err := c.Do(r)
	ok := err == nil && a.StatusCode == http.StatusOK
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		ok = ok && err == nil
		_ = a.Body.Close()
	}
	took := time.Since(due)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	switch {
	case !ok:
		w.failed++
	case counts:
		_ = w.taken.RecordValue(int64(took))
	}
}

func (w *way) quantile(q float64) float64 {
	return float64(w.taken.ValueAtQuantile(q)) / float64(time.Microsecond)
}

// BenchmarkHop compares requests through a VM with requests straight to a backend server,
// both at 1,000 a second in the same run. It runs once, whatever b.N is.
func BenchmarkHop(b *testing.B) {
	topology := psdev.Example()
	for i := range topology.Workspaces {
		topology.Workspaces[i].Rate, topology.Workspaces[i].Burst = 100*hopRate, 100*hopRate
	}
	s, stop, err := psdev.New(context.Background(), topology, hclog.New(&hclog.LoggerOptions{Output: io.Discard, Level: hclog.Info}))
	qt.Assert(b, err, qt.IsNil)
	defer stop()
	through := newWay("http://"+s.Ready.Callers[0].String()+"/prices/eggs", s.Ready.Workspaces[0].Key)
	straight := newWay("http://"+s.Ready.Servers[0].Address.String()+"/prices/eggs", s.Ready.Workspaces[0].Key)
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	defer c.CloseIdleConnections()
	var sending sync.WaitGroup
	began := time.Now()
	for n := range int(hopRate * (hopSpan + hopWarmUp).Seconds()) {
		due := began.Add(time.Duration(n) * time.Second / hopRate)
		time.Sleep(time.Until(due))
		now := time.Now()
		sending.Go(func() { through.send(c, now, due.Sub(began) > hopWarmUp) })
		sending.Go(func() { straight.send(c, now, due.Sub(began) > hopWarmUp) })
	}
	sending.Wait()
	qt.Assert(b, through.failed+straight.failed, qt.Equals, 0)
	b.ReportMetric(0, "ns/op")
	for name, q := range map[string]float64{"p50": 50, "p99": 99} {
		b.ReportMetric(through.quantile(q), name+"-through-us")
		b.ReportMetric(straight.quantile(q), name+"-straight-us")
	}
	b.ReportMetric(through.quantile(50)-straight.quantile(50), "p50-added-us")
}
