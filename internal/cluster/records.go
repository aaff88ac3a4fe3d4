package cluster

import (
	"encoding/json"
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

// registerLoop writes this node's record and then reads the others' now and then.
func (c *Cluster) registerLoop() {
	defer c.done.Done()
	backoff := registerBackoff()
	for c.ctx.Err() == nil {
		err := c.register()
		if err == nil {
			break
		}
		c.log.Emit(event.RegisterFailed).Err(err).Send()
		wait.Sleep(c.ctx, backoff.Next())
	}
	pause := firstNodesInterval
	for c.ctx.Err() == nil {
		next := pause
		pause = nodesInterval
		if err := c.readNodes(); err != nil && c.ctx.Err() == nil {
			c.log.Emit(event.NodesUnread).Err(err).Send()
			next, pause = nodesRetry, firstNodesInterval
		}
		wait.Sleep(c.ctx, next)
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

func (c *Cluster) readNodes() error {
	objects, _, err := c.store.List(c.ctx, nodesPrefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		var r Record
		if err := json.Unmarshal(o.Value, &r); err != nil {
			c.log.Emit(event.NodesUnread).Str("key", o.Key).Err(err).Send()
			continue
		}
		c.add(r)
	}
	read := clock.Now()
	c.recordsAt.CompareAndSwap(nil, &read)
	c.plan()
	return nil
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
