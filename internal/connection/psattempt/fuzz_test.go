package psattempt_test

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"persimmonstep/internal/connection/psattempt"
	"persimmonstep/internal/connection/psbody"
	"persimmonstep/internal/connection/pshead"
	"persimmonstep/internal/connection/psresponse"
)

// maxHeaderBytes is the limit of heads, and longBody is a body that isn't buffered completely.
const maxHeaderBytes = 4096

var longBody = strings.Repeat("GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n", 40000)

// FuzzForward reads arbitrary requests as the listener of callers does and writes them as to a server. The server must see
// exactly one request, with the same method, target and body.
func FuzzForward(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "POST /%2F?x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nConnection: Content-Length, Host\r\nContent-Length: 3\r\n\r\nabc",
		"CONNECT / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n",
		"GET http://b:80/x HTTP/1.1\r\nHost: a\r\na: b\r\n c\r\n\r\n", "PUT //a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\nTrailer: A\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, input []byte, long bool) {
		text := string(input)
		if long {
			// A long body in chunks follows the head.
			text += "138800\r\n" + longBody[:0x138800] + "\r\n0\r\n\r\n"
		}
		r, _, err := pshead.NewSource(strings.NewReader(text), nil).ReadRequest(maxHeaderBytes)
		if err != nil {
			return
		}
		var body psbody.Body
		if body.Read(nil, r, 0) != nil {
			return
		}
		var out bytes.Buffer
		to := psattempt.NewRequest(r, &body, psresponse.EndToEndHeaders(r.Header), netip.MustParseAddrPort("127.0.0.1:1"))
		if to.Write(&out) != nil {
			// The exchange fails, and its connection is closed.
			return
		}
		reader := bufio.NewReader(&out)
		got, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatalf("the server can't read the request: %s: %q", err, input)
		}
		if got.Method != r.Method || got.URL.EscapedPath() != to.URL.EscapedPath() && to.URL.EscapedPath() != "" || got.URL.RawQuery != r.URL.RawQuery {
			t.Fatalf("%s %s of %q", got.Method, got.URL, input)
		}
		if _, err = io.Copy(io.Discard, got.Body); err != nil {
			t.Fatalf("the server can't read the body: %s: %q", err, input)
		}
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Fatalf("%q follows %q", rest[:min(len(rest), 100)], input)
		}
	})
}
