package psadmin

import (
	"crypto/subtle"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// tokenInterval is the least time between two reads of the token file.
const tokenInterval = time.Second

// Token is the operators' bearer token, kept in a file that may be replaced while the VM runs.
type Token struct {
	path string
	now  func() time.Time

	mutex sync.Mutex
	value string
	read  time.Time
}

// NewToken reads the token file.
func NewToken(path string, now func() time.Time) (*Token, error) {
	t := &Token{path: path, now: now}
	if err := t.load(); err != nil {
		return nil, err
	}
	return t, nil
}

// load reads the file. A file that is missing or empty leaves the token as it was.
func (t *Token) load() error {
	t.read = t.now()
	data, err := os.ReadFile(t.path)
	if err != nil {
		return errors.Wrap(err, "read the operators' token")
	}
	value := strings.TrimSpace(string(data))
	if value == "" {
		return errors.Errorf("the operators' token file %s is empty", t.path)
	}
	t.value = value
	return nil
}

// Matches compares a caller's token in constant time.
func (t *Token) Matches(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(t.current())) == 1
}

func (t *Token) current() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.now().Sub(t.read) >= tokenInterval {
		_ = t.load()
	}
	return t.value
}
