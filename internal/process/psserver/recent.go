package psserver

import (
	"maps"
	"slices"
	"sync"
)

// maxRecentObjects is the capacity of a [RecentObjects].
const maxRecentObjects = 64

// RecentObjects is the set of objects that were most recently sent to a server, with LRU eviction. It is safe
// for concurrent use.
type RecentObjects struct {
	mutex sync.Mutex
	// lastUsed holds the value of the counter when each object was sent last.
	lastUsed map[uint64]uint64
	counter  uint64
}

// NewRecentObjects returns an empty set.
func NewRecentObjects() *RecentObjects {
	return &RecentObjects{lastUsed: make(map[uint64]uint64, maxRecentObjects+1)}
}

// Contains reports whether an object is in the set.
func (r *RecentObjects) Contains(object uint64) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.lastUsed[object]
	return found
}

// Add marks an object as the most recently sent one.
func (r *RecentObjects) Add(object uint64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counter++
	r.lastUsed[object] = r.counter
	if len(r.lastUsed) > maxRecentObjects {
		delete(r.lastUsed, r.oldest())
	}
}

func (r *RecentObjects) oldest() uint64 {
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
func (r *RecentObjects) Objects() []uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return slices.Sorted(maps.Keys(r.lastUsed))
}
