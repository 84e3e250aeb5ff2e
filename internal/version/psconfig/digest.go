package psconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a workspace's key, in hexadecimal. Keys themselves are not
// kept, so that nothing that a VM tells or logs holds one.
type Digest string

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(hex.EncodeToString(sum[:]))
}
