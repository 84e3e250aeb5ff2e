package pshead

import (
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

var (
	errProtocol = errors.New("protocol is not HTTP/1")
	errHost     = errors.New("Host missing, repeated or invalid")
	errName     = errors.New("invalid character in the name of a header")
	errValue    = errors.New("control character in a header")
)

// separators are the printable characters that don't occur in names of headers.
const separators = "\"(),/:;<=>?@[\\]{}"

// check returns an error for a request that net/http parses and its server rejects.
func check(r *http.Request) error {
	if r.ProtoMajor != 1 {
		return errProtocol
	}
	hosts := r.Header["Host"]
	if len(hosts) > 1 || r.ProtoAtLeast(1, 1) && r.Host == "" && len(hosts) == 0 && r.Method != http.MethodConnect || !isHost(r.Host) {
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
