package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("r%07d", lastRequest.Add(1)) }

// answer is how a client attempt ended. status is 0 if it got no complete answer.
type answer struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int
	signed string
	body   string
	err    error
}

// request is a client attempt.
type request struct {
	to, method, target, host, body string
	// object is the value of Affinity-Key; empty for none.
	object string
	// key is the client's key; empty for none.
	key   string
	limit time.Duration
}

// send sends a client attempt on a new channel, and waits for its answer.
func send(q request) answer {
	a := answer{id: newID(), sentAt: time.Now()}
	a.status, a.signed, a.body, a.err = exchange(q, a.id)
	a.took = time.Since(a.sentAt)
	return a
}

func exchange(q request, id string) (status int, signed, body string, err error) {
	c, err := net.DialTimeout("tcp", q.to, time.Second)
	if err != nil {
		return 0, "", "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(q.limit))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", q.method, q.target, q.host, id, q.limit.Milliseconds())
	if q.object != "" {
		head += "Affinity-Key: " + q.object + "\r\n"
	}
	if q.key != "" {
		head += "Authorization: Bearer " + q.key + "\r\n"
	}
	if q.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if _, err = io.WriteString(c, head+"\r\n"+q.body); err != nil {
		return 0, "", "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return 0, "", "", err
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", "", err
	}
	return response.StatusCode, response.Header.Get("Response-Signature"), strings.TrimSpace(string(data)), nil
}
