// Package wire converts between the protocol's messages and the domain types.
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

// ageUnit is the unit of ages in a witness table; small, so that most ages
// take one byte.
const ageUnit = 20 * time.Millisecond

// WitnessTable encodes witnesses, which must be in the order of their VMs'
// names. Ages count at now. The full list is left out when known is its epoch.
func WitnessTable(all []presence.ProbeResult, now time.Time, known uint64) *marbleroadv1.WitnessTable {
	out := &marbleroadv1.WitnessTable{
		Epoch:    epochOf(all),
		Ages:     make([]uint32, len(all)),
		InFlight: make([]uint32, len(all)),
		Queued:   make([]uint32, len(all)),
	}
	for i, w := range all {
		out.Ages[i] = age(now.Sub(w.SentAt))
		out.InFlight[i] = uint32(w.InFlight)
		out.Queued[i] = uint32(w.Queued)
	}
	if out.Epoch == known {
		return out
	}
	out.Full = make([]*marbleroadv1.Witness, len(all))
	for i, w := range all {
		out.Full[i] = witnessMessage(w)
	}
	return out
}

func age(d time.Duration) uint32 {
	units := (max(d, 0) + ageUnit - 1) / ageUnit
	return uint32(min(int64(units), math.MaxUint32))
}

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

// epochOf hashes what the full list holds. It is never zero, the requester's
// word for knowing none.
func epochOf(all []presence.ProbeResult) uint64 {
	d := xxhash.New()
	var number [8]byte
	add := func(n uint64) {
		binary.LittleEndian.PutUint64(number[:], n)
		_, _ = d.Write(number[:])
	}
	flag := func(b bool) {
		if b {
			add(1)
			return
		}
		add(0)
	}
	for _, w := range all {
		add(uint64(len(w.VM)))
		_, _ = d.WriteString(w.VM)
		add(uint64(len(w.Group)))
		_, _ = d.WriteString(w.Group)
		add(w.Generation)
		add(uint64(w.Rank))
		add(uint64(w.Size))
		add(w.Fence)
		add(uint64(w.Slots))
		flag(w.Ready)
		flag(w.Leaving)
		flag(w.Terminated)
	}
	return max(d.Sum64(), 1)
}

// ErrTable means that a witness table does not fit the list that is known.
var ErrTable = errors.New("witness table does not fit the known list")

// WitnessReader decodes one peer's witness tables. It belongs to one goroutine.
type WitnessReader struct {
	epoch uint64
	full  []*marbleroadv1.Witness
}

// Epoch returns what to name in the next request.
func (r *WitnessReader) Epoch() uint64 { return r.epoch }

// Read decodes a table. asked is when the request that the table answers was
// sent: a probe was sent no earlier than its age before that, so counting back
// from asked never makes a witness look fresher than it is.
func (r *WitnessReader) Read(m *marbleroadv1.WitnessTable, asked time.Time) ([]presence.ProbeResult, error) {
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
		return nil, errors.Wrapf(ErrTable, "%d ages for %d VMs", len(m.GetAges()), n)
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
			SentAt:     asked.Add(-time.Duration(m.GetAges()[i]) * ageUnit),
		}
	}
	return out, nil
}
