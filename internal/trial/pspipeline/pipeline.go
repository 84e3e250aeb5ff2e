// Package pspipeline sends requests as callers that pipeline do: further ones on a connection before the first response.
package pspipeline

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// maxPipelined is the number of requests that a pipelining caller sends on a connection before it gets the response to
// the first.
const maxPipelined = 4

// Transport is an [http.RoundTripper] that sends up to maxPipelined requests on a connection before the first response.
// A new connection is opened only if all others have that many. Its requests must be idempotent and have no body.
type Transport struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)

	mutex sync.Mutex
	conns map[string][]*pipeline
}

// pipeline is a connection with its requests that wait for a response.
type pipeline struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
	// waiting holds the requests in the order in which they are sent, and unwritten those of them that aren't sent yet.
	waiting   []*pipelinedRequest
	unwritten chan *pipelinedRequest
	// reused is set after the first response.
	reused bool
	// ended is closed when no further request may be sent.
	ended chan struct{}
}

type pipelinedRequest struct {
	request *http.Request
	reply   chan pipelinedReply
}

type pipelinedReply struct {
	response *http.Response
	err      error
}

// New returns a transport that opens connections with dial.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error)) *Transport {
	return &Transport{dial: dial, conns: make(map[string][]*pipeline)}
}

var (
	// errUnread is the error of a request that was not read, because a response before it closed the connection.
	errUnread = errors.New("connection closed ahead of the response")
	// errAborted is the error of a request whose new connection ended without a response.
	errAborted = errors.New("connection ended without a response")
)

// maxResends bounds how often one request is sent again because its connection ended ahead of its response.
const maxResends = 8

// RoundTrip sends a request and waits for its response. If the connection ends ahead of its response, the request is sent
// again on another one.
func (p *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	for resends := 0; ; resends++ {
		response, err := p.send(r)
		if !errors.Is(err, errUnread) || resends == maxResends {
			return response, err
		}
	}
}

func (p *Transport) send(r *http.Request) (*http.Response, error) {
	v := &pipelinedRequest{request: r, reply: make(chan pipelinedReply, 1)}
	c, err := p.enqueue(r.Context(), r.URL.Host, v)
	if err != nil {
		return nil, err
	}
	select {
	case a := <-v.reply:
		return a.response, a.err
	case <-r.Context().Done():
		// A response can't be skipped, so the connection ends with all of its requests.
		p.end(c, errAborted)
		return nil, errors.Wrap(r.Context().Err(), "wait for pipelined response")
	}
}

// enqueue adds a request to those of a connection, and opens one if needed.
func (p *Transport) enqueue(ctx context.Context, address string, v *pipelinedRequest) (*pipeline, error) {
	if c := p.enqueueOpen(address, v); c != nil {
		return c, nil
	}
	conn, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "open pipelined connection")
	}
	c := &pipeline{
		address: address, conn: conn, reader: bufio.NewReader(conn), waiting: []*pipelinedRequest{v},
		unwritten: make(chan *pipelinedRequest, maxPipelined), ended: make(chan struct{}),
	}
	c.unwritten <- v
	p.mutex.Lock()
	p.conns[address] = append(p.conns[address], c)
	p.mutex.Unlock()
	go p.write(c)
	go p.read(c)
	return c, nil
}

// enqueueOpen adds a request to an open connection with room; nil if there is none.
func (p *Transport) enqueueOpen(address string, v *pipelinedRequest) *pipeline {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.conns[address] {
		if len(c.waiting) < maxPipelined {
			c.waiting = append(c.waiting, v)
			c.unwritten <- v
			return c
		}
	}
	return nil
}

// write writes the requests of a connection until it ends. A failed write doesn't end it, because responses that have
// arrived before are still read.
func (p *Transport) write(c *pipeline) {
	for {
		select {
		case v := <-c.unwritten:
			if v.request.Write(c.conn) != nil {
				return
			}
		case <-c.ended:
			return
		}
	}
}

// read reads the responses of a connection in the order of its requests.
func (p *Transport) read(c *pipeline) {
	for {
		if _, err := c.reader.Peek(1); err != nil {
			// As for requests that aren't pipelined, a connection that served others may have been closed as idle.
			if c.reused {
				p.end(c, errUnread)
			} else {
				p.end(c, errAborted)
			}
			return
		}
		v := p.first(c)
		if v == nil {
			p.end(c, errUnread)
			return
		}
		response, err := http.ReadResponse(c.reader, v.request)
		var body []byte
		if err == nil {
			body, err = io.ReadAll(response.Body)
		}
		if err != nil {
			v.reply <- pipelinedReply{err: errors.Wrap(err, "read pipelined response")}
			p.remove(c, v)
			p.end(c, errUnread)
			return
		}
		response.Body = io.NopCloser(bytes.NewReader(body))
		v.reply <- pipelinedReply{response: response}
		p.remove(c, v)
		c.reused = true
		if response.Close {
			p.end(c, errUnread)
			return
		}
	}
}

// first returns the request that the next response belongs to; nil if there is none.
func (p *Transport) first(c *pipeline) *pipelinedRequest {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(c.waiting) == 0 {
		return nil
	}
	return c.waiting[0]
}

// remove removes the first request, which has its reply.
func (p *Transport) remove(c *pipeline, v *pipelinedRequest) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(c.waiting) > 0 && c.waiting[0] == v {
		c.waiting = c.waiting[1:]
	}
}

// end closes a connection and fails the requests that wait for a response on it.
func (p *Transport) end(c *pipeline, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	i := slices.Index(p.conns[c.address], c)
	if i < 0 {
		return
	}
	p.conns[c.address] = slices.Delete(p.conns[c.address], i, i+1)
	close(c.ended)
	_ = c.conn.Close()
	for _, v := range c.waiting {
		select {
		case v.reply <- pipelinedReply{err: err}:
		default:
			// The request has its reply, and is about to be removed.
		}
	}
	c.waiting = nil
}

// Close closes all connections.
func (p *Transport) Close() {
	p.mutex.Lock()
	open := slices.Concat(slices.Collect(maps.Values(p.conns))...)
	p.mutex.Unlock()
	for _, c := range open {
		p.end(c, errUnread)
	}
}
