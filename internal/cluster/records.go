package cluster

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/wait"
)

const (
	// nodesPrefix is where nodes register in the store.
	nodesPrefix = "marbleroad-nodes/"
	// registerPause is the pause after the first failed registration, mostRegisterPause the
	// longest one, both up to doubled by jitter: a node that isn't registered is found by those
	// that it finds itself.
	registerPause     = 150 * time.Millisecond
	mostRegisterPause = 1200 * time.Millisecond
	// mostUnknownPause is the longest pause, up to doubled by jitter, of a node that has not read the
	// others' records.
	mostUnknownPause = 300 * time.Millisecond
	// firstNodesInterval is the time from the first reading of the nodes'
	// records to the second, which finds nodes that started at the same time.
	firstNodesInterval = time.Second
	// nodesInterval is the time between later readings. New nodes call others
	// themselves, so a slow pace is enough.
	nodesInterval = time.Minute
	// nodesRetry is the pause after a failed reading.
	nodesRetry = 500 * time.Millisecond
)

// Record is a node's entry in the store.
type Record struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	// Processor is the part of a processor core that the node may use; 0 while
	// it does not say.
	Processor float64 `json:"processor,omitempty"`
}

// registerLoop reads the nodes' records, writes this node's own unless it is there, and then reads the
// others' now and then. A node that starts again finds its record in place: it knows the others after
// one call, also while the platform refuses writes.
func (c *Cluster) registerLoop() {
	defer c.done.Done()
	backoff := registerBackoff()
	registered := false
	for c.ctx.Err() == nil {
		found, err := c.readNodes()
		registered = registered || found
		switch {
		case err != nil:
			c.unread(err)
		case registered:
			c.know()
			c.refreshLoop()
			return
		default:
			if err = c.register(); err == nil {
				// Nodes that start together register together.
				registered = true
				continue
			}
			c.log.Emit(event.RegisterFailed).Err(err).Send()
		}
		wait.Sleep(c.ctx, c.registerPause(backoff))
	}
}

// know notes that the others' records were read.
func (c *Cluster) know() {
	read := clock.Now()
	c.recordsAt.CompareAndSwap(nil, &read)
	c.plan()
}

func (c *Cluster) unread(err error) {
	if c.ctx.Err() == nil {
		c.log.Emit(event.NodesUnread).Err(err).Send()
	}
}

// registerPause is the pause after a failed try. A node that does not know the others yet has
// nothing to read from them either, so it sees soon that the platform is back.
func (c *Cluster) registerPause(backoff *wait.Backoff) time.Duration {
	pause := backoff.Next()
	if c.recordsAt.Load() == nil {
		return min(pause, mostUnknownPause+rand.N(mostUnknownPause))
	}
	return pause
}

// refreshLoop reads the records of nodes that came since.
func (c *Cluster) refreshLoop() {
	pause := firstNodesInterval
	for wait.Sleep(c.ctx, pause) {
		pause = nodesInterval
		if _, err := c.readNodes(); err != nil {
			c.unread(err)
			pause = nodesRetry
		}
	}
}

// registerBackoff spaces out the tries to register: while the store refuses, each node
// asked it anew every 0.15 to 0.3 s, hundreds of nodes at a large site.
func registerBackoff() *wait.Backoff {
	return &wait.Backoff{Least: registerPause, Most: mostRegisterPause}
}

// register writes this node's record; only its own node writes it, so a lost
// race is a former life's and is written over.
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
func (c *Cluster) readNodes() (found bool, err error) {
	objects, _, err := c.store.List(c.ctx, nodesPrefix)
	if err != nil {
		return false, err
	}
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			c.log.Emit(event.NodesUnread).Str("key", o.Key).Err(err).Send()
			continue
		}
		found = found || r == c.config.Self
		c.add(r)
	}
	c.plan()
	return found, nil
}

// add takes a node's record; it reports whether the node is new.
func (c *Cluster) add(r Record) bool {
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
	c.known[r.ID] = &peer{Peer: Peer{Record: r}, failing: wait.Backoff{Least: shunLeast, Most: shunMost}}
	return true
}
