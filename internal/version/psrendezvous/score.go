// Package psrendezvous assigns keys to members by rendezvous hashing.
//
// Each member has a score for each key, and the member with the highest score gets the key.
// Every VM that knows the members comes to the same result without a message, and a member
// that comes or goes moves only the keys that it gets or had.
package psrendezvous

import (
	"github.com/cespare/xxhash/v2"
)

// Score returns a member's score for a key.
func Score(key, member string) uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(member)
	return d.Sum64()
}
