// Package psobject remembers which objects a VM has sent requests for to a backend server, which probably has them
// cached.
package psobject

import (
	"maps"
	"slices"
	"sync"
)

// maxRecent is the capacity of a [Recent].
const maxRecent = 64

// Recent is the set of objects that were most recently sent to a server, with LRU eviction. It is safe
// for concurrent use.
type Recent struct {
	mutex sync.Mutex
	// lastUsed holds the value of the counter when each object was sent last.
	lastUsed map[uint64]uint64
	counter  uint64
}

// NewRecent returns an empty set.
func NewRecent() *Recent {
	return &Recent{lastUsed: make(map[uint64]uint64, maxRecent+1)}
}

// Contains reports whether an object is in the set.
func (r *Recent) Contains(object uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.lastUsed[object]
	return found
}

// Add marks an object as the most recently sent one.
func (r *Recent) Add(object uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter++
	r.lastUsed[object] = r.counter
	if len(r.lastUsed) > maxRecent {
		delete(r.lastUsed, r.oldest())
	}
}

func (r *Recent) oldest() uint64 {
	var oldest, lowest uint64
	lowest = r.counter + 1
	for o, t := range r.lastUsed {
		if t < lowest {
			oldest, lowest = o, t
		}
	}
	return oldest
}

// Objects returns all objects of the set in ascending order.
func (r *Recent) Objects() []uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Sorted(maps.Keys(r.lastUsed))
}
