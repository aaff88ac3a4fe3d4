package feed

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/bodylimit"
)

// packed compresses a document of the given number of bytes.
func packed(t *testing.T, bytesOfDocument int) []byte {
	t.Helper()
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write([]byte(strings.Repeat(" ", bytesOfDocument))); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}

// A document that expands without end was cut at 8 MiB, and the error was that of its decoding.
func TestExpandingDocumentFails(t *testing.T) {
	bomb := packed(t, 64<<20)
	if document, err := unpackDocument(bomb); !errors.Is(err, bodylimit.ErrTooLong) || document != nil {
		t.Errorf("%d bytes packed, %d unpacked, error %v", len(bomb), len(document), err)
	}
	// The platform's objects have up to 1 MiB.
	if document, err := unpackDocument(packed(t, 1<<20)); err != nil || len(document) != 1<<20 {
		t.Errorf("%d bytes unpacked, error %v", len(document), err)
	}
}
