package pspeer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"persimmonstep/internal/connection/psdecode"
	"persimmonstep/internal/process/psmessage"
)

const (
	// maxDigestReports is the maximum number of reports in one datagram.
	maxDigestReports = 64
	// maxDigestBytes bounds a decompressed digest, and maxDecodedBytes what a message takes when decoded.
	maxDigestBytes  = 1 << 20
	maxDecodedBytes = 32 << 20
)

// compressedDigest is the encoding of a digest in messages: gzip-compressed JSON. The reports of one failure domain
// resemble each other and compress well, which matters because a VM with little bandwidth relays a digest to all VMs of
// its failure domain at once.
type compressedDigest struct {
	Digest []byte `json:"digest"`
}

// digestCodec encodes and decodes digests. It reuses the state of the compression, which is large.
type digestCodec struct {
	mutex  sync.Mutex
	writer *gzip.Writer
	reader *gzip.Reader
}

// Digest sends a digest to each of the VMs, in several messages if it has many reports.
func (e *Endpoint) Digest(d *psmessage.Digest, to []psmessage.Identity) error {
	var failed error
	for begin := 0; begin < len(d.Reports); begin += maxDigestReports {
		part := *d
		part.Reports = d.Reports[begin:min(len(d.Reports), begin+maxDigestReports)]
		p, err := e.codec.encode(&part)
		if err != nil {
			return err
		}
		if err := e.notify(methodDigest, p, to); err != nil {
			failed = err
		}
	}
	return failed
}

func (c *digestCodec) encode(d *psmessage.Digest) (compressedDigest, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var b bytes.Buffer
	if c.writer == nil {
		c.writer = gzip.NewWriter(&b)
	}
	c.writer.Reset(&b)
	if err := json.NewEncoder(c.writer).Encode(d); err != nil {
		return compressedDigest{}, errors.Wrap(err, "encode digest")
	}
	if err := c.writer.Close(); err != nil {
		return compressedDigest{}, errors.Wrap(err, "compress digest")
	}
	return compressedDigest{b.Bytes()}, nil
}

func (c *digestCodec) decode(v compressedDigest) (*psmessage.Digest, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.reader == nil {
		c.reader = &gzip.Reader{}
	}
	if err := c.reader.Reset(bytes.NewReader(v.Digest)); err != nil {
		return nil, errors.Wrap(err, "decompress digest")
	}
	d := &psmessage.Digest{}
	data, err := psdecode.ReadAll(c.reader, maxDigestBytes)
	if err != nil {
		return nil, errors.Wrap(err, "decompress digest")
	}
	if err := psdecode.JSON(data, maxDecodedBytes, d); err != nil {
		return nil, errors.Wrap(err, "decode digest")
	}
	return d, nil
}

func (e *Endpoint) handleDigest(h Handler, params []byte) error {
	var p compressedDigest
	if err := json.Unmarshal(params, &p); err != nil {
		return errors.Wrap(err, "decode digest")
	}
	d, err := e.codec.decode(p)
	if err != nil {
		return err
	}
	invalid, err := d.DropInvalid()
	if err != nil {
		return err
	}
	h.HandleDigest(d)
	return invalid
}
