// Package psconnection decides which connection of a caller is closed when there are too many, and in which order the
// requests of one connection run and are answered.
package psconnection

import (
	"cmp"
	"slices"
	"time"
)

// Activity is what a connection does, in the order in which connections are closed.
type Activity uint8

const (
	// Lingering connections are closing: what their caller still sends is dropped.
	Lingering Activity = iota
	// Idle connections have no request.
	Idle
	// SendingHead connections are in the middle of the head of a request.
	SendingHead
	// Blocked connections wait for their caller to send the rest of a body or to read a response.
	Blocked
	// Running connections wait for a backend server. They are not closed.
	Running
)

// minBlocked is how long a connection must have been blocked to be closed. An ordinary caller sends or reads something
// in a shorter time.
const minBlocked = time.Second

// Connection is the state of a connection.
type Connection struct {
	Activity Activity
	// For is how long the connection has been doing this.
	For time.Duration
}

// mayClose reports whether the connection may be closed to make room for another one.
func (c Connection) mayClose() bool {
	return c.Activity < Blocked || c.Activity == Blocked && c.For >= minBlocked
}

// ToClose returns the indexes of the connections that are closed first, at most n: lingering ones, then those that are
// idle longest, then those that take longest to send a head, then those that are blocked longest.
func ToClose(list []Connection, n int) []int {
	var indexes []int
	for i, c := range list {
		if c.mayClose() {
			indexes = append(indexes, i)
		}
	}
	slices.SortFunc(indexes, func(a, b int) int {
		if o := cmp.Compare(list[a].Activity, list[b].Activity); o != 0 {
			return o
		}
		return cmp.Compare(list[b].For, list[a].For)
	})
	return indexes[:min(n, len(indexes))]
}
