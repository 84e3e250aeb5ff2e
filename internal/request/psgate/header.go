package psgate

import (
	"net/http"
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

// hopByHop lists the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internal lists the headers that only the system sets.
var internal = []string{headerRequestID, headerWorkspace, headerDeadline}

// endToEnd copies a header without what concerns one connection or the system itself.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, n := range hopByHop {
		out.Del(n)
	}
	for _, n := range internal {
		out.Del(n)
	}
	for n := range out {
		if strings.HasPrefix(n, internalPrefix) {
			delete(out, n)
		}
	}
	return out
}

func cloneURL(u *url.URL, host string) *url.URL {
	return &url.URL{Scheme: "http", Host: host, Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery}
}
