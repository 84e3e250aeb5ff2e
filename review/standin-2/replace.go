package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// recovery is the time after which requests must be served again, and observed how long they are counted after it.
	recovery = 15 * time.Second
	observed = 15 * time.Second
	// servedBound is the least fraction of them.
	servedBound = 0.25
	tenantKey   = "9anu6wsjnbanfqasnmgk"
	tenantRate  = 120
)

// replaced plays the loss of all machines. The machines that come instead have new names and addresses; without trouble the same
// ones come back.
func replaced(w *world, trouble bool) (verdict, error) {
	w.store.put("op", "", "config", manifest(1, []string{"prices"}, []route{{"prices", "/prices/", "safe", "prices"}}, tenant{"sese880", tenantKey, tenantRate}))
	if err := w.addServers("prices", 6, 5, 60*time.Millisecond); err != nil {
		return verdict{}, err
	}
	if err := w.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + 500*time.Millisecond)
	before := w.served(w.vms, 8*time.Second)
	w.log("before: %.2f of the requests are served", before)
	w.log("all machines are lost")
	lost := w.vms
	for _, v := range lost {
		v.kill()
	}
	time.Sleep(1200 * time.Millisecond)
	if trouble {
		if err := w.startVMs(len(lost)); err != nil {
			return verdict{}, err
		}
	} else {
		for _, v := range lost {
			if err := v.start(false); err != nil {
				return verdict{}, err
			}
		}
		for _, v := range lost {
			if err := v.awaitReady(); err != nil {
				return verdict{}, err
			}
		}
	}
	back := w.vms[len(w.vms)-len(lost):]
	w.log("%d machines are back and ready", len(back))
	w.served(back, recovery)
	after := w.served(back, observed)
	return verdict{before >= servedBound && after < servedBound, fmt.Sprintf(
		"%.2f of the requests were served before the loss, and %.2f of those that were sent 15 to 30 s after the machines were back and ready", before, after)}, nil
}

// served sends requests of a tenant, a third of its rate, for a time, and returns the fraction of them that is served.
func (w *world) served(vms []*vm, span time.Duration) float64 {
	var mutex sync.Mutex
	var ended sync.WaitGroup
	good, all := 0, 0
	end := time.Now().Add(span)
	for i := 0; time.Now().Before(end); i++ {
		ended.Add(1)
		go func() {
			defer ended.Done()
			v := vms[i%len(vms)]
			a := send(request{to: v.callers(), method: http.MethodGet, target: fmt.Sprintf("/prices/%d", i), host: host, object: fmt.Sprint(i % objects), key: tenantKey, limit: 1200 * time.Millisecond})
			w.log("lookup %s at %s: status %d, %q, error %v", a.id, v.name, a.status, a.body, a.err)
			mutex.Lock()
			defer mutex.Unlock()
			all++
			if a.status == http.StatusOK && a.signed != "" {
				good++
			}
		}()
		time.Sleep(3 * time.Second / tenantRate)
	}
	ended.Wait()
	return float64(good) / float64(max(1, all))
}
