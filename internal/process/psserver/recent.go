package psserver

import (
	"maps"
	"slices"
	"sync"
)

// memorySize is the number of objects that a [Memory] holds.
const memorySize = 64

// Memory is the set of objects that were sent to a server last. The one that was not sent
// for the longest time is forgotten first.
type Memory struct {
	mutex sync.Mutex
	// used gives the turn in which each object was sent last.
	used map[uint64]uint64
	turn uint64
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{used: make(map[uint64]uint64, memorySize+1)}
}

// Has reports whether an object is remembered.
func (m *Memory) Has(object uint64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	_, found := m.used[object]
	return found
}

// Note takes in that an object was sent.
func (m *Memory) Note(object uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.turn++
	m.used[object] = m.turn
	if len(m.used) > memorySize {
		delete(m.used, m.oldest())
	}
}

func (m *Memory) oldest() uint64 {
	var oldest, turn uint64
	turn = m.turn + 1
	for o, t := range m.used {
		if t < turn {
			oldest, turn = o, t
		}
	}
	return oldest
}

// Objects returns all remembered objects in ascending order.
func (m *Memory) Objects() []uint64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return slices.Sorted(maps.Keys(m.used))
}
