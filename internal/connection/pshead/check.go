package pshead

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var (
	errProtocol = errors.New("protocol is not HTTP/1")
	errHost     = errors.New("Host missing, repeated or invalid")
	errName     = errors.New("invalid character in the name of a header")
	errValue    = errors.New("control character in a header")
	errFraming  = errors.New("Transfer-Encoding beside Content-Length or in HTTP/1.0")
	errMethod   = errors.New("tunnels aren't supported")
)

// separators are the printable characters that don't occur in names of headers.
const separators = "\"(),/:;<=>?@[\\]{}"

// checkFraming returns an error for a head whose body other programs may end elsewhere, so that a part of it would be taken
// for the next request (RFC 9112, section 6.1): chunks beside a length, and chunks in HTTP/1.0. net/http ignores the length in
// the first case and the chunks in the second.
func checkFraming(head []byte) error {
	first, rest, _ := bytes.Cut(head, []byte("\n"))
	old := bytes.HasSuffix(bytes.TrimSuffix(first, []byte("\r")), []byte(" HTTP/1.0"))
	chunks, length := false, false
	for line := range bytes.Lines(rest) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		chunks = chunks || bytes.EqualFold(name, []byte("Transfer-Encoding"))
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
	}
	if chunks && (length || old) {
		return errFraming
	}
	return nil
}

// check returns an error for a request that net/http parses and its server rejects, or that opens a tunnel: net/http writes
// the body of such a request without framing, so that a server would take it for further requests.
func check(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return errProtocol
	}
	if r.Method == http.MethodConnect {
		return errMethod
	}
	hosts := r.Header["Host"]
	if len(hosts) > 1 || r.ProtoAtLeast(1, 1) && r.Host == "" && len(hosts) == 0 || !isHost(r.Host) {
		return errHost
	}
	for name, values := range r.Header {
		if strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c >= 0x7f || strings.ContainsRune(separators, c) }) {
			return errName
		}
		for _, v := range values {
			if strings.ContainsFunc(v, func(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }) {
				return errValue
			}
		}
	}
	delete(r.Header, "Host")
	return nil
}

// isHost reports whether a host has only characters that occur in hosts.
func isHost(host string) bool {
	return !strings.ContainsFunc(host, func(c rune) bool {
		return c <= ' ' || c >= 0x7f || strings.ContainsRune("\"#<>?\\^`{|}", c)
	})
}
