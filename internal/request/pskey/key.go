// Package pskey reads workspace keys from calls.
//
// A key has the form KEYID.SECRET: operators and logs name a key by its id and never hold
// the secret. The key is taken out of the call when it is read, so that nothing that is
// sent on can carry it.
package pskey

import (
	"crypto/rand"
	"crypto/subtle"
	"encoding/base32"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"persimmonstep/internal/version/psdoc"
)

const (
	authorization      = "Authorization"
	proxyAuthorization = "Proxy-Authorization"
	bearer             = "Bearer "
	// maxSecretBytes bounds a secret.
	maxSecretBytes = 256
	// secretBytes is the entropy of a secret.
	secretBytes = 20
	// identifierBytes is the entropy of a key id.
	identifierBytes = 5
)

// ErrMalformed says that a call's key cannot be read, or that the call has two keys.
var ErrMalformed = errors.New("the call needs exactly one key in the form KEYID.SECRET")

// Key is a key as its caller presents it.
type Key struct {
	// ID names the key.
	ID psdoc.Name
	// Secret proves it and must not be stored or logged.
	Secret string
}

// New makes a random key.
func New() Key {
	encoding := base32.StdEncoding.WithPadding(base32.NoPadding)
	random := func(n int) string {
		b := make([]byte, n)
		_, _ = rand.Read(b)
		return strings.ToLower(encoding.EncodeToString(b))
	}
	return Key{ID: psdoc.Name("k" + random(identifierBytes)), Secret: random(secretBytes)}
}

// Parse reads a key from its text form.
func Parse(text string) (Key, error) {
	id, secret, found := strings.Cut(text, ".")
	var k Key
	if !found || secret == "" || len(secret) > maxSecretBytes || k.ID.UnmarshalText([]byte(id)) != nil {
		return Key{}, ErrMalformed
	}
	k.Secret = secret
	return k, nil
}

// String is the text form, which holds the secret.
func (k Key) String() string {
	return string(k.ID) + "." + k.Secret
}

// Matches compares the secret with a digest in constant time.
func (k Key) Matches(d psdoc.Digest) bool {
	own := psdoc.DigestOf(k.Secret)
	return subtle.ConstantTimeCompare(own[:], d[:]) == 1
}

// Take reads the key of a call and removes every credential from the header.
// It reports false where there is none. The same key may come twice, two keys may not.
func Take(h http.Header) (Key, bool, error) {
	values := h[authorization]
	delete(h, authorization)
	delete(h, proxyAuthorization)
	if len(values) == 0 {
		return Key{}, false, nil
	}
	k, err := parseBearer(values[0])
	if err != nil {
		return Key{}, false, err
	}
	for _, v := range values[1:] {
		if other, err := parseBearer(v); err != nil || other != k {
			return Key{}, false, ErrMalformed
		}
	}
	return k, true, nil
}

func parseBearer(value string) (Key, error) {
	if len(value) <= len(bearer) || !strings.EqualFold(value[:len(bearer)], bearer) {
		return Key{}, ErrMalformed
	}
	return Parse(strings.TrimSpace(value[len(bearer):]))
}
