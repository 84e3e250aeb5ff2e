package pscli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/user"
	"strings"
	"time"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psadmin"
	"persimmonstep/internal/request/pskey"
)

const (
	// operatorTimeout bounds one call to a VM's administration API.
	operatorTimeout = 15 * time.Second
	// operatorDialTimeout bounds the dial, so that a dead VM costs little time.
	operatorDialTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of one answer.
	maxAnswerBytes = 64 << 20
)

// target names the VMs that a command may ask.
type target struct {
	VM        []string `name:"vm" required:"" help:"A VM's operator address; may be repeated: the next one is asked when one does not answer."`
	TokenFile string   `required:"" type:"existingfile" help:"The file with the operators' token."`
	JSON      bool     `help:"Print the answer as JSON."`
}

// change is a target of a command that changes something.
type change struct {
	target
	Operation string `help:"The operation's id; a repeat under the same id changes nothing more."`
}

// operation identifies the change.
func (c *change) operation() psadmin.Operation {
	if c.Operation == "" {
		c.Operation = pskey.New().Secret
	}
	return psadmin.Operation{OperationID: c.Operation, Author: author()}
}

// author names the operator.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}

// client calls the administration API of VMs.
type client struct {
	addresses []netip.AddrPort
	token     string
	http      *http.Client
}

func (t target) client() (*client, error) {
	token, err := os.ReadFile(t.TokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the operators' token")
	}
	c := &client{token: strings.TrimSpace(string(token)), http: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: operatorDialTimeout}).DialContext,
	}}}
	for _, v := range t.VM {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return nil, errors.Errorf("%q is not an operator address such as 10.0.0.1:7000", v)
		}
		c.addresses = append(c.addresses, a)
	}
	return c, nil
}

// call is one call to the administration API.
type call struct {
	method, path string
	// in is the body; nil sends none.
	in any
}

// answerError says that a VM answered with a refusal.
type answerError struct {
	status int
	text   string
}

// Error gives the VM's explanation.
func (e *answerError) Error() string {
	return e.text
}

// final reports whether another VM would refuse as well.
func (e *answerError) final() bool {
	return e.status < http.StatusInternalServerError && e.status != http.StatusTooManyRequests
}

// ask tries one VM after the other until one answers for good. It reports true if a VM that
// gave no answer may have carried out the call.
func (c *client) ask(ctx context.Context, k call, out any) (bool, error) {
	var last error
	unclear := false
	for _, a := range c.addresses {
		err := c.askOne(ctx, a, k, out)
		if err == nil {
			return false, nil
		}
		var refused *answerError
		if errors.As(err, &refused) && refused.final() {
			return unclear, err
		}
		unclear = unclear || mayHaveRun(err)
		last = err
	}
	return unclear, last
}

// mayHaveRun reports whether a failed call may have reached its VM.
func mayHaveRun(err error) bool {
	var refused *answerError
	var o *net.OpError
	switch {
	case errors.As(err, &refused):
		return false
	case errors.As(err, &o):
		return o.Op != "dial"
	}
	return true
}

// askOne asks one VM.
func (c *client) askOne(ctx context.Context, a netip.AddrPort, k call, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var body bytes.Buffer
	if k.in != nil {
		if err := json.NewEncoder(&body).Encode(k.in); err != nil {
			return errors.Wrap(err, "encode the call")
		}
	}
	r, err := http.NewRequestWithContext(ctx, k.method, "http://"+a.String()+k.path, &body)
	if err != nil {
		return errors.Wrap(err, "make the call")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set("Content-Type", "application/json")
	answer, err := c.http.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask a VM")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read a VM's answer")
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return &answerError{status: answer.StatusCode, text: "VM " + a.String() + " answered " + answer.Status + ": " + problemDetail(text)}
	}
	return errors.Wrap(json.Unmarshal(text, out), "decode a VM's answer")
}

// problemDetail takes the explanation out of a problem answer.
func problemDetail(text []byte) string {
	var p struct {
		Detail string `json:"detail"`
		Errors []struct {
			Message  string `json:"message"`
			Location string `json:"location"`
		} `json:"errors"`
	}
	if json.Unmarshal(text, &p) != nil || p.Detail == "" {
		return strings.TrimSpace(string(text))
	}
	out := p.Detail
	for _, e := range p.Errors {
		out += "; " + strings.TrimSpace(e.Location+" "+e.Message)
	}
	return out
}

// listing asks for something and prints it as JSON or as text.
func listing[T any](ctx context.Context, s streams, t target, k call, text func(T)) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	var out T
	if _, err := c.ask(ctx, k, &out); err != nil {
		return err
	}
	if t.JSON {
		printJSON(s.out, out)
		return nil
	}
	text(out)
	return nil
}
