package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// maxPageRows is the number of rows that the platform's pages allow in one answer.
const maxPageRows = 500

// storeAnswerTime is how long the store takes for an answer.
const storeAnswerTime = 4 * time.Millisecond

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store. Its answers are linearizable.
type store struct {
	mutex   sync.Mutex
	ver     int64
	rows    map[string]row
	changed chan struct{}
	started time.Time
	// beforePage is called before a page of a table after the first one is read; nil for none.
	beforePage func(table, from string)
	// read is called after each answered read of rows; nil for none.
	read func(table, from string, ver int64, more bool)
}

func newStore() *store {
	return &store{rows: map[string]row{}, changed: make(chan struct{}), started: time.Now()}
}

// put writes a row and returns its version. The return is the acknowledgement.
func (s *store) put(table, key string, value any) int64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.write(row{Table: table, Key: key, Value: data})
}

func (s *store) remove(table, key string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.write(row{Table: table, Key: key, Removed: true})
}

// write writes a row. The caller holds the mutex.
func (s *store) write(r row) int64 {
	s.ver++
	r.Ver = s.ver
	s.rows[r.Table+"\x00"+r.Part+"\x00"+r.Key] = r
	close(s.changed)
	s.changed = make(chan struct{})
	return s.ver
}

// rowsOf returns the rows of a table that match, and the newest version. The caller holds the mutex.
func (s *store) rowsOf(table string, match func(row) bool) []row {
	list := []row{}
	for _, r := range s.rows {
		if r.Table == table && match(r) {
			list = append(list, r)
		}
	}
	return list
}

func (s *store) nowS() float64 { return time.Since(s.started).Seconds() }

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("table"), q.Get("part"), q.Get("from"), q.Get("to")
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	if from != "" && s.beforePage != nil {
		s.beforePage(table, from)
	}
	time.Sleep(storeAnswerTime)
	s.mutex.Lock()
	list := s.rowsOf(table, func(v row) bool {
		return !v.Removed && v.Part == part && v.Key >= from && (to == "" || v.Key < to)
	})
	ver := s.ver
	s.mutex.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	answerJSON(w, http.StatusOK, map[string]any{"rows": list, "has_more": more, "ver": ver, "now_s": s.nowS()})
	if s.read != nil {
		s.read(table, from, ver, more)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	time.Sleep(storeAnswerTime)
	for {
		s.mutex.Lock()
		list := s.rowsOf(q.Get("table"), func(v row) bool { return v.Ver > after })
		ver, changed := s.ver, s.changed
		s.mutex.Unlock()
		done := len(list) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		sort.Slice(list, func(a, b int) bool { return list[a].Ver < list[b].Ver })
		answerJSON(w, http.StatusOK, map[string]any{"rows": list, "has_more": false, "ver": ver, "now_s": s.nowS()})
		return
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []row `json:"expected_rev"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(6 * time.Millisecond)
	for _, v := range append(append([]row{}, t.Puts...), t.Remove...) {
		if v.Table == "op" || v.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, v := range t.Expected {
		known := s.rows[v.Table+"\x00"+v.Part+"\x00"+v.Key]
		if known.Removed {
			known.Ver = 0
		}
		if known.Ver != v.Ver {
			answerJSON(w, http.StatusPreconditionFailed, map[string]any{"rows": []row{known}, "ver": s.ver, "now_s": s.nowS()})
			return
		}
	}
	for _, v := range t.Puts {
		v.Removed = false
		s.write(v)
	}
	for _, v := range t.Remove {
		v.Removed, v.Value = true, nil
		s.write(v)
	}
	answerJSON(w, http.StatusOK, map[string]any{"ver": s.ver, "now_s": s.nowS()})
}

// serve serves the store at a free port of the loopback interface and returns its address.
func (s *store) serve() string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}
