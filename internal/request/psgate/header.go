package psgate

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"
)

const (
	headerRequestID = "X-Request-Id"
	headerWorkspace = "X-Workspace"
	// headerDeadline carries the milliseconds that are left for the request.
	headerDeadline = "X-Deadline-Millis"
	// internalPrefix begins the names of the system's own headers.
	internalPrefix = "Persimmonstep-"
)

// dropped reports whether a header is not sent on: it concerns one connection only, or only
// the system and its backend servers may set it.
func dropped(name string) bool {
	if strings.Contains(name, "_") {
		// Some servers take X_Workspace and X-Workspace for the same.
		name = textproto.CanonicalMIMEHeaderKey(strings.ReplaceAll(name, "_", "-"))
	}
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Authorization":
		return true
	case headerRequestID, headerWorkspace, headerDeadline, headerNotRun, "X-Draining", "X-Load":
		return true
	}
	return strings.HasPrefix(name, internalPrefix)
}

// endToEnd copies a header without what concerns one connection or the system itself.
// The copy shares the values, which nobody may change in place.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+addedHeaders)
	for n, values := range h {
		if !dropped(n) {
			out[n] = values
		}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}

// addedHeaders is the number of headers that the gate may add.
const addedHeaders = 4

func cloneURL(u *url.URL, host string) *url.URL {
	return &url.URL{Scheme: "http", Host: host, Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery}
}
