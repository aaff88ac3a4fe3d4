package cluster

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/crash"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// nodesPrefix is the key prefix of the nodes' records in the store.
	nodesPrefix = "marbleroad-nodes/"
	// minRegisterPause is the pause after the first failed registration, maxRegisterPause the
	// longest one, both up to doubled by jitter. A node that isn't registered is still found by the
	// nodes that it finds itself.
	minRegisterPause = 150 * time.Millisecond
	maxRegisterPause = 1200 * time.Millisecond
	// maxFirstReadPause is the longest pause, up to doubled by jitter, of a node that has not read
	// the others' records.
	maxFirstReadPause = 300 * time.Millisecond
	// registerSpread is the time over which nodes that start together spread their registrations. A
	// thousand at once exceed the platform's rate of writes, and those of upstream VMs that register at
	// the same time are refused too.
	registerSpread = 600 * time.Millisecond
	// startSpread is the time within which nodes that start together have registered. A node waits for
	// it before it reads the others' records after its own registration.
	startSpread = 900 * time.Millisecond
	// secondReadDelay is the time from the first reading of the nodes' records to the second, which
	// finds nodes that started a little later. They call this node themselves, so it need not be soon.
	secondReadDelay = 3 * time.Second
	// readInterval is the time between later readings. New nodes call the others themselves, so a
	// slow pace is enough.
	readInterval = time.Minute
	// checkSpread is the time over which nodes spread the check of their records after a restore.
	checkSpread = 2 * time.Second
	// readRetryPause is the pause after a failed reading.
	readRetryPause = 500 * time.Millisecond
)

// Record is a node's entry in the store.
type Record struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Processor is the part of a processor core that the node may use; 0 if unknown.
	Processor float64 `json:"processor,omitempty"`
}

// readRecords reads the records of all nodes; see platform.ObjectStore.
type readRecords func(ctx context.Context, prefix string) ([]platform.Object, uint64, error)

// registerLoop reads the nodes' records, writes this node's own unless it exists, and then reads
// the others' periodically. A restarted node finds its record in place, so one call gives it the
// other nodes, even while the platform refuses writes. Hundreds of nodes read the records of all, so
// they accept cached ones as long as these include their own.
func (c *Cluster) registerLoop() {
	defer crash.Guard()
	defer c.done.Done()
	backoff := registerBackoff()
	read, cached, registered := readRecords(c.store.ListCached), true, false
	for c.ctx.Err() == nil {
		found, err := c.readNodes(read)
		switch {
		case err != nil:
			c.logUnreadRecords(err)
		case found || (registered && !cached):
			c.markRecordsRead()
			c.refreshLoop()
			return
		case registered:
			// The cached records are older than this node's registration.
			read, cached = c.store.List, false
			continue
		default:
			delay := rand.N(registerSpread)
			wait.Sleep(c.ctx, delay)
			if err = c.register(); err == nil {
				registered = true
				wait.Sleep(c.ctx, startSpread-delay)
				continue
			}
			c.log.Emit(event.RegisterFailed).Err(err).Send()
		}
		wait.Sleep(c.ctx, c.nextRegisterPause(backoff))
	}
}

// markRecordsRead records that the other nodes' records were read.
func (c *Cluster) markRecordsRead() {
	read := clock.Now()
	c.recordsAt.CompareAndSwap(nil, &read)
	c.updatePartners()
}

func (c *Cluster) logUnreadRecords(err error) {
	if c.ctx.Err() == nil {
		c.log.Emit(event.NodesUnreadable).Err(err).Send()
	}
}

// nextRegisterPause returns the pause after a failed attempt. A node that has not read the other
// nodes' records yet has nothing to exchange with them either, so it retries sooner to detect that
// the platform is available again.
func (c *Cluster) nextRegisterPause(backoff *wait.Backoff) time.Duration {
	pause := backoff.Next()
	if c.recordsAt.Load() == nil {
		return min(pause, maxFirstReadPause+rand.N(maxFirstReadPause))
	}
	return pause
}

// refreshLoop reads the records of nodes that were added since, and writes this node's own again if it is missing.
func (c *Cluster) refreshLoop() {
	startedAt := clock.Now()
	timer := time.NewTimer(secondReadDelay)
	defer timer.Stop()
	for {
		pause := readInterval
		select {
		case <-c.ctx.Done():
			return
		case <-c.restored:
			if clock.Since(startedAt) > platform.MaxCopyAge {
				continue
			}
			wait.Sleep(c.ctx, rand.N(checkSpread))
			pause = c.restoreRecord(c.registered)
		case <-timer.C:
			pause = c.restoreRecord(func() (bool, error) { return c.readNodes(c.store.ListCached) })
		}
		timer.Reset(pause)
	}
}

// restoreRecord writes this node's record again if it is not found. It returns the pause until the next reading.
func (c *Cluster) restoreRecord(find func() (bool, error)) time.Duration {
	found, err := find()
	if err == nil && !found {
		err = c.register()
	}
	if err != nil {
		c.logUnreadRecords(err)
		return readRetryPause
	}
	return readInterval
}

// registered reports whether this node's record is in the store.
func (c *Cluster) registered() (bool, error) {
	_, err := c.store.Get(c.ctx, nodesPrefix+c.config.Self.ID)
	if errors.Is(err, platform.ErrNotFound) {
		return false, nil
	}
	return err == nil, err
}

// CheckRecord makes this node check whether its record is still in the store, which was restored from an older copy.
// Only a node that was started recently does: the record of another one is in the copy.
func (c *Cluster) CheckRecord() {
	select {
	case c.restored <- struct{}{}:
	default:
	}
}

// registerBackoff returns the backoff between attempts to register. Without it each node queried a
// refusing store every 0.15 to 0.3 s, hundreds of nodes at a large site.
func registerBackoff() *wait.Backoff {
	return &wait.Backoff{Min: minRegisterPause, Max: maxRegisterPause}
}

// register writes this node's record. No other node writes it, so a conflicting record is from a
// previous incarnation and is overwritten.
func (c *Cluster) register() error {
	value, err := json.Marshal(c.config.Self)
	if err != nil {
		return errors.Wrap(err, "encode node record")
	}
	key := nodesPrefix + c.config.Self.ID
	_, err = c.store.Put(c.ctx, key, value, 0)
	if !errors.Is(err, platform.ErrConflict) {
		return err
	}
	old, err := c.store.Get(c.ctx, key)
	if err != nil || string(old.Value) == string(value) {
		return err
	}
	_, err = c.store.Put(c.ctx, key, value, old.Version)
	return err
}

// readNodes reads the records of all nodes. It reports whether this node's own is among them.
func (c *Cluster) readNodes(read readRecords) (found bool, err error) {
	objects, _, err := read(c.ctx, nodesPrefix)
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			c.log.Emit(event.NodesUnreadable).Str("key", o.Key).Err(err).Send()
			continue
		}
		found = found || r == c.config.Self
		c.addNode(r)
	}
	c.updatePartners()
	return found, nil
}

// addNode stores a node's record; it reports whether the node is new.
func (c *Cluster) addNode(r Record) bool {
	if r.ID == c.config.Self.ID || r.ID == "" || r.Address == "" {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.known[r.ID]; p != nil {
		if r.Processor == 0 {
			r.Processor = p.Processor
		}
		p.Record = r
		return false
	}
	c.known[r.ID] = &peer{Peer: Peer{Record: r}, backoff: wait.Backoff{Min: minExclusion, Max: maxExclusion}}
	return true
}

// OtherRecords returns the records of the other known nodes, ordered by ID, live or not.
func (c *Cluster) OtherRecords() []Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Record, 0, len(c.known))
	for _, p := range c.known {
		out = append(out, p.Record)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
