package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	// crashBound is the number of crashes after which a request must not be sent on, and retryBound how often it may be
	// nevertheless.
	crashBound = 3
	retryBound = 3
	// poisonPause is the time between two sendings of the request. Its client gets an answer long before.
	poisonPause = 700 * time.Millisecond
	workers     = 6
	// rounds is how often the VMs are stopped and started in turn.
	rounds = 2
)

// poison plays a request that crashes each server that runs it, while the VMs are stopped and started in turn.
func poison(w *world, trouble bool) (verdict, error) {
	w.store.put("op", "", "config", manifest(1, []string{"orders"}, []route{{"orders", "/orders/", "unsafe", "orders"}}))
	if err := w.addServers("orders", 8, 4, 250*time.Millisecond); err != nil {
		return verdict{}, err
	}
	if err := w.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact + 500*time.Millisecond)
	stop, ended := make(chan struct{}), sync.WaitGroup{}
	lost := w.load(stop, &ended)
	for n := 0; len(w.crashes()) < crashBound && n < 3*crashBound; n++ {
		w.sendPoison(w.vms[n%len(w.vms)])
	}
	crashes := w.crashes()
	if len(crashes) < crashBound {
		return verdict{}, fmt.Errorf("the request crashed %d servers", len(crashes))
	}
	from := crashes[crashBound-1].at.Add(contact)
	w.log("the request has crashed its third server")
	time.Sleep(time.Until(from) + 200*time.Millisecond)
	for _, v := range w.vms {
		w.sendPoison(v)
	}
	for n := range rounds * len(w.vms) {
		v := w.vms[n%len(w.vms)]
		if trouble {
			w.log("SIGTERM to %s", v.name)
			v.terminate()
			if err := v.start(false); err != nil {
				return verdict{}, err
			}
			if err := v.awaitReady(); err != nil {
				return verdict{}, err
			}
			w.log("%s is ready again", v.name)
			time.Sleep(contact + 300*time.Millisecond)
		}
		for range 2 {
			w.sendPoison(v)
		}
	}
	close(stop)
	ended.Wait()
	retries := 0
	for _, a := range w.crashes() {
		inTouch := a.at.Sub(w.senderStartedAt(a.id)) >= contact
		if a.at.After(from) && inTouch {
			retries++
		}
	}
	return verdict{retries > retryBound, fmt.Sprintf(
		"the request reached servers %d times later than 3 s after its third crash, sent by machines in touch (%d allowed); %d other requests that ran got no answer of their server",
		retries, retryBound, lost())}, nil
}

// crashes returns the runs of the request.
func (w *world) crashes() []arrival {
	return w.arrivalsOf(func(a arrival) bool { return a.ran && a.path == "/orders"+crashPath })
}

// senderStartedAt returns when the VM had started to which a request was sent.
func (w *world) senderStartedAt(id string) time.Time {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.sentTo[id]
}

func (w *world) sendPoison(v *vm) {
	startedAt := v.startedAt
	a := send(request{to: v.callers(), method: http.MethodPost, target: "/orders" + crashPath, host: host, body: "the same body", limit: 1500 * time.Millisecond})
	w.mutex.Lock()
	w.sentTo[a.id] = startedAt
	w.mutex.Unlock()
	w.log("the request that crashes servers, %s at %s: status %d, error %v", a.id, v.name, a.status, a.err)
	time.Sleep(poisonPause)
}

// load sends other requests, which run at most once, until it is stopped. The returned function counts those that ran and got no
// answer of their server.
func (w *world) load(stop chan struct{}, ended *sync.WaitGroup) func() int {
	var mutex sync.Mutex
	var failed []string
	for n := range workers {
		ended.Add(1)
		go func() {
			defer ended.Done()
			for i := n; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				v := w.vms[i%len(w.vms)]
				if !freeOfSignal(v) {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				a := send(request{to: v.callers(), method: http.MethodPost, target: fmt.Sprintf("/orders/%s", newID()), host: host, object: fmt.Sprint(i), body: "order", limit: 1500 * time.Millisecond})
				if a.signed == "" {
					mutex.Lock()
					failed = append(failed, a.id)
					mutex.Unlock()
					w.log("order %s at %s: status %d, error %v", a.id, v.name, a.status, a.err)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	return func() int {
		mutex.Lock()
		defer mutex.Unlock()
		ran := map[string]bool{}
		for _, a := range w.arrivalsOf(func(a arrival) bool { return a.ran }) {
			ran[a.id] = true
		}
		count := 0
		for _, id := range failed {
			if ran[id] {
				count++
			}
		}
		return count
	}
}

// freeOfSignal reports whether a VM says that it takes clients, as its directory would.
func freeOfSignal(v *vm) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	response, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", v.ip, v.port+1))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
