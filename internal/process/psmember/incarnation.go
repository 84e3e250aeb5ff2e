package psmember

import (
	"crypto/rand"
	"encoding/hex"
)

// Incarnation identifies one process of a VM: a restarted VM has another one.
type Incarnation string

// incarnationBytes is the entropy of an incarnation.
const incarnationBytes = 8

// NewIncarnation returns an incarnation that no other process has.
func NewIncarnation() Incarnation {
	var b [incarnationBytes]byte
	_, _ = rand.Read(b[:])
	return Incarnation(hex.EncodeToString(b[:]))
}
