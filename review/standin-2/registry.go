package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// servesFor is how long a server serves after its entry was removed: the drain time and some seconds.
	servesFor = 10 * time.Second
	// writtenAfter is the time from the removal of an entry to that of the other writer.
	writtenAfter = 150 * time.Millisecond
	// objects is the number of objects that the requests are about.
	objects = 200
	// runTime is how long a lookup runs.
	runTime = 60 * time.Millisecond
	// beforeTrouble and afterTrouble are how long requests are sent before and after the disruption.
	beforeTrouble = 3 * time.Second
	afterTrouble  = 6 * time.Second
)

// otherPart plays an entry of another writer in another part of the table, which says that a server is of another service.
func otherPart(w *world, trouble bool) (verdict, error) {
	return w.misregister(func(s *server, entry map[string]any) {
		if trouble {
			w.store.put("servers", "lab", s.id, encode(entry))
			w.log("another writer puts table servers, part lab, key %s: %s", s.id, encode(entry))
		}
	})
}

// missingField plays an entry of another writer in which a field is missing, and which says that a server is of another service.
func missingField(w *world, trouble bool) (verdict, error) {
	return w.misregister(func(s *server, entry map[string]any) {
		if trouble {
			delete(entry["info"].(map[string]any), "version")
			w.store.put("servers", "", s.id, encode(entry))
			w.log("another writer puts servers/%s: %s", s.id, encode(entry))
		}
	})
}

// misregister plays lookups while another writer writes an entry with the id of a server of another service.
func (w *world) misregister(disrupt func(s *server, entry map[string]any)) (verdict, error) {
	routes := []route{{"prices", "/prices/", "safe", "prices"}, {"orders", "/orders/", "unsafe", "orders"}}
	w.store.put("op", "", "config", manifest(1, []string{"prices", "orders"}, routes))
	if err := w.addServers("prices", 3, 5, runTime); err != nil {
		return verdict{}, err
	}
	if err := w.addServers("orders", 3, 5, runTime); err != nil {
		return verdict{}, err
	}
	if err := w.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	stop, ended := make(chan struct{}), sync.WaitGroup{}
	w.lookups(stop, &ended)
	time.Sleep(beforeTrouble)
	other := w.servers[len(w.servers)-1]
	text, _ := w.store.value("servers", "", other.id)
	var entry map[string]any
	if err := json.Unmarshal([]byte(text), &entry); err != nil {
		return verdict{}, err
	}
	entry["info"].(map[string]any)["service"] = "prices"
	disrupt(other, entry)
	time.Sleep(afterTrouble)
	close(stop)
	ended.Wait()
	wrong := w.arrivalsOf(func(a arrival) bool { return a.ran && a.service == "orders" && strings.HasPrefix(a.path, "/prices/") })
	return verdict{len(wrong) > 0, fmt.Sprintf("%d lookups of prices were run by server %s of orders", len(wrong), other.id)}, nil
}

// hiddenRemoval plays bytes of another writer that can't be read, just after the entry of a server was removed that serves on for
// some seconds.
func hiddenRemoval(w *world, trouble bool) (verdict, error) {
	w.store.put("op", "", "config", manifest(1, []string{"prices"}, []route{{"prices", "/prices/", "safe", "prices"}}))
	if err := w.addServers("prices", 6, 5, runTime); err != nil {
		return verdict{}, err
	}
	if err := w.startVMs(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(contact)
	stop, ended := make(chan struct{}), sync.WaitGroup{}
	w.lookups(stop, &ended)
	time.Sleep(beforeTrouble)
	leaving := w.servers[0]
	// A server that takes the place of the one that leaves registers first, as in a release.
	if err := w.addServers("prices", 1, 5, runTime); err != nil {
		return verdict{}, err
	}
	time.Sleep(100 * time.Millisecond)
	gone := leaving.withdraw()
	w.log("the entry of server %s is removed", leaving.id)
	if trouble {
		time.Sleep(writtenAfter)
		w.store.put("servers", "", leaving.id, "\x00\x01")
		w.log("another writer puts bytes that can't be read as servers/%s", leaving.id)
	}
	time.Sleep(time.Until(gone.Add(servesFor)))
	leaving.stop()
	w.log("server %s ends", leaving.id)
	close(stop)
	ended.Wait()
	late := w.arrivalsOf(func(a arrival) bool {
		return a.server == leaving && a.ran && strings.HasPrefix(a.path, "/prices/") && a.at.After(gone.Add(drain))
	})
	last := time.Duration(0)
	if len(late) > 0 {
		last = late[len(late)-1].at.Sub(gone)
	}
	return verdict{len(late) > 0, fmt.Sprintf("%d requests reached server %s later than 2 s after its entry was removed, the last one after %.1f s", len(late), leaving.id, last.Seconds())}, nil
}

// lookups sends safe requests to all VMs until it is stopped.
func (w *world) lookups(stop chan struct{}, ended *sync.WaitGroup) {
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
				a := send(request{
					to: v.callers(), method: http.MethodGet, target: fmt.Sprintf("/prices/%d", i), host: host, object: fmt.Sprint(i % objects),
					limit: 1200 * time.Millisecond,
				})
				w.log("lookup %s at %s: status %d, %q, error %v", a.id, v.name, a.status, a.body, a.err)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
}
