package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// outcome is how one request of a client ended.
type outcome struct {
	id     string
	sentAt time.Time
	took   time.Duration
	status int
	signed bool
	header http.Header
	body   string
	closes bool
	err    error
}

var nextID atomic.Int64

func requestID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+nextID.Add(1)) }

// request is a client's request.
type request struct {
	method, path, host, key, object string
	deadline                        time.Duration
	body                            []byte
}

func (q request) bytes(id string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nAffinity-Key: %s\r\nDeadline-Ms: %d\r\n", q.method, q.path, q.host, id, q.object, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if len(q.body) > 0 || q.method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// channel is a client's channel to a VM.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

// open opens a channel. Clients allow a new channel one second.
func open(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{c, bufio.NewReader(c)}, nil
}

// do sends a request on the channel and reads the answer.
func (c *channel) do(q request) (o outcome) {
	o = outcome{id: requestID(), sentAt: time.Now()}
	defer func() { o.took = time.Since(o.sentAt) }()
	_ = c.conn.SetDeadline(o.sentAt.Add(q.deadline))
	if _, o.err = c.conn.Write(q.bytes(o.id)); o.err != nil {
		return o
	}
	r, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		o.err = err
		return o
	}
	data, err := io.ReadAll(r.Body)
	o.status, o.signed, o.header, o.body, o.closes, o.err = r.StatusCode, r.Header.Get("Response-Signature") != "", r.Header, string(data), r.Close, err
	_ = c.conn.SetDeadline(time.Time{})
	return o
}

// send sends a request on a new channel and closes it after the answer.
func send(address string, q request) outcome {
	c, err := open(address)
	if err != nil {
		return outcome{sentAt: time.Now(), err: err}
	}
	defer c.conn.Close() //nolint:errcheck
	return c.do(q)
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("no complete answer after %d ms (%v)", o.took.Milliseconds(), o.err)
	}
	return fmt.Sprintf("%d after %d ms, signature %t", o.status, o.took.Milliseconds(), o.signed)
}
