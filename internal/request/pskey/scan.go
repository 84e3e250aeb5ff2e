package pskey

import (
	"net/http"
	"strings"

	"persimmonstep/internal/version/psdoc"
)

const (
	// minSecretBytes is the length of the shortest secret that is looked for by itself;
	// shorter ones are found as KEYID.SECRET only.
	minSecretBytes = 12
	// maxUnescapes bounds how often a value may be percent-encoded.
	maxUnescapes = 3
)

// Scan finds keys in a call outside the place where a call may have one.
type Scan struct {
	// Own is the call's key; zero where it has none.
	Own Key
	// Known finds the digest of an issued key.
	Known func(id psdoc.Name) (psdoc.Digest, bool)
}

// Find reports whether what would be sent on holds a key: in the method, the host, the
// path, the query, or a header's name or value, percent-encoded or not and in any case.
func (s Scan) Find(r *http.Request) bool {
	if s.holds(r.Method) || s.holds(r.Host) || s.holds(r.URL.Path) || s.holds(r.URL.RawPath) || s.holds(r.URL.RawQuery) {
		return true
	}
	for n, values := range r.Header {
		if s.holds(n) {
			return true
		}
		for _, v := range values {
			if s.holds(v) {
				return true
			}
		}
	}
	return false
}

func (s Scan) holds(text string) bool {
	for range maxUnescapes {
		if s.holdsOwn(text) || s.holdsKnown(text) {
			return true
		}
		if !strings.Contains(text, "%") {
			return false
		}
		text = unescape(text)
	}
	return s.holdsOwn(text) || s.holdsKnown(text)
}

// holdsOwn looks for the call's own secret.
func (s Scan) holdsOwn(text string) bool {
	secret := s.Own.Secret
	if len(secret) < minSecretBytes {
		return false
	}
	for i := 0; i+len(secret) <= len(text); i++ {
		if strings.EqualFold(text[i:i+len(secret)], secret) {
			return true
		}
	}
	return false
}

// holdsKnown looks for any issued key in the form KEYID.SECRET.
func (s Scan) holdsKnown(text string) bool {
	for at := 0; ; {
		i := strings.IndexByte(text[at:], '.')
		if i < 0 {
			return false
		}
		dot := at + i
		at = dot + 1
		from, to := dot, at
		for from > 0 && isKeyByte(text[from-1]) {
			from--
		}
		for to < len(text) && isKeyByte(text[to]) {
			to++
		}
		if d, found := s.Known(psdoc.Name(text[from:dot])); found && (Key{Secret: text[at:to]}).Matches(d) {
			return true
		}
	}
}

// isKeyByte reports whether a byte may stand in a key's id or in a secret of [New].
func isKeyByte(b byte) bool {
	return b == '-' || b == '_' || '0' <= b && b <= '9' || 'a' <= b && b <= 'z' || 'A' <= b && b <= 'Z'
}

// unescape decodes the well-formed percent escapes of a text and keeps everything else.
func unescape(text string) string {
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			if high, low := hexDigit(text[i+1]), hexDigit(text[i+2]); high >= 0 && low >= 0 {
				b.WriteByte(byte(high<<4 | low))
				i += 2
				continue
			}
		}
		b.WriteByte(text[i])
	}
	return b.String()
}

func hexDigit(b byte) int {
	return strings.IndexByte("0123456789abcdef", b|0x20)
}
