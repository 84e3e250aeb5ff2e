package main

import (
	"fmt"
	"time"
)

// encodedSlash: two routes of one host, of which one prefix lies within the other. A client asks for an object whose name has
// an encoded slash. Its path begins with the shorter prefix only.
func encodedSlash(trouble bool) {
	const host = "jepu9.example"
	s, seen := newStore(), &arrivals{}
	s.put("op", "config", manifest(7, []object{
		route("r-outer", host, "/fiti832/", "unsafe", "wuno96b", nil),
		route("r-inner", host, "/fiti832/ti23/", "unsafe", "huvo11a", object{"public": true}),
	}, []object{service("wuno96b"), service("huvo11a")}, oneTenant()))
	for n, name := range []string{"wuno96b", "wuno96b", "huvo11a", "huvo11a"} {
		v := &server{id: fmt.Sprintf("i-%04d", n), service: name, zone: "north-a", slots: 8, work: 10 * time.Millisecond, store: s, seen: seen}
		v.serve()
		v.register()
	}
	v := newVM(temporary, "front-north-a-1", "127.0.0.1", "north-a", "north", s.serve(), freePorts("127.0.0.1"), true)
	v.start()
	v.awaitReady()
	time.Sleep(3500 * time.Millisecond)
	// By the bytes of the path, which is forwarded unchanged, only "/fiti832/" begins it.
	path := "/fiti832/ti23-2026"
	if trouble {
		path = "/fiti832/ti23%2F2026"
	}
	services := map[string]string{"i-0000": "wuno96b", "i-0001": "wuno96b", "i-0002": "huvo11a", "i-0003": "huvo11a"}
	wrong, withoutKey := 0, 0
	for n := range 20 {
		q := request{method: "POST", path: path, host: host, key: key, object: "17", deadline: 1500 * time.Millisecond, body: []byte("sheet")}
		if n%2 == 1 {
			// A client without a key: its request is allowed on the public route only.
			q.key = ""
		}
		o := send(v.front, q)
		record("client: POST %s, request %s, key %t: %s", path, o.id, q.key != "", o)
		for _, a := range seen.all() {
			if a.id != o.id || !a.ran {
				continue
			}
			record("server %s of service %s runs POST %s, request %s", a.server, services[a.server], a.path, a.id)
			if services[a.server] != "wuno96b" {
				wrong++
				if q.key == "" {
					withoutKey++
				}
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	verdict(wrong > 0, "ROUTE: %d of 20 requests whose path begins with the prefix of service wuno96b only were run by service huvo11a, %d of them without a key", wrong, withoutKey)
}
