package psattempt

import "persimmonstep/internal/connection/psresponse"

// Result is how an attempt ended. It is a metric label and appears in logs.
type Result string

// Results of attempts.
const (
	Answered    Result = "answered"
	Unreachable Result = "unreachable"
	// Unsent attempts ended before anything was sent, because the time ran out or the server became unusable
	// meanwhile. They do not count as failures of the server.
	Unsent      Result = "unsent"
	Shed        Result = "shed"
	Misdirected Result = "moved"
	Lost        Result = "lost"
	Unsigned    Result = "spoilt"
	ServerError Result = "error"
	Timeout     Result = "timeout"
	Canceled    Result = "left"
	// TooLarge attempts were aborted because the caller's body exceeds the limit.
	TooLarge Result = "bodyTooLarge"
)

// MayHaveExecuted reports whether the server may have executed the request.
func (r Result) MayHaveExecuted() bool {
	return r != Unreachable && r != Unsent && r != Shed && r != Misdirected
}

// resultOf returns the result of an attempt with a complete response.
func resultOf(c psresponse.Class) Result {
	switch c {
	case psresponse.Misdirected:
		return Misdirected
	case psresponse.Shed:
		return Shed
	case psresponse.Unsigned:
		return Unsigned
	case psresponse.ServerError:
		return ServerError
	}
	return Answered
}
