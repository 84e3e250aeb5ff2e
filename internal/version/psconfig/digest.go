package psconfig

import (
	"crypto/sha256"
	"encoding/hex"
)

// Digest is the SHA-256 digest of a workspace's API key, in hexadecimal. The keys themselves are not
// stored, so that neither messages nor logs of a VM can contain one.
type Digest string

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(key))
	return Digest(hex.EncodeToString(sum[:]))
}
