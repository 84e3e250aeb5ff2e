package psserver

import (
	"maps"
	"slices"
	"sync"
)

// maxRecentObjects is the capacity of a [RecentObjects].
const memorySize = 64

// RecentObjects is the set of objects that were most recently sent to a server, with LRU eviction. It is safe
// for concurrent use.
type Memory struct {
	mutex sync.Mutex
	// lastUsed holds the value of the counter when each object was sent last.
	used map[uint64]uint64
	turn uint64
}

// NewRecentObjects returns an empty set.
func NewMemory() *Memory {
	return &Memory{used: make(map[uint64]uint64, memorySize+1)}
}

// Contains reports whether an object is in the set.
func (r *Memory) Has(object uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.used[object]
	return found
}

// Add marks an object as the most recently sent one.
func (r *Memory) Note(object uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.turn++
	r.used[object] = r.turn
	if len(r.used) > memorySize {
		delete(r.used, r.oldest())
	}
}

func (r *Memory) oldest() uint64 {
	var oldest, lowest uint64
	lowest = r.turn + 1
	for o, t := range r.used {
		if t < lowest {
			oldest, lowest = o, t
		}
	}
	return oldest
}

// Objects returns all objects of the set in ascending order.
func (r *Memory) Objects() []uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Sorted(maps.Keys(r.used))
}
