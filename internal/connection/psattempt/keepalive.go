package psattempt

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"persimmonstep/internal/request/pskeepalive"
)

// maxKeepAlive bounds the idle timeout that a server can state, in seconds.
const maxKeepAlive = 3600

// keepAlives holds what connections have shown, by service. The zero value is empty. It is safe for concurrent use.
type keepAlives struct {
	mutex    sync.Mutex
	services map[string]*pskeepalive.History
}

// with calls a function with the history of a service.
func (k *keepAlives) with(service string, do func(h *pskeepalive.History)) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.services == nil {
		k.services = make(map[string]*pskeepalive.History)
	}
	h, found := k.services[service]
	if !found {
		h = &pskeepalive.History{}
		k.services[service] = h
	}
	do(h)
}

func (k *keepAlives) maxIdle(service string, repeatable bool, now time.Time) (d time.Duration) {
	k.with(service, func(h *pskeepalive.History) { d = h.MaxIdle(repeatable, now) })
	return d
}

// readKeepAlive decodes the idle timeout that a server states; 0 if it states none.
func readKeepAlive(h http.Header) time.Duration {
	for _, text := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(text, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
			if n, err := strconv.Atoi(strings.TrimSpace(value)); strings.EqualFold(name, "timeout") && err == nil && n > 0 {
				return time.Duration(min(n, maxKeepAlive)) * time.Second
			}
		}
	}
	return 0
}
