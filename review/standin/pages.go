package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// tornPages: all VMs are killed at once and start again while a server leaves. The table of servers has more than 500 rows, so
// each VM reads it in two pages. The server's report is acknowledged after the first VM has read its first page and before it
// reads the second one.
func tornPages(trouble bool) {
	const (
		vms      = 9
		others   = 520
		contact  = 3 * time.Second
		drain    = 2 * time.Second
		serves   = 9 * time.Second // "it continues serving for drain_s ... and a little longer (at times many seconds)"
		host     = "jepu9.example"
		interval = 5 * time.Millisecond
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
	var fleet []*vm
	var ips []string
	for n := range vms {
		ips = append(ips, fmt.Sprintf("127.0.1.%d", n+1))
	}
	p, storeAddress := freePorts(ips...), s.serve()
	for n, ip := range ips {
		zone := zones[n%len(zones)]
		fleet = append(fleet, newVM(temporary, fmt.Sprintf("front-%s-%d", zone[0], n/len(zones)+1), ip, zone[0], zone[1], storeAddress, p, false))
	}
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
	for _, v := range fleet {
		v.start()
	}
	for _, v := range fleet {
		v.awaitReady()
	}
	time.Sleep(5 * time.Second)
	if trouble {
		armed = true
		for _, v := range fleet {
			v.signal(syscall.SIGKILL)
		}
		for _, v := range fleet {
			<-v.ended
		}
		time.Sleep(500 * time.Millisecond)
		for _, v := range fleet {
			v.start()
		}
		for _, v := range fleet {
			v.awaitReady()
		}
	} else {
		leave()
	}
	if acknowledged.IsZero() {
		fail("the table was not read in two pages")
	}
	inTouch := fleet[len(fleet)-1].startedAt.Add(contact)
	var served atomic.Int64
	var clients sync.WaitGroup
	// order sends an unsafe request to a VM.
	order := func(v *vm) outcome {
		return send(v.front, request{method: "POST", path: "/xapu221/2f", host: host, key: key, object: "17", deadline: 1500 * time.Millisecond, body: []byte("tray")})
	}
	for n := 0; time.Since(acknowledged) < serves-30*time.Millisecond; n++ {
		v := fleet[n%len(fleet)]
		clients.Go(func() {
			if order(v).status == 200 {
				served.Add(1)
			}
		})
		time.Sleep(interval)
	}
	// Requests run at the server as it ends.
	var lost atomic.Int64
	for n := range 4 * len(fleet) {
		v := fleet[n%len(fleet)]
		clients.Go(func() {
			if o := order(v); o.status != 200 {
				record("client: request %s to %s, sent as the server ends: %s", o.id, v.name, o)
				lost.Add(1)
			}
		})
	}
	time.Sleep(30 * time.Millisecond)
	leaving.end()
	s.remove("servers", leaving.id)
	record("server i-0001 ends, its entry is removed")
	clients.Wait()
	late, first := 0, arrival{}
	for _, a := range seen.all() {
		if a.server != leaving.id || !a.ran || a.at.Sub(acknowledged) < 0 {
			continue
		}
		record("server i-0001 runs request %s, %.3f s after the acknowledgement, from %s", a.id, a.at.Sub(acknowledged).Seconds(), a.from)
		if a.at.Sub(acknowledged) > drain && a.at.After(inTouch) {
			if late == 0 {
				first = a
			}
			late++
		}
	}
	if late == 0 {
		verdict(false, "no request reached i-0001 later than %s after the acknowledgement (%d of wuno96b were served)", drain, served.Load())
	}
	verdict(true, "DRAIN: %d requests reached i-0001 later than %s after the acknowledgement that it leaves, the first after %.3f s; %d unsafe requests that ran there were lost as it ended",
		late, drain, first.at.Sub(acknowledged).Seconds(), lost.Load())
}
