// Package wire converts between the messages of the control protocol and the domain
// types.
package wire

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/presence"
)

// Items converts items to messages.
func Items(in []item.Item) []*marbleroadv1.Item {
	out := make([]*marbleroadv1.Item, len(in))
	for i, it := range in {
		out[i] = &marbleroadv1.Item{Key: it.Key, Version: it.Version, Value: it.Value}
	}
	return out
}

// Item converts one message to an item.
func Item(m *marbleroadv1.Item) item.Item {
	return item.Item{Key: m.GetKey(), Version: m.GetVersion(), Value: m.GetValue()}
}

// Cursor converts a message to a cursor.
func Cursor(m *marbleroadv1.Cursor) item.Cursor {
	return item.Cursor{Incarnation: m.GetIncarnation(), Sequence: m.GetSequence()}
}

// CursorMessage converts a cursor to a message.
func CursorMessage(c item.Cursor) *marbleroadv1.Cursor {
	return &marbleroadv1.Cursor{Incarnation: c.Incarnation, Sequence: c.Sequence}
}

// ageUnit is the unit of ages in a witness table. Most ages take one byte in it.
const ageUnit = 20 * time.Millisecond

// WitnessTable encodes probe results, which must be sorted by the names of their
// VMs. Ages are relative to now. The full list holds all fields but the ages and
// the loads. It is left out if knownEpoch is its epoch, as the receiver then has it.
func WitnessTable(results []presence.ProbeResult, now time.Time, knownEpoch uint64) *marbleroadv1.WitnessTable {
	out := &marbleroadv1.WitnessTable{
		Epoch:    hashResults(results),
		Ages:     make([]uint32, len(results)),
		InFlight: make([]uint32, len(results)),
		Queued:   make([]uint32, len(results)),
	}
	for i, w := range results {
		out.Ages[i] = inAgeUnits(now.Sub(w.SentAt))
		out.InFlight[i] = uint32(w.InFlight)
		out.Queued[i] = uint32(w.Queued)
	}
	if out.Epoch == knownEpoch {
		return out
	}
	out.Full = make([]*marbleroadv1.Witness, len(results))
	for i, w := range results {
		out.Full[i] = witnessMessage(w)
	}
	return out
}

// inAgeUnits converts an age to units. It rounds up, so that no probe result looks
// newer than it is.
func inAgeUnits(d time.Duration) uint32 {
	units := (max(d, 0) + ageUnit - 1) / ageUnit
	return uint32(min(int64(units), math.MaxUint32))
}

// witnessMessage converts the fields of a probe result that the full list holds.
func witnessMessage(w presence.ProbeResult) *marbleroadv1.Witness {
	return &marbleroadv1.Witness{
		Vm:         w.VM,
		Group:      w.Group,
		Generation: w.Generation,
		Rank:       uint32(w.Rank),
		Size:       uint32(w.Size),
		Fence:      w.Fence,
		Ready:      w.Ready,
		Leaving:    w.Leaving,
		Slots:      uint32(w.Slots),
		Gone:       w.Terminated,
	}
}

// hashResults returns the epoch of a list: a hash of what the full list holds. It
// is never zero, which stands for no known list in a request.
func hashResults(results []presence.ProbeResult) uint64 {
	hash := xxhash.New()
	var number [8]byte
	addNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = hash.Write(number[:])
	}
	addFlag := func(b bool) {
		if b {
			addNumber(1)
			return
		}
		addNumber(0)
	}
	for _, w := range results {
		addNumber(uint64(len(w.VM)))
		_, _ = hash.WriteString(w.VM)
		addNumber(uint64(len(w.Group)))
		_, _ = hash.WriteString(w.Group)
		addNumber(w.Generation)
		addNumber(uint64(w.Rank))
		addNumber(uint64(w.Size))
		addNumber(w.Fence)
		addNumber(uint64(w.Slots))
		addFlag(w.Ready)
		addFlag(w.Leaving)
		addFlag(w.Terminated)
	}
	return max(hash.Sum64(), 1)
}

// ErrTableMismatch means that a witness table does not have exactly one age and
// one load for each VM of the full list: the list in the table, or the known one if
// the epoch is the same.
var ErrTableMismatch = errors.New("witness table does not fit the known list")

// WitnessReader decodes the witness tables of one peer. It must be used by one
// goroutine only.
type WitnessReader struct {
	epoch uint64
	full  []*marbleroadv1.Witness
}

// Epoch returns the epoch of the known full list, to send in the next request;
// zero if there is none.
func (r *WitnessReader) Epoch() uint64 { return r.epoch }

// Read decodes a table. requestedAt is when the request for the table was sent.
// The ages are relative to a later time, that of the response, so subtracting them
// from requestedAt never makes a probe result look newer than it is.
func (r *WitnessReader) Read(m *marbleroadv1.WitnessTable, requestedAt time.Time) ([]presence.ProbeResult, error) {
	if m == nil {
		return nil, nil
	}
	if m.GetEpoch() != r.epoch {
		r.full = m.GetFull()
		r.epoch = m.GetEpoch()
	}
	n := len(r.full)
	if len(m.GetAges()) != n || len(m.GetInFlight()) != n || len(m.GetQueued()) != n {
		r.epoch = 0
		r.full = nil
		return nil, errors.Wrapf(ErrTableMismatch, "%d ages for %d VMs", len(m.GetAges()), n)
	}
	out := make([]presence.ProbeResult, n)
	for i, w := range r.full {
		out[i] = presence.ProbeResult{
			VM:         w.GetVm(),
			Group:      w.GetGroup(),
			Generation: w.GetGeneration(),
			Rank:       int(w.GetRank()),
			Size:       int(w.GetSize()),
			Fence:      w.GetFence(),
			Ready:      w.GetReady(),
			Leaving:    w.GetLeaving(),
			Terminated: w.GetGone(),
			InFlight:   int(m.GetInFlight()[i]),
			Queued:     int(m.GetQueued()[i]),
			Slots:      int(w.GetSlots()),
			SentAt:     requestedAt.Add(-time.Duration(m.GetAges()[i]) * ageUnit),
		}
	}
	return out, nil
}
