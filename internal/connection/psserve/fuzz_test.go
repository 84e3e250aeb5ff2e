package psserve_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"persimmonstep/internal/version/psconfig"
)

// Each step of a script is one byte: the kind of the step and a length.
const (
	stepGet = iota
	stepOnce
	stepBody
	stepChunked
	stepClose
	stepEmptyLine
	stepPause
	stepRaw
	stepExpect
	stepEarly
	stepAbort
	stepOld
	stepKinds
)

// scripted is what a caller sends.
type scripted struct {
	// play is sent with each request.
	play string
	// text is sent in pieces that end at cuts. The caller disconnects after the last one, or waits for all responses.
	text       []byte
	cuts       []int
	disconnect bool
	// want are the responses to the requests, in their order. Those from exact on may also be missing: the text is
	// invalid there, or a response closes the connection.
	want  []string
	exact int
	// closes is the number of the first request whose response closes the connection, if the text is valid up to there;
	// -1 without one.
	closes int
	// halfClose lets the caller end its side of the connection after the last byte.
	halfClose bool
}

// plays numbers the scripts that were played. An address of a caller doesn't identify one: the system assigns it again, and a
// request of a caller that has disconnected may run later.
var plays atomic.Int64

// script turns the input of a fuzz test into what a caller sends.
func script(input []byte) scripted {
	s := scripted{exact: -1, closes: -1, play: strconv.FormatInt(plays.Add(1), 10)}
	var b bytes.Buffer
	for i, v := range input {
		kind, n := int(v)%stepKinds, int(v)/stepKinds
		id, body := len(s.want), strings.Repeat(string(rune('a'+i%26)), n*n)
		head := func(method, path, rest string) {
			fmt.Fprintf(&b, "%s %s%d HTTP/1.1\r\nHost: a\r\nPlay: %s\r\n%s\r\n", method, path, id, s.play, rest)
		}
		switch kind {
		case stepGet:
			head("GET", "/safe/", strings.Repeat("a:\r\n", n))
			s.want = append(s.want, fmt.Sprintf("%d:", id))
		case stepOnce:
			head("GET", "/once/", "")
			s.want = append(s.want, fmt.Sprintf("%d:", id))
		case stepBody:
			head("POST", "/once/", fmt.Sprintf("Content-Length: %d\r\n", len(body)))
			b.WriteString(body)
			s.want = append(s.want, fmt.Sprintf("%d:%s", id, body))
		case stepChunked:
			head("POST", "/once/", "Transfer-Encoding: chunked\r\n")
			for _, c := range body {
				fmt.Fprintf(&b, "1;%s\r\n%c\r\n", strings.Repeat("x", n%4), c)
			}
			b.WriteString("0\r\n\r\n")
			s.want = append(s.want, fmt.Sprintf("%d:%s", id, body))
		case stepClose:
			head("GET", "/safe/", "Connection: close\r\n")
			s.want = append(s.want, fmt.Sprintf("%d:", id))
			s.endAt(len(s.want), id)
		case stepExpect:
			head("POST", "/once/", fmt.Sprintf("Expect: 100-continue\r\nContent-Length: %d\r\n", len(body)))
			b.WriteString(body)
			s.want = append(s.want, fmt.Sprintf("%d:%s", id, body))
		case stepEarly:
			// The response doesn't wait for the body, which is therefore not read.
			head("POST", "/early/", fmt.Sprintf("Content-Length: %d\r\n", len(body)+1))
			b.WriteString(body + "x")
			s.want = append(s.want, fmt.Sprintf("%d:", id))
			s.endAt(len(s.want), id)
		case stepAbort:
			head("GET", "/abort/", "")
			s.want = append(s.want, "")
			s.endAt(id, id)
		case stepOld:
			fmt.Fprintf(&b, "GET /safe/%d HTTP/1.0\r\nConnection: keep-alive\r\nPlay: %s\r\n\r\n", id, s.play)
			s.want = append(s.want, fmt.Sprintf("%d:", id))
		case stepEmptyLine:
			if bytes.HasSuffix(b.Bytes(), []byte("\r\n")) && n%2 == 0 {
				break
			}
			b.WriteString("\r\n")
		case stepPause:
			s.cuts = append(s.cuts, b.Len()-n)
		case stepRaw:
			if s.exact < 0 {
				s.exact = len(s.want)
			}
			b.WriteByte(v ^ 0x55)
		}
		if b.Len() > 64<<10 {
			break
		}
	}
	s.text = b.Bytes()
	if s.exact < 0 {
		s.exact = len(s.want)
	}
	if len(input) > 0 && input[0]%3 == 0 && len(s.text) > 0 {
		// The caller disconnects at some byte.
		s.text, s.disconnect = s.text[:int(input[len(input)-1])*31%len(s.text)], true
		s.halfClose = input[0]%2 == 0
	}
	return s
}

// endAt records that a request closes the connection, and how many responses come for certain.
func (s *scripted) endAt(exact, request int) {
	if s.exact < 0 {
		s.exact, s.closes = exact, request
	}
}

// play sends a script and checks the responses: each belongs to the next request, has exactly its body, and none is
// missing that must not be. It returns without a connection, whose account must be empty.
func play(t testing.TB, s *served, runs *sync.Map, v scripted) {
	t.Helper()
	c := s.dial(t)
	defer c.Close() //nolint:errcheck // nothing is left to do
	go func() {
		sent := 0
		for _, cut := range append(v.cuts, len(v.text)) {
			if cut = max(sent, min(cut, len(v.text))); cut > sent {
				_, _ = c.Write(v.text[sent:cut])
				time.Sleep(time.Millisecond)
				sent = cut
			}
		}
		switch {
		case v.halfClose:
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		case v.disconnect:
			_ = c.Close()
		}
	}()
	received := 0
	for {
		if received >= v.exact {
			// Nothing else has to come.
			_ = c.SetReadDeadline(time.Now().Add(restTime))
		}
		r, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			break
		}
		body, err := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if err != nil {
			break
		}
		if r.StatusCode == http.StatusContinue {
			continue
		}
		if r.StatusCode != http.StatusOK {
			qt.Assert(t, r.StatusCode/100, qt.Equals, 4)
			qt.Assert(t, r.Close, qt.IsTrue)
			qt.Assert(t, v.disconnect || received >= v.exact, qt.IsTrue, qt.Commentf("%q got %d after %d responses", v.text, r.StatusCode, received))
			c.ends(t)
			break
		}
		if received < len(v.want) {
			if received < v.exact {
				qt.Assert(t, string(body), qt.Equals, v.want[received], qt.Commentf("%q", v.text))
			}
		} else {
			qt.Assert(t, v.exact < len(v.want), qt.IsTrue, qt.Commentf("%q got a response too many: %q", v.text, body))
		}
		received++
	}
	if !v.disconnect {
		qt.Assert(t, received >= v.exact, qt.IsTrue, qt.Commentf("%q got %d responses of %d", v.text, received, v.exact))
	}
	_ = c.Close()
	runs.Range(func(k, n any) bool {
		if strings.HasPrefix(k.(string), v.play+" ") { //nolint:forcetypeassert // all keys are strings
			qt.Assert(t, n, qt.Equals, 1, qt.Commentf("%s ran twice: %q", k, v.text))
			request, _ := strconv.Atoi(k.(string)[strings.LastIndexByte(k.(string), '/')+1:]) //nolint:forcetypeassert // all keys are strings
			repeatable := strings.Contains(k.(string), "/safe/")                              //nolint:forcetypeassert // all keys are strings
			qt.Assert(t, v.closes < 0 || request <= v.closes || repeatable, qt.IsTrue, qt.Commentf("%s ran behind a closing response: %q", k, v.text))
			runs.Delete(k)
		}
		return true
	})
}

// restTime is how long a caller waits for responses that need not come.
const restTime = 50 * time.Millisecond

// startEcho starts a server whose responses contain the number and the body of the request. It counts the runs of each
// request of a play.
func startEcho(t testing.TB) (*served, *sync.Map) {
	runs := &sync.Map{}
	s := start(t, func(w http.ResponseWriter, r *http.Request) {
		var body []byte
		if !strings.HasPrefix(r.URL.Path, "/early/") {
			var err error
			if body, err = io.ReadAll(r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
		path := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
		id, _ := strconv.Atoi(path)
		key := r.Header.Get("Play") + " " + r.URL.Path
		if previous, found := runs.LoadOrStore(key, 1); found {
			runs.Store(key, previous.(int)+1) //nolint:forcetypeassert // all values are numbers
		}
		// Later requests are often faster than earlier ones.
		time.Sleep(time.Duration(id*7%5) * 200 * time.Microsecond)
		if strings.HasPrefix(r.URL.Path, "/abort/") {
			if id%2 == 0 {
				w.Header().Set("Content-Length", "10")
				_, _ = io.WriteString(w, "part")
				_ = http.NewResponseController(w).Flush()
			}
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "%s:%s", path, body)
	}, psconfig.Limits{MaxHeaderBytes: 4096}, 100)
	return s, runs
}

// FuzzConnection sends arbitrary scripts of requests, pipelines, chunks and closes.
func FuzzConnection(f *testing.F) {
	s, runs := startEcho(f)
	f.Add([]byte{0, 0, 1, 0, 10, 19, 0, 4, 0})
	f.Add([]byte{30, 0, 35, 0, 26, 7, 7, 7})
	f.Fuzz(func(t *testing.T, input []byte) {
		play(t, s, runs, script(input[:min(len(input), 64)]))
	})
}

// TestRandomConnections plays seeded scripts, several at a time, and checks at the end that nothing is held.
func TestRandomConnections(t *testing.T) {
	s, runs := startEcho(t)
	var wait sync.WaitGroup
	for worker := range uint64(4) {
		wait.Go(func() {
			for seed := range uint64(100) {
				random := rand.New(rand.NewPCG(seed, worker))
				input := make([]byte, 1+random.IntN(24))
				for i := range input {
					input[i] = byte(random.IntN(256))
					if input[i]%stepKinds == stepRaw && random.IntN(4) > 0 {
						input[i] = stepGet
					}
				}
				play(t, s, runs, script(input))
			}
		})
	}
	wait.Wait()
	eventually(t, "nothing is held", func() bool { u := s.budget.Usage(); return u.Used == 0 && u.Accounts == 0 })
}
