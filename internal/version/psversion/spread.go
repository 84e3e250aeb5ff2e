package psversion

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"persimmonstep/internal/connection/pspeer"
	"persimmonstep/internal/process/pswait"
	"persimmonstep/internal/version/psdoc"
)

const (
	methodContent = "version.content"
	// keptContents is the number of versions from which a delta can be made.
	keptContents = 8
	// contentWait bounds the wait of an asking VM for a version that is just arriving.
	contentWait = 250 * time.Millisecond
	contentPoll = 5 * time.Millisecond
)

// Peers calls other VMs.
type Peers interface {
	Call(ctx context.Context, to pspeer.Peer, method string, params, result any) error
	Handle(method string, f pspeer.Handler)
}

// contentRequest asks a VM for a version.
type contentRequest struct {
	// Have is the version that the asking VM has.
	Have uint64 `json:"have"`
	// Want is the least version that it asks for.
	Want uint64 `json:"want"`
}

// Delta turns one content into a later one. It is a snapshot if its base is 0.
type Delta struct {
	Base    uint64                `json:"base"`
	Version uint64                `json:"version"`
	Put     map[psdoc.Name]string `json:"put,omitempty"`
	Remove  []psdoc.Name          `json:"remove,omitempty"`
	// Digest is that of the outcome.
	Digest uint64 `json:"digest"`
}

// NewDelta returns what turns the old content into the new one.
func NewDelta(old, next *Content) Delta {
	d := Delta{Base: old.Version, Version: next.Version, Put: make(map[psdoc.Name]string), Digest: next.digest()}
	for n, text := range next.Documents {
		if before, found := old.Documents[n]; !found || before != text {
			d.Put[n] = text
		}
	}
	for n := range old.Documents {
		if _, found := next.Documents[n]; !found {
			d.Remove = append(d.Remove, n)
		}
	}
	slices.Sort(d.Remove)
	return d
}

// Apply returns the later content. The base must be the delta's.
func (d Delta) Apply(base *Content) (*Content, error) {
	if base.Version != d.Base && d.Base != 0 {
		return nil, errors.Errorf("a delta from version %d does not fit version %d", d.Base, base.Version)
	}
	out := &Content{Version: d.Version, Documents: make(map[psdoc.Name]string)}
	if d.Base != 0 {
		maps.Copy(out.Documents, base.Documents)
	}
	maps.Copy(out.Documents, d.Put)
	for _, n := range d.Remove {
		delete(out.Documents, n)
	}
	if out.digest() != d.Digest {
		return nil, errors.Errorf("the delta from version %d to %d does not give its digest", d.Base, d.Version)
	}
	return out, nil
}

// digest is the same for equal contents.
func (c *Content) digest() uint64 {
	h := xxhash.New()
	write := func(text string) {
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(text))))
		_, _ = h.WriteString(text)
	}
	_, _ = h.Write(binary.AppendUvarint(nil, c.Version))
	for _, n := range slices.Sorted(maps.Keys(c.Documents)) {
		write(string(n))
		write(c.Documents[n])
	}
	return h.Sum64()
}

// shelf keeps the last contents, the newest last.
type shelf struct {
	mutex    sync.Mutex
	contents []*Content
}

func (s *shelf) add(c *Content) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.contents = append(s.contents, c)
	if len(s.contents) > keptContents {
		s.contents = slices.Delete(s.contents, 0, 1)
	}
}

func (s *shelf) latest() *Content {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.contents) == 0 {
		return &Content{}
	}
	return s.contents[len(s.contents)-1]
}

// delta returns what a VM with the given version needs for the latest.
func (s *shelf) delta(have uint64) Delta {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.contents) == 0 {
		return Delta{}
	}
	base := &Content{}
	if i := slices.IndexFunc(s.contents, func(c *Content) bool { return c.Version == have }); i >= 0 {
		base = s.contents[i]
	}
	return NewDelta(base, s.contents[len(s.contents)-1])
}

// answerContent gives the latest content to another VM, and waits for a short time for one
// that is just arriving.
func (f *Follower) answerContent(ctx context.Context, _ psdoc.Name, params json.RawMessage) (any, error) {
	var in contentRequest
	if err := json.Unmarshal(params, &in); err != nil {
		return nil, errors.Wrap(err, "decode a question for content")
	}
	ctx, cancel := context.WithTimeout(ctx, contentWait)
	defer cancel()
	for f.shelf.latest().Version < in.Want {
		if !pswait.Sleep(ctx, contentPoll) {
			return nil, errors.Errorf("version %d is not here", in.Want)
		}
	}
	return f.shelf.delta(in.Have), nil
}

// fetch takes over the content of another VM.
func (f *Follower) fetch(ctx context.Context, h hint) error {
	v, found := f.Plan().VM(h.from)
	if !found || f.peers == nil {
		return errors.Errorf("VM %q is not known", h.from)
	}
	peer := pspeer.Peer{Name: v.Name, Address: v.Peer}
	base := f.shelf.latest()
	for _, have := range []uint64{base.Version, 0} {
		var d Delta
		if err := f.peers.Call(ctx, peer, methodContent, contentRequest{Have: have, Want: h.version}, &d); err != nil {
			return err
		}
		c, err := d.Apply(base)
		if err != nil {
			continue
		}
		if c.Version < h.version {
			return errors.Errorf("VM %s has version %d only", h.from, c.Version)
		}
		f.install(c, h.from)
		return nil
	}
	return errors.Errorf("VM %s gave no content that fits", h.from)
}

// section is what a heartbeat says about versions.
type section struct {
	Version uint64 `json:"v"`
}

// Name identifies the heartbeat section.
func (f *Follower) Name() string { return "version" }

// Produce returns the version in force.
func (f *Follower) Produce() json.RawMessage {
	data, err := json.Marshal(section{Version: f.Plan().Version})
	if err != nil {
		panic("psversion: " + err.Error())
	}
	return data
}

// Consume learns of a larger version; a smaller one means nothing.
func (f *Follower) Consume(from psdoc.Name, data json.RawMessage) {
	var in section
	if json.Unmarshal(data, &in) != nil || in.Version <= f.Plan().Version {
		return
	}
	f.LearnFrom(in.Version, from)
}
