package psblock

import "math/bits"

// hashIndex finds positions of keys by open addressing. It holds positions plus one, 0 for
// a free place, and is at most half full.
type hashIndex []uint32

const (
	// hashFactor spreads keys that follow each other.
	hashFactor = 0x9E3779B1
	keyBits    = 32
)

// newHashIndex indexes keys that are all different.
func newHashIndex(keys []uint32) hashIndex {
	if len(keys) == 0 {
		return nil
	}
	h := make(hashIndex, 1<<bits.Len(uint(2*len(keys))))
	for i, k := range keys {
		n := h.place(k)
		for h[n] != 0 {
			n = (n + 1) % len(h)
		}
		h[n] = uint32(i + 1)
	}
	return h
}

func (h hashIndex) place(key uint32) int {
	return int(key * hashFactor >> (keyBits - bits.TrailingZeros(uint(len(h)))))
}

// find returns the position of a key, or -1.
func (h hashIndex) find(keys []uint32, key uint32) int {
	if len(h) == 0 {
		return -1
	}
	for n := h.place(key); h[n] != 0; n = (n + 1) & (len(h) - 1) {
		if i := int(h[n] - 1); keys[i] == key {
			return i
		}
	}
	return -1
}
