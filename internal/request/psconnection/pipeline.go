package psconnection

import "slices"

// MaxInProgress bounds the requests of one connection that are in progress.
const MaxInProgress = 16

// Pipeline is the order of the requests of one connection. The zero value has none. Requests are numbered in the order in
// which they begin, from 1.
type Pipeline struct {
	begun []entry
	last  int
	// closing is set once a response was begun that closes the connection, or a request was given up. Nothing begins after it.
	closing bool
	// responding is set once the response whose turn it is was begun.
	responding bool
}

type entry struct {
	id       int
	overlaps bool
}

// Len returns the number of requests in progress.
func (p *Pipeline) Len() int { return len(p.begun) }

// Closing reports whether the connection closes with a response that has begun, or with the next one.
func (p *Pipeline) Closing() bool { return p.closing }

// MayRead reports whether the head of the next request may be read. Nothing is read behind a request that runs alone.
func (p *Pipeline) MayRead() bool {
	return !p.closing && len(p.begun) < MaxInProgress && !slices.ContainsFunc(p.begun, func(e entry) bool { return !e.overlaps })
}

// MayBegin reports whether a request whose head was read may run. One that doesn't overlap waits until it is alone.
func (p *Pipeline) MayBegin(overlaps bool) bool {
	return p.MayRead() && (overlaps || len(p.begun) == 0)
}

// Begin adds a request that may run and returns its number.
func (p *Pipeline) Begin(overlaps bool) int {
	p.last++
	p.begun = append(p.begun, entry{p.last, overlaps})
	return p.last
}

// IsTurn reports whether the response to a request is the next one to be written.
func (p *Pipeline) IsTurn(id int) bool { return len(p.begun) > 0 && p.begun[0].id == id }

// BeginResponse reports whether the connection closes with the response to a request, whose turn it is. must states that
// it has to, and whenLast that it closes if no further request has begun, as in a VM that shuts down.
func (p *Pipeline) BeginResponse(must, whenLast bool) bool {
	if must || whenLast && len(p.begun) == 1 {
		p.closing = true
	}
	p.responding = true
	return p.closing
}

// End removes a request. It returns the number of the request whose turn is next; 0 if there is none, or if the connection
// closes, so that the requests behind are cancelled. It closes if the response to the request was not begun: a caller would
// take the next response for the missing one.
func (p *Pipeline) End(id int) int {
	turn := p.IsTurn(id)
	p.closing = p.closing || !turn || !p.responding
	if turn {
		p.responding = false
	}
	p.begun = slices.DeleteFunc(p.begun, func(e entry) bool { return e.id == id })
	if !turn || p.closing || len(p.begun) == 0 {
		return 0
	}
	return p.begun[0].id
}
