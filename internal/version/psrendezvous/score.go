// Package psrendezvous assigns keys to members by rendezvous hashing.
//
// Each member has a score for each key, and the member with the highest score owns the key. All VMs
// that know the same members compute the same owner without exchanging messages, and adding or
// removing a member moves only the keys that this member owns.
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
