package pscli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// operatorTimeout bounds one call to a VM's administration API.
	operatorTimeout = 15 * time.Second
	// maxAnswerBytes bounds the body of one answer.
	maxAnswerBytes = 64 << 20
)

// target names the VMs that a command may ask.
type target struct {
	VM        []string `name:"vm" required:"" help:"A VM's operator address; may be repeated."`
	TokenFile string   `required:"" type:"existingfile" help:"The file with the operators' token."`
}

// client calls the administration API of the first VM that can be reached.
type client struct {
	addresses []netip.AddrPort
	token     string
}

func (t target) client() (*client, error) {
	token, err := os.ReadFile(t.TokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "read the operators' token")
	}
	c := &client{token: strings.TrimSpace(string(token))}
	for _, v := range t.VM {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return nil, errors.Errorf("%q is not an operator address such as 10.0.0.1:7000", v)
		}
		c.addresses = append(c.addresses, a)
	}
	return c, nil
}

// call tries one VM after the other until one answers.
func (c *client) call(ctx context.Context, method, path string, in, out any) error {
	var last error
	for _, a := range c.addresses {
		answered, err := c.callOne(ctx, a, method, path, in, out)
		if answered || err == nil {
			return err
		}
		last = err
	}
	return last
}

// callOne asks one VM and reports whether it answered.
func (c *client) callOne(ctx context.Context, a netip.AddrPort, method, path string, in, out any) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return false, errors.Wrap(err, "encode the call")
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, &body)
	if err != nil {
		return false, errors.Wrap(err, "make the call")
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	r.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return false, errors.Wrap(err, "ask a VM")
	}
	defer answer.Body.Close() //nolint:errcheck // the body was read
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return false, errors.Wrap(err, "read a VM's answer")
	}
	if answer.StatusCode >= http.StatusBadRequest {
		return true, errors.Errorf("VM %s answered %s: %s", a, answer.Status, problemDetail(text))
	}
	return true, errors.Wrap(json.Unmarshal(text, out), "decode a VM's answer")
}

// problemDetail takes the explanation out of a problem answer.
func problemDetail(text []byte) string {
	var p struct {
		Detail string `json:"detail"`
	}
	if json.Unmarshal(text, &p) == nil && p.Detail != "" {
		return p.Detail
	}
	return strings.TrimSpace(string(text))
}
