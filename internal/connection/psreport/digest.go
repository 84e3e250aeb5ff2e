package psreport

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"persimmonstep/internal/process/psfleet"
)

const (
	// maxDigestReports is the number of reports that one datagram carries.
	maxDigestReports = 64
	// maxDigestBytes bounds an unpacked digest.
	maxDigestBytes = 1 << 20
)

// packed is a digest on its way, as compressed JSON. Reports of one failure domain are much alike,
// and a VM with a small link passes a digest on to all its neighbours at once.
type packed struct {
	Digest []byte `json:"digest"`
}

// packer packs and unpacks digests. What compression needs is kept, because it is large.
type packer struct {
	mutex  sync.Mutex
	writer *gzip.Writer
	reader *gzip.Reader
}

// Digest sends a digest to each of the VMs.
func (l *Link) Digest(d *psfleet.Digest, to []psfleet.Identity) error {
	var failed error
	for begin := 0; begin < len(d.Reports); begin += maxDigestReports {
		part := *d
		part.Reports = d.Reports[begin:min(len(d.Reports), begin+maxDigestReports)]
		p, err := l.packer.pack(&part)
		if err != nil {
			return err
		}
		if err := l.notify(methodDigest, p, to); err != nil {
			failed = err
		}
	}
	return failed
}

func (p *packer) pack(d *psfleet.Digest) (packed, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var b bytes.Buffer
	if p.writer == nil {
		p.writer = gzip.NewWriter(&b)
	}
	p.writer.Reset(&b)
	if err := json.NewEncoder(p.writer).Encode(d); err != nil {
		return packed{}, errors.Wrap(err, "encode a digest")
	}
	if err := p.writer.Close(); err != nil {
		return packed{}, errors.Wrap(err, "compress a digest")
	}
	return packed{b.Bytes()}, nil
}

func (p *packer) unpack(v packed) (*psfleet.Digest, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.reader == nil {
		p.reader = &gzip.Reader{}
	}
	if err := p.reader.Reset(bytes.NewReader(v.Digest)); err != nil {
		return nil, errors.Wrap(err, "unpack a digest")
	}
	d := &psfleet.Digest{}
	if err := json.NewDecoder(io.LimitReader(p.reader, maxDigestBytes)).Decode(d); err != nil {
		return nil, errors.Wrap(err, "decode a digest")
	}
	return d, d.Check()
}

func (l *Link) takeDigest(h Handler, params []byte) error {
	var p packed
	if err := json.Unmarshal(params, &p); err != nil {
		return errors.Wrap(err, "decode a digest")
	}
	d, err := l.packer.unpack(p)
	if err != nil {
		return err
	}
	h.Digested(d)
	return nil
}
