package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
)

// Fingerprint identifies what a caller requests. The same path and body of the same team are the same
// request, whatever ID an attempt of it carries and whichever node receives it.
type Fingerprint uint64

// Request holds the parts of a request that make up its fingerprint.
type Request struct {
	Team   string
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	Body   []byte
}

// Fingerprint returns a cryptographic hash, so that a team cannot craft a request that is counted as
// another team's. 64 bits are enough for the thousands of requests that are known at a time.
func (a Request) Fingerprint() Fingerprint {
	h := sha256.New()
	for _, field := range [...]string{a.Team, a.Method, a.Host, a.Target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(a.Body)
	return Fingerprint(binary.BigEndian.Uint64(h.Sum(nil)))
}

// ParseFingerprint parses a fingerprint in the form that logs show.
func ParseFingerprint(text string) (Fingerprint, error) {
	f, err := strconv.ParseUint(text, 16, 64)
	if err != nil || len(text) != fingerprintDigits {
		return 0, errors.Newf("%q is no fingerprint: it has %d hexadecimal digits", text, fingerprintDigits)
	}
	return Fingerprint(f), nil
}

// fingerprintDigits is the length of a fingerprint in logs.
const fingerprintDigits = 16

// String returns the fingerprint as logs show it.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }
