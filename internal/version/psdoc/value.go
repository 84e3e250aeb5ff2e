package psdoc

import (
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Name identifies an object of the configuration: lower-case letters, digits and hyphens.
type Name string

// maxNameBytes is the length of the longest name.
const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// UnmarshalText checks the name.
func (n *Name) UnmarshalText(text []byte) error {
	if len(text) > maxNameBytes || !namePattern.Match(text) {
		return errors.Errorf("%q is not a name: use 1 to %d lower-case letters, digits and inner hyphens", text, maxNameBytes)
	}
	*n = Name(text)
	return nil
}

// Duration is a positive time span in Go's text form, such as "1.5s".
type Duration struct {
	time.Duration
}

// UnmarshalText reads the span.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v <= 0 {
		return errors.Errorf("%q is not a positive duration such as \"500ms\"", text)
	}
	d.Duration = v
	return nil
}

// MarshalText writes the span as it is read.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// RouteKind says how the requests of a route may be treated.
type RouteKind string

const (
	// KindLookup marks idempotent requests, which may be retried.
	KindLookup RouteKind = "lookup"
	// KindExclusive marks requests that run at most once.
	KindExclusive RouteKind = "exclusive"
	// KindUpload marks long bodies, which are streamed under progress timeouts.
	KindUpload RouteKind = "upload"
)

// UnmarshalText checks the kind.
func (k *RouteKind) UnmarshalText(text []byte) error {
	switch v := RouteKind(text); v {
	case KindLookup, KindExclusive, KindUpload:
		*k = v
		return nil
	}
	return errors.Errorf("%q is not a route kind: use lookup, exclusive or upload", text)
}

// CutOffPolicy says what a VM does with a route's requests while it hears neither the platform nor a peer.
type CutOffPolicy string

const (
	// CutOffServe goes on for at most the route's key grace.
	CutOffServe CutOffPolicy = "serve"
	// CutOffRefuse refuses at once.
	CutOffRefuse CutOffPolicy = "refuse"
)

// UnmarshalText checks the policy.
func (p *CutOffPolicy) UnmarshalText(text []byte) error {
	switch v := CutOffPolicy(text); v {
	case CutOffServe, CutOffRefuse:
		*p = v
		return nil
	}
	return errors.Errorf("%q is not a cut-off policy: use serve or refuse", text)
}

// Digest is the SHA-256 of a key's secret; the secret itself is stored nowhere.
type Digest [sha256.Size]byte

// digestPrefix names the hash in the text form.
const digestPrefix = "sha256:"

// DigestOf hashes a secret.
func DigestOf(secret string) Digest {
	return sha256.Sum256([]byte(secret))
}

// UnmarshalText reads "sha256:" and 64 hexadecimal digits.
func (d *Digest) UnmarshalText(text []byte) error {
	raw, found := strings.CutPrefix(string(text), digestPrefix)
	v, err := hex.DecodeString(raw)
	if !found || err != nil || len(v) != len(d) {
		return errors.New("a digest is \"sha256:\" and 64 hexadecimal digits")
	}
	copy(d[:], v)
	return nil
}

// MarshalText writes the digest as it is read.
func (d Digest) MarshalText() ([]byte, error) {
	return []byte(digestPrefix + hex.EncodeToString(d[:])), nil
}
