package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// tornPages: a VM is restarted while a server leaves. The table of servers has more than 500 rows, so the VM reads it in two
// pages. The server's report is acknowledged after the first page was read and before the second one.
func tornPages(trouble bool) {
	const (
		others   = 520
		contact  = 3 * time.Second
		drain    = 2 * time.Second
		serves   = 9 * time.Second // "it continues serving for drain_s ... and a little longer (at times many seconds)"
		host     = "jepu9.example"
		perCheck = 40 * time.Millisecond
	)
	s, seen := newStore(), &arrivals{}
	s.put("op", "config", manifest(7,
		[]object{route("r-a", host, "/lepu270/", "safe", "huvo11a", nil), route("r-b", host, "/xapu221/", "unsafe", "wuno96b", nil)},
		[]object{service("huvo11a"), service("wuno96b")}, oneTenant()))
	add := func(id, serviceName string, work time.Duration) *server {
		v := &server{id: id, service: serviceName, zone: "north-a", slots: 8, work: work, store: s, seen: seen}
		v.serve()
		v.register()
		return v
	}
	leaving := add("i-0001", "wuno96b", 60*time.Millisecond)
	add("i-0002", "wuno96b", 60*time.Millisecond)
	for n := range others {
		add(fmt.Sprintf("i-1%03d", n), "huvo11a", 10*time.Millisecond)
	}
	record("%d servers are registered; 2 of service wuno96b: i-0001 and i-0002", others+2)
	v := newVM(temporary, "front-north-a-1", "127.0.0.1", "north-a", "north", s.serve(), false)
	var once sync.Once
	var acknowledged time.Time
	leave := func() {
		once.Do(func() {
			acknowledged = leaving.drain()
			record("server i-0001 reports draining, the store acknowledges it with version %d", s.ver)
		})
	}
	armed := false
	s.beforePage = func(table, _ string) {
		if armed && table == "servers" {
			leave()
		}
	}
	s.read = func(table, from string, ver int64, more bool) {
		record("store: a page of %q from %q is answered at version %d, has_more %t", table, from, ver, more)
	}
	v.start()
	v.awaitReady()
	time.Sleep(3 * time.Second)
	if trouble {
		armed = true
		v.signal(syscall.SIGTERM)
		<-v.ended
		v.start()
		v.awaitReady()
	} else {
		leave()
	}
	if acknowledged.IsZero() {
		fail("the table was not read in two pages")
	}
	inTouch := v.startedAt.Add(contact)
	var lost, served int
	for time.Since(acknowledged) < serves {
		if time.Since(acknowledged) >= serves-30*time.Millisecond {
			break
		}
		o := send(v.front, request{method: "POST", path: "/xapu221/2f", host: host, key: key, object: "17", deadline: 1500 * time.Millisecond, body: []byte("tray")})
		if o.status == 200 {
			served++
		}
		time.Sleep(perCheck)
	}
	// Requests run at the server as it ends.
	var waiting sync.WaitGroup
	var mutex sync.Mutex
	for range 8 {
		waiting.Go(func() {
			o := send(v.front, request{method: "POST", path: "/xapu221/2f", host: host, key: key, object: "17", deadline: 1500 * time.Millisecond, body: []byte("tray")})
			record("client: request %s, sent as the server ends: %s", o.id, o)
			if o.status != 200 {
				mutex.Lock()
				lost++
				mutex.Unlock()
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	leaving.end()
	s.remove("servers", leaving.id)
	record("server i-0001 ends, its entry is removed")
	waiting.Wait()
	late, first := 0, arrival{}
	for _, a := range seen.all() {
		if a.server != leaving.id || !a.ran || a.at.Before(acknowledged) {
			continue
		}
		record("server i-0001 runs request %s, %.3f s after the acknowledgement, %.3f s after the VM's start", a.id, a.at.Sub(acknowledged).Seconds(), a.at.Sub(v.startedAt).Seconds())
		if a.at.Sub(acknowledged) > drain && a.at.After(inTouch) {
			if late == 0 {
				first = a
			}
			late++
		}
	}
	if late == 0 {
		verdict(false, "no request reached i-0001 later than %s after the acknowledgement (%d of wuno96b were served)", drain, served)
	}
	verdict(true, "DRAIN: %d requests reached i-0001 later than %s after the acknowledgement that it leaves, the first after %.3f s; %d unsafe requests that ran there were lost as it ended",
		late, drain, first.at.Sub(acknowledged).Seconds(), lost)
}
