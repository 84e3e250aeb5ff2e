// Package psrequestlog reads how requests ended from the log lines of VMs.
package psrequestlog

import (
	"bytes"
	"encoding/json"
	"io"
	"regexp"
	"strconv"
	"sync"
	"time"

	"persimmonstep/internal/process/psevent"
)

// Outcome is what a VM has logged of a request.
type Outcome struct {
	Status int
	Reason string
	// Took is the time from the request's arrival at the VM to its outcome, and Attempts those of its attempts at servers.
	Took     time.Duration
	Attempts []time.Duration
	// Load is the load that the VM expected at the server of the last attempt.
	Load float64
	// Decided is set if the request was rejected by its expected wait. Wait is that wait and MaxWait the longest accepted one at
	// the Overload, which is from 0 to 1.
	Wait, MaxWait time.Duration
	Overload      float64
	Decided       bool
}

// Log collects the outcomes of requests from the log lines of VMs.
type Log struct {
	mutex    sync.Mutex
	outcomes map[string]Outcome
}

// Writer returns a writer for the log of one VM.
func (l *Log) Writer() io.Writer { return &lineWriter{log: l} }

// Outcomes returns the outcomes by request id.
func (l *Log) Outcomes() map[string]Outcome {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.outcomes
}

// lineWriter decodes complete lines.
type lineWriter struct {
	log   *Log
	mutex sync.Mutex
	rest  []byte
}

// Write implements [io.Writer].
func (w *lineWriter) Write(b []byte) (int, error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.rest = append(w.rest, b...)
	for {
		line, rest, found := bytes.Cut(w.rest, []byte{'\n'})
		if !found {
			return len(b), nil
		}
		w.log.add(line)
		w.rest = rest
	}
}

// requestLine holds the fields of a log line that reports how a request ended.
type requestLine struct {
	Event     psevent.Number `json:"event"`
	RequestID string         `json:"requestId"`
	Status    int            `json:"status"`
	Reason    string         `json:"reason"`
	Tries     string         `json:"tries"`
	Took      string         `json:"took"`
	From      string         `json:"from"`
	Shortage  string         `json:"shortage"`
}

var (
	attemptLoad   = regexp.MustCompile(` load=([\d.]+)`)
	attemptTook   = regexp.MustCompile(` took=(\d+)ms`)
	shortageWaits = regexp.MustCompile(`\bwait=(\d+)ms maxWait=(\d+)ms overload=([\d.]+)`)
)

// milliseconds decodes digits that a regular expression has matched.
func milliseconds(digits string) time.Duration {
	n, _ := strconv.Atoi(digits)
	return time.Duration(n) * time.Millisecond
}

// add records the outcome that a line reports. Lines about requests of other VMs are left out, because their own VM
// reports them as well.
func (l *Log) add(line []byte) {
	var v requestLine
	if json.Unmarshal(line, &v) != nil || v.Event < psevent.RequestAnswered.Number || v.Event > psevent.RequestCanceled.Number || v.From != "" {
		return
	}
	took, err := time.ParseDuration(v.Took)
	if err != nil {
		return
	}
	o := Outcome{Status: v.Status, Reason: v.Reason, Took: took}
	for _, m := range attemptTook.FindAllStringSubmatch(v.Tries, -1) {
		o.Attempts = append(o.Attempts, milliseconds(m[1]))
	}
	if m := attemptLoad.FindAllStringSubmatch(v.Tries, -1); m != nil {
		o.Load, _ = strconv.ParseFloat(m[len(m)-1][1], 64)
	}
	if m := shortageWaits.FindStringSubmatch(v.Shortage); m != nil {
		o.Wait, o.MaxWait, o.Decided = milliseconds(m[1]), milliseconds(m[2]), true
		o.Overload, _ = strconv.ParseFloat(m[3], 64)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.outcomes == nil {
		l.outcomes = make(map[string]Outcome)
	}
	l.outcomes[v.RequestID] = o
}
