package feed

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
	"github.com/marbleroad/marbleroad/internal/catalog"
)

// maxDocumentBytes bounds an unpacked document. The platform's objects have up to 1 MiB.
const maxDocumentBytes = 2 << 20

// packer caches the newest catalog's document in compressed form, so that it is compressed once for
// all followers: a leader may have a fifth of a core and 20 Mbit/s.
type packer struct {
	mu      sync.Mutex
	version uint64
	packed  []byte
}

// pack returns the compressed document of a catalog.
func (p *packer) pack(c *catalog.Catalog) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.packed != nil && p.version == c.Version() {
		return p.packed, nil
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(c.Document()); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack configuration")
	}
	p.version, p.packed = c.Version(), out.Bytes()
	return p.packed, nil
}

// unpackDocument decompresses a document. One of more than maxDocumentBytes fails with bodylimit.ErrTooLong.
func unpackDocument(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	document, err := io.ReadAll(bodylimit.Reader(r, maxDocumentBytes))
	if err != nil {
		return nil, errors.Wrap(err, "unpack configuration")
	}
	return document, nil
}
