package director

import (
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
)

// startInputs is what a node has of its inputs after a start, and from when on. The zero value stands for a node that has
// them all.
type startInputs struct {
	// listedAt and configuredAt are when the first list and the first configuration are read.
	listedAt, configuredAt time.Time
	// olderList is the list until currentListAt, and olderCatalog the configuration until currentCatalogAt; nil for none.
	olderList        *fleet.Snapshot
	currentListAt    time.Time
	olderCatalog     *catalog.Catalog
	currentCatalogAt time.Time
	// rereadAt is when the whole list is read again, without a change.
	rereadAt time.Time
	// trafficAt is when the node learns of requests; zero for no change.
	trafficAt time.Time
}

// catalogAt returns the configuration that the node has; nil if it has none.
func (i *startInputs) catalogAt(w *world) *catalog.Catalog {
	switch {
	case w.now.Before(i.configuredAt):
		return nil
	case i.olderCatalog != nil && w.now.Before(i.currentCatalogAt):
		return i.olderCatalog
	}
	return w.catalog
}

// listAt returns the list that the node has; nil if it has none.
func (i *startInputs) listAt(w *world) *fleet.Snapshot {
	switch {
	case w.now.Before(i.listedAt):
		return nil
	case i.olderList != nil && w.now.Before(i.currentListAt):
		return i.olderList
	case !i.rereadAt.IsZero() && !w.now.Before(i.rereadAt):
		i.rereadAt = time.Time{}
		again := fleet.NewSnapshot(w.snapshot.VMs, w.snapshot.Revision, w.snapshot.VerifiedAt)
		again.LastSeen, again.Evacuated = w.snapshot.LastSeen, w.snapshot.Evacuated
		return again
	}
	return w.snapshot
}

// restart ends the node's director, and starts another that gets its configuration later than the list of VMs.
func (n *node) restart(configurationDelay time.Duration) {
	n.start(startInputs{configuredAt: n.w.now.Add(configurationDelay)})
	n.peersReadAt = n.w.now
}

// start starts a director in a new process, whose inputs arrive as given.
func (n *node) start(inputs startInputs) {
	none := []string{}
	n.d.directing.Store(&none)
	n.d.dissolving.Store(&none)
	n.d.preparing.Store(&none)
	n.d.loading.Store(0)
	n.d.busy.Store(false)
	n.d.pulse.last, n.d.pulse.resumed = time.Time{}, time.Time{}
	n.d.down.Store(false)
	n.d.confined.Store(false)
	if n.faults != nil {
		*n.faults = 0
	}
	n.frozen, n.held, n.outdated = false, nil, nil
	n.inputs = inputs
	n.supervise(n.laterNonce())
}

// stop ends the node's process.
func (n *node) stop() { n.down, n.frozen, n.held = true, false, nil }
