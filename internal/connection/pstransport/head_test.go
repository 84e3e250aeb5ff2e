package pstransport

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestHeaderSizeIsFoundInPieces covers a header that is received byte by byte, and bytes behind it that look like lines.
func TestHeaderSizeIsFoundInPieces(t *testing.T) {
	for head, ended := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n": true, "HTTP/1.1 200 OK\nA: b\n\n": true, "HTTP/1.1 200 OK\r\n\r\n": true,
		"\r\n\r\n": true, "\r\n": false, "HTTP/1.1 200 OK\r\nA: b\r\n": false, "HTTP/1.1 200 OK\r\n\r": false,
	} {
		var s headSize
		for n := range len(head) + 1 {
			s.scan([]byte(head[:n]))
		}
		s.scan([]byte(head + "\n\nbody\n\n"))
		qt.Check(t, s.ended, qt.IsTrue)
		if ended {
			qt.Check(t, s.length, qt.Equals, len(head), qt.Commentf("%q", head))
		}
	}
}

// TestParsedHeaderTakesNoMoreThanEstimated guards against an estimate that is too low for headers of many short lines.
func TestParsedHeaderTakesNoMoreThanEstimated(t *testing.T) {
	for name, line := range map[string]string{"same": "a:\r\n", "unique": "%x:\r\n", "long": "X-%x: " + strings.Repeat("x", 500) + "\r\n"} {
		head := "HTTP/1.1 200 OK\r\n"
		for n := 0; len(head) < 60<<10; n++ {
			head += strings.ReplaceAll(line, "%x", fmt.Sprintf("%x", n))
		}
		head += "\r\n"
		var s headSize
		s.scan([]byte(head))
		const count = 20
		kept := make([]*http.Response, count)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range kept {
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
			qt.Assert(t, err, qt.IsNil)
			kept[i] = r
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		took := int64(after.HeapAlloc-before.HeapAlloc) / count
		qt.Check(t, took < s.parsed, qt.IsTrue, qt.Commentf("%s: %d bytes, %d estimated", name, took, s.parsed))
		runtime.KeepAlive(kept)
	}
}
