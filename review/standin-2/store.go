package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// maxPageRows is the highest number of rows in one page of a read.
const maxPageRows = 500

// row is a row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// rowKey identifies a row.
type rowKey struct{ table, part, key string }

// store is a stand-in of the platform's store, as the page PROTOCOL.md describes it. It keeps all of its history.
type store struct {
	mutex   sync.Mutex
	version int64
	rows    map[rowKey]row
	log     []row
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row, and returns when the store has acknowledged it.
func (s *store) put(table, part, key, value string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.apply(row{Table: table, Part: part, Key: key, Value: base64.StdEncoding.EncodeToString([]byte(value))})
	return time.Now()
}

// remove removes a row, and returns when the store has acknowledged that.
func (s *store) remove(table, part, key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, found := s.rows[rowKey{table, part, key}]; found {
		s.apply(row{Table: table, Part: part, Key: key, Removed: true})
	}
	return time.Now()
}

// value returns the value of a row, and false if there is none.
func (s *store) value(table, part, key string) (string, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r, found := s.rows[rowKey{table, part, key}]
	b, _ := base64.StdEncoding.DecodeString(r.Value)
	return string(b), found
}

// apply performs a change. The caller holds the mutex.
func (s *store) apply(r row) {
	s.version++
	r.Version = s.version
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Removed {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

// page is the body of a response about rows.
type page struct {
	Rows    []row   `json:"rows"`
	HasMore bool    `json:"has_more"`
	Version int64   `json:"ver"`
	Now     float64 `json:"now_s"`
}

// listen serves the store at an address until the process ends.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for the store: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	mux.HandleFunc("POST /-/rows-tx", s.serveTransaction)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	from, to := q.Get("from"), q.Get("to")
	s.mutex.Lock()
	p := s.newPage()
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= from && (to == "" || k.key < to) {
			p.Rows = append(p.Rows, v)
		}
	}
	s.mutex.Unlock()
	sort.Slice(p.Rows, func(i, j int) bool { return p.Rows[i].Key < p.Rows[j].Key })
	if len(p.Rows) > limit {
		p.Rows, p.HasMore = p.Rows[:limit], true
	}
	writePage(w, http.StatusOK, p)
}

// newPage returns an empty page. The caller holds the mutex.
func (s *store) newPage() page {
	return page{Rows: []row{}, Version: s.version, Now: time.Since(s.started).Seconds()}
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil || wait < 0 || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		p, changed := s.newPage(), s.changed
		for _, v := range s.log {
			if v.Version > after && v.Table == q.Get("table") {
				p.Rows = append(p.Rows, v)
			}
		}
		s.mutex.Unlock()
		if len(p.Rows) > 0 {
			writePage(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-end:
			writePage(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, v := range append(append([]row{}, t.Puts...), t.Remove...) {
		if v.Table == "op" || v.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.newPage()
	for _, v := range t.Expected {
		current := s.rows[rowKey{v.Table, v.Part, v.Key}]
		if current.Version != v.Version {
			p.Rows = append(p.Rows, current)
		}
	}
	if len(p.Rows) > 0 {
		writePage(w, http.StatusPreconditionFailed, p)
		return
	}
	for _, v := range t.Puts {
		s.apply(row{Table: v.Table, Part: v.Part, Key: v.Key, Value: v.Value})
	}
	for _, v := range t.Remove {
		s.apply(row{Table: v.Table, Part: v.Part, Key: v.Key, Removed: true})
	}
	p.Version = s.version
	writePage(w, http.StatusOK, p)
}

func writePage(w http.ResponseWriter, status int, p page) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(p)
}
