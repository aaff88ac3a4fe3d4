package quarantine

import (
	"sync"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/event"
)

const (
	// mostTold bounds the records of one message, some 40 bytes each: an end of a full head
	// makes some dozens, so what is left over goes with the next exchange, 0.3 s later.
	mostTold = 256
	// wholeInterval is the least time between two messages to a node with all proved records.
	// Digests differ for some exchanges while news are on their way.
	wholeInterval = time.Second
)

// Gossip carries a table's news to other nodes with their exchanges and takes theirs. Each node
// is told of each change once, and of all that is proved when the digests show that something was
// missed: by a node that started, or over a cut.
type Gossip struct {
	table *Table
	log   *event.Logger

	mu    sync.Mutex
	peers map[string]*told
}

// told is what one node was told.
type told struct {
	// asked and answered are the newest changes told with calls and with answers, sending the
	// one of the call under way.
	asked, answered, sending uint64
	// differs is true when the node's digest was another one; wholeAt is when it was last told
	// of all that is proved.
	differs bool
	wholeAt time.Time
}

// NewGossip returns the gossip of a table.
func NewGossip(table *Table, log *event.Logger) *Gossip {
	return &Gossip{table: table, log: log, peers: make(map[string]*told)}
}

// NewRequest implements cluster.Quarantine. Where all nodes call each other, relay is false: what a node
// saw it tells all others itself. With relays one of eight nodes told 10,455 records of 800 ends in
// place of 1,365.
func (g *Gossip) NewRequest(now time.Time, peer string, relay bool) *marbleroadv1.QuarantineNews {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(peer)
	records, newest := g.table.Since(now, p.asked, mostTold, relay)
	p.sending = newest
	return g.news(now, p, records, p.differs)
}

// HandleResponse implements cluster.Quarantine.
func (g *Gossip) HandleResponse(asked time.Time, peer string, news *marbleroadv1.QuarantineNews) {
	g.hear(asked, peer, news)
	digest := g.table.Digest(asked)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(peer)
	p.asked = max(p.asked, p.sending)
	p.differs = news != nil && news.GetDigest() != digest
}

// HandleRequest implements cluster.Quarantine.
func (g *Gossip) HandleRequest(now time.Time, peer string, member bool, news *marbleroadv1.QuarantineNews) *marbleroadv1.QuarantineNews {
	g.hear(now, peer, news)
	differs := news.GetDigest() != g.table.Digest(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peer(peer)
	var records []Record
	if member {
		records, p.answered = g.table.Since(now, p.answered, mostTold, true)
	}
	return g.news(now, p, records, differs)
}

// news is a message with the records, and all that are proved if something was missed.
func (g *Gossip) news(now time.Time, p *told, records []Record, differs bool) *marbleroadv1.QuarantineNews {
	out := &marbleroadv1.QuarantineNews{Digest: g.table.Digest(now)}
	if differs && now.Sub(p.wholeAt) >= wholeInterval {
		p.wholeAt = now
		records = append(records, g.table.Proved(now)...)
	}
	for _, r := range records {
		out.Records = append(out.Records, toWire(now, r))
	}
	return out
}

// hear takes what a node told; its ages count from the given moment.
func (g *Gossip) hear(at time.Time, peer string, news *marbleroadv1.QuarantineNews) {
	if len(news.GetRecords()) == 0 {
		return
	}
	records := make([]Record, 0, len(news.GetRecords()))
	for _, r := range news.GetRecords() {
		records = append(records, fromWire(at, r))
	}
	if learned := g.table.Merge(at, records); learned > 0 {
		g.log.Emit(event.SuspectsHeard).Str("from", peer).Int("records", len(records)).Int("news", learned).Send()
	}
}

// peer is what a node was told. It is called with mu held.
func (g *Gossip) peer(id string) *told {
	if g.peers[id] == nil {
		g.peers[id] = &told{}
	}
	return g.peers[id]
}

func toWire(now time.Time, r Record) *marbleroadv1.RequestRecord {
	out := &marbleroadv1.RequestRecord{Fingerprint: uint64(r.Fingerprint), Proved: r.Proved}
	for _, e := range r.Ends {
		out.Lives = append(out.Lives, uint32(e.Life))
		out.AgesMs = append(out.AgesMs, ageMS(now, e.At))
	}
	if !r.ClearedAt.IsZero() {
		age := ageMS(now, r.ClearedAt)
		out.ClearedAgeMs = &age
	}
	if !r.QuarantinedAt.IsZero() {
		age := ageMS(now, r.QuarantinedAt)
		out.QuarantinedAgeMs = &age
	}
	return out
}

// fromWire decodes a record. Ends without an age are left out.
func fromWire(at time.Time, r *marbleroadv1.RequestRecord) Record {
	out := Record{Fingerprint: Fingerprint(r.GetFingerprint()), Proved: r.GetProved()}
	before := func(ms uint32) time.Time { return at.Add(-time.Duration(ms) * time.Millisecond) }
	for i, age := range r.GetAgesMs() {
		if i < len(r.GetLives()) {
			out.add(End{Life(r.GetLives()[i]), before(age)})
		}
	}
	if r.ClearedAgeMs != nil {
		out.ClearedAt = before(r.GetClearedAgeMs())
	}
	if r.QuarantinedAgeMs != nil {
		out.QuarantinedAt = before(r.GetQuarantinedAgeMs())
	}
	return out
}

func ageMS(now, at time.Time) uint32 { return uint32(max(now.Sub(at).Milliseconds(), 0)) }
