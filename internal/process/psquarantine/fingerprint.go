package psquarantine

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
)

// Fingerprint identifies a request by its content, so that a repeat has the same one
// whichever VM it comes through. It holds the workspace: nobody's request can have another
// workspace's fingerprint but by a collision of 64 bits.
type Fingerprint uint64

// Parts are what a fingerprint is made of.
type Parts struct {
	Workspace psdoc.Name
	Route     psdoc.Name
	Method    string
	Target    string
	// Body is the whole body; nil where it is streamed.
	Body []byte
	// Label stands for a streamed body, such as its idempotency key or its length.
	Label string
}

// Of returns the fingerprint of a request.
func Of(p Parts) Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{string(p.Workspace), string(p.Route), p.Method, p.Target, p.Label} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(p.Body)
	return Fingerprint(d.Sum64())
}

// base is that of the text form.
const (
	base = 16
	bits = 64
)

// String is the text form.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), base)
}

// MarshalText writes the text form.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return []byte(f.String()), nil
}

// UnmarshalText reads the text form.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), base, bits)
	*f = Fingerprint(v)
	return errors.Wrap(err, "a fingerprint is a hexadecimal number")
}
