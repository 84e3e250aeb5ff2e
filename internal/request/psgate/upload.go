package psgate

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/request/psproblem"
)

var (
	errCallerStalled  = errors.New("the caller sent nothing for too long")
	errBackendStalled = errors.New("the backend server took or sent nothing for too long")
	errUploadFinished = errors.New("the upload's exchange is over")
)

// upload is the body of an upload route's request. It is streamed while the answer is
// streamed the other way, and both are bounded by progress instead of a total time.
type upload struct {
	inner  io.ReadCloser
	span   time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc

	mutex    sync.Mutex
	idle     sync.Cond
	reading  bool
	finished bool
	// read says that reading has begun once.
	read bool
	// ended says that the whole body was read.
	ended bool
	// failure is what ended the body before its end.
	failure error
}

func newUpload(body io.ReadCloser, span time.Duration, cancel context.CancelCauseFunc) *upload {
	u := &upload{inner: body, span: span, cancel: cancel}
	u.idle.L = &u.mutex
	u.timer = time.AfterFunc(span, u.stall)
	return u
}

// runUpload streams a request and its answer.
func (x *exchange) runUpload() error {
	ctx, cancel := context.WithCancelCause(x.request.Context())
	defer cancel(nil)
	u := newUpload(x.request.Body, x.route.Deadline, cancel)
	defer x.endUpload(u)
	x.request.Body = u
	// Answers may begin before the upload ends; HTTP/2 needs no permission for that.
	_ = x.controller.EnableFullDuplex()
	for {
		a, err := x.send(ctx)
		if err != nil {
			return u.explain(ctx, err)
		}
		again, err := x.relayUpload(ctx, a, u)
		a.close()
		if !again {
			return u.explain(ctx, err)
		}
	}
}

// relayUpload copies an answer to the caller. One that begins before the upload's end is
// streamed from its first byte, because the caller may wait for it before sending more.
func (x *exchange) relayUpload(ctx context.Context, a *attempt, u *upload) (bool, error) {
	a.response.Body = progressReader{a.response.Body, u}
	if x.request.ContentLength == 0 || u.isEnded() {
		return x.relay(ctx, a)
	}
	x.closeAfter()
	x.writeHeader(a.response)
	_ = x.controller.Flush()
	x.copyRest(a.response.Body)
	x.writeTrailer(a.response)
	return false, nil
}

// endUpload ends the reading of the body. A connection on which some of it is left is not
// used again.
func (x *exchange) endUpload(u *upload) {
	u.finish(x.controller)
	if !u.isEnded() {
		x.closeAfter()
	}
}

// closeAfter closes the caller's HTTP/1 connection after the answer, unless its header has
// been written. The HTTP server would otherwise read the rest of a full-duplex body after the
// handler and then panic, because it starts its background read too late to stop it.
func (x *exchange) closeAfter() {
	if x.request.ProtoMajor == 1 {
		x.writer.Header().Set("Connection", "close")
	}
}

// stall ends the exchange and names the side that was waited for.
func (u *upload) stall() {
	u.mutex.Lock()
	reading := u.reading
	u.mutex.Unlock()
	if reading {
		u.cancel(errCallerStalled)
		return
	}
	u.cancel(errBackendStalled)
}

// touch notes progress.
func (u *upload) touch() {
	u.timer.Reset(u.span)
}

// Read reads from the caller.
func (u *upload) Read(b []byte) (int, error) {
	if !u.setReading(true) {
		return 0, errUploadFinished
	}
	n, err := u.inner.Read(b)
	u.setReading(false)
	if n > 0 {
		u.touch()
	}
	if err != nil {
		u.setEnd(err)
	}
	return n, err
}

// setEnd notes how the body ended.
func (u *upload) setEnd(err error) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if errors.Is(err, io.EOF) {
		u.ended = true
		return
	}
	u.failure = err
}

// isEnded reports whether the whole body was read.
func (u *upload) isEnded() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.ended
}

// wasRead reports whether any of the body may have been read.
func (u *upload) wasRead() bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.read
}

// setReading reports false if no reading may begin.
func (u *upload) setReading(reading bool) bool {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if reading && u.finished {
		return false
	}
	u.reading = reading
	u.read = true
	u.idle.Broadcast()
	return true
}

// Close leaves the body open: the HTTP server closes it.
func (u *upload) Close() error {
	return nil
}

// finish waits until nothing reads the body, which must not be read when the handler has
// returned. A caller that sends nothing is cut off from sending.
func (u *upload) finish(c *http.ResponseController) {
	u.timer.Stop()
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.finished = true
	if u.reading {
		_ = c.SetReadDeadline(time.Now())
	}
	for u.reading {
		u.idle.Wait()
	}
}

// explain names the side that made an upload fail. Whether it ran stays as it was found.
func (u *upload) explain(ctx context.Context, err error) error {
	var p *psproblem.Problem
	if !errors.As(err, &p) {
		return err
	}
	u.mutex.Lock()
	failure := u.failure
	u.mutex.Unlock()
	var large *http.MaxBytesError
	var out *psproblem.Problem
	switch cause := context.Cause(ctx); {
	case errors.As(failure, &large):
		out = tooLarge()
	case errors.Is(cause, errCallerStalled):
		out = psproblem.New(http.StatusRequestTimeout, "uploadStalled", cause.Error())
	case errors.Is(cause, errBackendStalled):
		out = psproblem.New(http.StatusGatewayTimeout, "timeout", cause.Error())
	case failure != nil:
		out = psproblem.New(http.StatusBadRequest, "badBody", "the body could not be read to its end")
	default:
		return err
	}
	out.Ran = p.Ran
	return out
}

// progressReader notes the progress of an answer.
type progressReader struct {
	io.ReadCloser
	upload *upload
}

// Read reads a part of the answer.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b)
	if n > 0 {
		r.upload.touch()
	}
	return n, err
}
