package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// idleChannels: clients open channels at the usual rate of requests of a small VM, one request each, and leave them idle for
// longer than the manifest's idle_timeout_s. Without the trouble they close them after the answer.
func idleChannels(trouble bool) {
	const (
		host      = "jepu9.example"
		perSecond = 66 // 594 requests a second at 9 VMs
		fill      = 66 * time.Second
		probeFor  = 12 * time.Second
		contact   = 3 * time.Second
		probers   = 10
	)
	s, seen := newStore(), &arrivals{}
	s.put("op", "config", manifest(7, []object{route("r-a", host, "/lepu270/", "safe", "huvo11a", nil)}, []object{service("huvo11a")}, oneTenant()))
	for n := range 4 {
		v := &server{id: fmt.Sprintf("i-%04d", n), service: "huvo11a", zone: "north-a", slots: 8, work: 10 * time.Millisecond, store: s, seen: seen}
		v.serve()
		v.register()
	}
	v := newVM(temporary, "front-north-a-1", "127.0.0.1", "north-a", "north", s.serve(), freePorts("127.0.0.1"), true)
	v.descriptors = 4100
	v.start()
	v.awaitReady()
	q := request{method: "GET", path: "/lepu270/2f", host: host, key: key, object: "17", deadline: 1200 * time.Millisecond}

	// The platform checks once a second on a kept channel.
	var readyMutex sync.Mutex
	var readyAt []time.Time
	go func() {
		c := &http.Client{Timeout: time.Second}
		for ; ; time.Sleep(time.Second) {
			r, err := c.Get("http://" + v.ready + "/-/ready")
			if err != nil {
				record("platform: GET /-/ready: %v", err)
				continue
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				readyMutex.Lock()
				readyAt = append(readyAt, time.Now())
				readyMutex.Unlock()
			}
		}
	}()

	keptChannel, err := open(v.front)
	if err != nil {
		fail("open a channel: %v", err)
	}
	keptChannel.do(q)
	go func() {
		for time.Since(began) < fill {
			keptChannel.do(q)
			time.Sleep(time.Second)
		}
	}()
	var idle, closed, failed atomic.Int64
	var waiting sync.WaitGroup
	start := time.Now()
	// answers are the moments at which a request on a new channel was answered.
	type taken struct{ at time.Time }
	var mutex sync.Mutex
	var answers []taken
	take := func() {
		mutex.Lock()
		answers = append(answers, taken{time.Now()})
		mutex.Unlock()
	}
	var filling sync.WaitGroup
	filling.Go(func() {
		for n := 0; time.Since(start) < fill+probeFor; n++ {
			time.Sleep(time.Until(start.Add(time.Duration(n) * time.Second / perSecond)))
			waiting.Go(func() {
				c, err := open(v.front)
				if err != nil {
					failed.Add(1)
					return
				}
				if o := c.do(q); o.err != nil {
					failed.Add(1)
					_ = c.conn.Close()
					return
				}
				take()
				if !trouble {
					_ = c.conn.Close()
					return
				}
				idle.Add(1)
				// A client closes its channel when the VM does.
				go func() {
					_, _ = c.reader.ReadByte()
					_ = c.conn.Close()
					idle.Add(-1)
					closed.Add(1)
				}()
			})
			if n%(5*perSecond) == 0 {
				record("clients: %d channels are open and idle, %d were closed by the VM, %d requests on new channels failed", idle.Load(), closed.Load(), failed.Load())
			}
		}
	})
	time.Sleep(time.Until(start.Add(fill)))
	record("clients: %d channels are open and idle, %d were closed by the VM, %d requests on new channels failed", idle.Load(), closed.Load(), failed.Load())

	// One more client uses a channel that it opened at the start.
	var keptMutex sync.Mutex
	kept := map[int]int{}
	go func() {
		for ; ; time.Sleep(100 * time.Millisecond) {
			o := keptChannel.do(q)
			keptMutex.Lock()
			kept[o.status]++
			keptMutex.Unlock()
			if o.err != nil {
				return
			}
		}
	}()

	// Ten clients try to open a channel, again and again.
	var tries atomic.Int64
	probesFrom := time.Now()
	var probing sync.WaitGroup
	for n := range probers {
		probing.Go(func() {
			for time.Since(probesFrom) < probeFor {
				tries.Add(1)
				o := send(v.front, q)
				record("client %d: request %s on a new channel: %s", n, o.id, o)
				if o.status != 0 {
					take()
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
	probing.Wait()
	end := time.Now()
	filling.Wait()
	waiting.Wait()
	record("clients: %d channels are open and idle", idle.Load())
	// The longest time in which no new channel was taken.
	longest, last := time.Duration(0), probesFrom
	sort.Slice(answers, func(a, b int) bool { return answers[a].at.Before(answers[b].at) })
	for _, a := range append(answers, taken{end}) {
		if a.at.Before(probesFrom) || a.at.After(end) {
			continue
		}
		if d := a.at.Sub(last); d > longest {
			longest = d
		}
		last = a.at
	}
	keptMutex.Lock()
	record("a client on a channel that it has kept all the time got these answers meanwhile, by status: %v", kept)
	keptMutex.Unlock()
	readyMutex.Lock()
	ready := 0
	for _, at := range readyAt {
		if at.After(probesFrom) && at.Before(end) {
			ready++
		}
	}
	readyMutex.Unlock()
	record("the VM answered 200 to %d checks on the kept channel meanwhile", ready)
	text := fmt.Sprintf("%d clients tried %d new channels in %.1f s; the longest time without one that was taken is %.1f s; %d checks of readiness were answered with 200",
		probers, tries.Load(), end.Sub(probesFrom).Seconds(), longest.Seconds(), ready)
	verdict(longest > contact && ready > 0, "RECOVER: %s", text)
}
