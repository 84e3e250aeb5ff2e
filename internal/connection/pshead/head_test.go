package pshead_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psbudget"
	"persimmonstep/internal/connection/pshead"
)

const limit = 16384

// lines returns header lines of a total length, each of a name of its own.
func lines(length int) string {
	var b strings.Builder
	for i := 0; b.Len() < length-8; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// TestHeadsAreRefused lists heads that must not be parsed, or not be accepted. The account is empty afterwards.
func TestHeadsAreRefused(t *testing.T) {
	for name, v := range map[string]struct {
		text string
		want pshead.Kind
	}{
		"nothing":                 {"", pshead.Closed},
		"cut off in first line":   {"GET / HT", pshead.Closed},
		"cut off in header":       {"GET / HTTP/1.1\r\nHost: a\r\n", pshead.Closed},
		"empty lines":             {strings.Repeat("\r\n", 1000), pshead.Malformed},
		"first line too long":     {"GET /" + strings.Repeat("x", limit) + " HTTP/1.1\r\n\r\n", pshead.TooLarge},
		"first line without end":  {"GET /" + strings.Repeat("x", 2*limit), pshead.TooLarge},
		"header too long":         {"GET / HTTP/1.1\r\n" + lines(limit+100) + "\r\n", pshead.TooLarge},
		"header without end":      {"GET / HTTP/1.1\r\n" + lines(4*limit), pshead.TooLarge},
		"line without end":        {"GET / HTTP/1.1\r\na: " + strings.Repeat("x", 2*limit), pshead.TooLarge},
		"no protocol":             {"GET /\r\n\r\n", pshead.Malformed},
		"no name":                 {"GET / HTTP/1.1\r\nHost: a\r\n: x\r\n\r\n", pshead.Malformed},
		"space in a name":         {"GET / HTTP/1.1\r\nHost: a\r\na b: x\r\n\r\n", pshead.Malformed},
		"space before the colon":  {"GET / HTTP/1.1\r\nHost: a\r\na : x\r\n\r\n", pshead.Malformed},
		"control character":       {"GET / HTTP/1.1\r\nHost: a\r\na: \x01\r\n\r\n", pshead.Malformed},
		"no host":                 {"GET / HTTP/1.1\r\n\r\n", pshead.Malformed},
		"two hosts":               {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", pshead.Malformed},
		"odd host":                {"GET / HTTP/1.1\r\nHost: a b\r\n\r\n", pshead.Malformed},
		"other protocol":          {"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", pshead.Malformed},
		"no colon":                {"GET / HTTP/1.1\r\nHost: a\r\nabc\r\n\r\n", pshead.Malformed},
		"space before first name": {"GET / HTTP/1.1\r\n a: x\r\n\r\n", pshead.Malformed},
		"lengths that differ":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", pshead.Malformed},
		"negative length":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", pshead.Malformed},
		"unknown encoding":        {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: x\r\n\r\n", pshead.Malformed},
		"length and chunks":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", pshead.Malformed},
		"chunks and length":       {"POST / HTTP/1.1\r\nHost: a\r\ntransfer-encoding:chunked\r\ncontent-length:1\r\n\r\n", pshead.Malformed},
		"chunks of HTTP/1.0":      {"POST / HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n", pshead.Malformed},
		"other encoding of 1.0":   {"POST / HTTP/1.0\r\nContent-Length: 1\r\nTransfer-Encoding: x\r\n\r\n", pshead.Malformed},
		"folded encoding":         {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding:\r\n chunked\r\nContent-Length: 1\r\n\r\n", pshead.Malformed},
		"two encodings":           {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", pshead.Malformed},
		"encodings in a list":     {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", pshead.Malformed},
		"encoding and a space":    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n", pshead.Malformed},
		"encoding in parentheses": {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: \vchunked\r\n\r\n", pshead.Malformed},
		"length with a sign":      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\n", pshead.Malformed},
		"length that overflows":   {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 18446744073709551617\r\n\r\n", pshead.Malformed},
		"lengths in a list":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\n", pshead.Malformed},
		"empty length":            {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\n", pshead.Malformed},
		"bare CR in a value":      {"POST / HTTP/1.1\r\nHost: a\r\na: b\rContent-Length: 1\r\n\r\n", pshead.Malformed},
		"bare CR before the end":  {"POST / HTTP/1.1\r\nHost: a\r\na: b\r\r\n\r\n", pshead.Malformed},
		"bare CR in first line":   {"GET /\ra HTTP/1.1\r\nHost: a\r\n\r\n", pshead.Malformed},
		"bare CR as line":         {"GET / HTTP/1.1\r\nHost: a\r\n\r\r\n\r\n", pshead.Malformed},
		"NUL in a value":          {"GET / HTTP/1.1\r\nHost: a\r\na: \x00\r\n\r\n", pshead.Malformed},
		"spaces in first line":    {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", pshead.Malformed},
		"space in the path":       {"GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", pshead.Malformed},
		"tunnel":                  {"CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", pshead.Malformed},
		"tunnel with a path":      {"CONNECT /orders/1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n", pshead.Malformed},
		"binary":                  {"\x16\x03\x01\x02\x00\x01\x00\n\n\n", pshead.Malformed},
	} {
		budget := psbudget.New(4<<20, time.Now)
		for _, r := range []io.Reader{strings.NewReader(v.text), iotest.OneByteReader(strings.NewReader(v.text))} {
			a, closeAccount := budget.Open(func() {})
			_, cost, err := pshead.NewSource(r, a).ReadRequest(limit)
			var head *pshead.Error
			qt.Assert(t, errors.As(err, &head), qt.IsTrue, qt.Commentf("%s: %v", name, err))
			qt.Check(t, head.Kind, qt.Equals, v.want, qt.Commentf("%s: %v", name, err))
			qt.Check(t, cost, qt.Equals, int64(0))
			closeAccount()
		}
		qt.Check(t, budget.Usage().Used, qt.Equals, int64(0))
	}
}

// TestHeadsWithinTheLimitAreRead covers heads of nearly the limit, of other line ends and after empty lines, each followed by
// a body and the next request, which must stay in the buffer.
func TestHeadsWithinTheLimitAreRead(t *testing.T) {
	for _, head := range []string{
		"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
		"\r\n\r\nPOST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
		"POST /1 HTTP/1.1\nHost: a\nContent-Length: 3\n\n",
		"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n" + lines(limit-100) + "\r\n",
		"POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\na: " + strings.Repeat("x", limit-100) + "\r\n\r\n",
		"POST /1?" + strings.Repeat("x", limit-100) + " HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n",
		"POST /1 HTTP/1.1\r\nHost: a\r\na: b\r\n c\r\n\td\r\nContent-Length: 3\r\n\r\n",
	} {
		budget := psbudget.New(4<<20, time.Now)
		a, closeAccount := budget.Open(func() {})
		text := head + "abcGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
		s := pshead.NewSource(iotest.HalfReader(strings.NewReader(text)), a)
		r, cost, err := s.ReadRequest(limit)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, cost > int64(len(head)), qt.IsTrue)
		body, err := io.ReadAll(r.Body)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, string(body), qt.Equals, "abc")
		a.Return(cost)
		r, cost, err = s.ReadRequest(limit)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, r.URL.Path, qt.Equals, "/2")
		a.Return(cost)
		qt.Check(t, budget.Usage().Used, qt.Equals, int64(0), qt.Commentf("the buffer shrinks"))
		closeAccount()
	}
}

// TestHeadIsRefusedWithoutMemory covers a legal head of very many lines when the budget has no room for its parsed form.
func TestHeadIsRefusedWithoutMemory(t *testing.T) {
	budget := psbudget.New(256<<10, time.Now)
	a, closeAccount := budget.Open(func() {})
	defer closeAccount()
	_, _, err := pshead.NewSource(strings.NewReader("GET / HTTP/1.1\r\n"+lines(limit)+"\r\n"), a).ReadRequest(limit)
	var head *pshead.Error
	qt.Assert(t, errors.As(err, &head), qt.IsTrue)
	qt.Check(t, head.Kind.Status(), qt.Equals, http.StatusServiceUnavailable)
}

// TestResponseIsRead covers the use for responses of servers.
func TestResponseIsRead(t *testing.T) {
	s := pshead.NewSource(strings.NewReader("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), nil)
	r, _, err := s.ReadResponse(limit, nil)
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close() //nolint:errcheck // the body was read
	body, err := io.ReadAll(r.Body)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(body), qt.Equals, "ok")
}
