package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// contact is the time after which a machine without disturbance is in touch, and drain the bound for servers that leave.
const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
)

// host is the name under which clients reach the system.
const host = "jepu9.example"

var zones = map[string]string{"mobay-a": "cornwall", "mandeville-a": "middlesex", "kingston-a": "surrey"}

var zoneNames = []string{"mobay-a", "mandeville-a", "kingston-a"}

// world is a small deployment: a store, servers and VMs.
type world struct {
	folder  string
	store   *store
	servers []*server
	vms     []*vm
	started time.Time
	// network is the beginning of all addresses of this run, and port the first of the ports.
	network string
	port    int

	mutex    sync.Mutex
	record   *os.File
	arrivals []arrival
	// sentTo holds, by id, when the VM had started to which a request that crashes servers was sent.
	sentTo map[string]time.Time
}

// newWorld starts the store. The record is written to a folder.
func newWorld(folder string) (*world, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	temporary, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{
		folder: temporary, store: newStore(), started: time.Now(), record: record, sentTo: map[string]time.Time{},
		network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250)), port: 20000 + 50*rand.IntN(200),
	}
	return w, w.store.listen(w.address(250, 0))
}

func (w *world) address(machine, offset int) string {
	return fmt.Sprintf("%s.%d:%d", w.network, machine, w.port+offset)
}

// log writes a line to the record.
func (w *world) log(format string, args ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(w.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(w.record, line)
}

func (w *world) arrived(a arrival) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.arrivals = append(w.arrivals, a)
	w.logLocked("server %s (%s) gets %s %s from %s, ran %v", a.server.id, a.service, a.id, a.path, a.from, a.ran)
}

// arrivalsOf returns the arrivals that a function accepts.
func (w *world) arrivalsOf(match func(arrival) bool) []arrival {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var list []arrival
	for _, a := range w.arrivals {
		if match(a) {
			list = append(list, a)
		}
	}
	return list
}

// addServers starts servers of a service.
func (w *world) addServers(service string, count, slots int, work time.Duration) error {
	for range count {
		n := len(w.servers)
		s := &server{
			id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zoneNames[n%len(zoneNames)], address: w.address(100+n, 40),
			slots: slots, work: work, downFor: 2500 * time.Millisecond, store: w.store, arrived: w.arrived,
		}
		if err := s.start(); err != nil {
			return err
		}
		w.servers = append(w.servers, s)
		w.log("server %s of %s starts at %s in %s", s.id, service, s.address, s.zone)
	}
	return nil
}

// startVMs starts VMs, one in each failure domain, and waits until they are ready.
func (w *world) startVMs(count int) error {
	first := len(w.vms) == 0
	for range count {
		n := len(w.vms)
		zone := zoneNames[n%len(zoneNames)]
		v := &vm{
			name: fmt.Sprintf("front-%s-%d", zone, 1+n/len(zoneNames)), zone: zone, ip: fmt.Sprintf("%s.%d", w.network, 1+n),
			port: w.port, folder: w.folder, store: w.address(250, 0), zones: zones,
		}
		w.vms = append(w.vms, v)
		if err := v.start(first); err != nil {
			return err
		}
	}
	for _, v := range w.vms[len(w.vms)-count:] {
		if err := v.awaitReady(); err != nil {
			return err
		}
		w.log("%s at %s is ready", v.name, v.callers())
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	_ = w.record.Close()
	_ = os.RemoveAll(w.folder)
}

// route is a route of the manifest.
type route struct{ name, prefix, kind, service string }

// tenant is a tenant of the manifest. Its burst is as large as its rate.
type tenant struct {
	name, key string
	rate      int
}

// manifest returns a manifest.
func manifest(version int, services []string, routes []route, tenants ...tenant) string {
	m := map[string]any{
		"version": version,
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
	var list []any
	for _, r := range routes {
		list = append(list, map[string]any{
			"name": r.name, "host": host, "prefix": r.prefix, "route_type": r.kind, "timeout_s": 1.5, "target_latency_s": 0.4, "priority": 1,
			"service": r.service, "max_attempts": 2, "public": false, "affinity": true, "allowed_regions": []string{},
		})
	}
	m["routes"] = list
	list = nil
	for _, s := range services {
		list = append(list, map[string]any{
			"name": s, "health_path": "/healthz", "max_conns": 330, "protocol": "h1", "tls": false, "cold_start_s": 3.0, "cold_per_s": 14.0,
		})
	}
	m["services"] = list
	list = []any{}
	for _, t := range tenants {
		list = append(list, map[string]any{
			"name": t.name, "api_keys": []string{t.key}, "priority": 1, "rate_per_s": t.rate, "burst": t.rate, "allowed_regions": []string{},
		})
	}
	m["tenants"] = list
	data, _ := json.Marshal(m)
	return string(data)
}
