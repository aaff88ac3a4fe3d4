package callers

import (
	"container/list"
	"time"
)

// waitingConns holds the connections without a complete request, in the order in which they began to wait for it. When a
// server has its maximum of connections, a new one takes the place of one of these: nothing has run for its caller. The
// listener's lock guards it.
type waitingConns struct {
	// fresh holds the connections that have never had a request, kept those that had one and wait for another, receiving
	// those of which a request's body is not complete.
	fresh, kept, receiving list.List
}

// place is where a connection waits; the zero value is nowhere.
type place struct {
	list    *list.List
	element *list.Element
}

// add puts a connection at the end of one of the lists.
func (w *waitingConns) add(c *Conn, into *list.List) {
	w.remove(c)
	c.place = place{list: into, element: into.PushBack(c)}
}

// remove removes a connection; one that does not wait stays as it is.
func (w *waitingConns) remove(c *Conn) {
	if c.place.list != nil {
		c.place.list.Remove(c.place.element)
		c.place = place{}
	}
}

// takeFirst removes and returns the connection to close for a new one: one that has never had a request, if there is one,
// else one between two requests, else one with an incomplete body. It returns nil if none waits.
func (w *waitingConns) takeFirst() *Conn {
	for _, from := range []*list.List{&w.fresh, &w.kept, &w.receiving} {
		if first := from.Front(); first != nil {
			c := first.Value.(*Conn)
			w.remove(c)
			return c
		}
	}
	return nil
}

// startWaiting records that a connection waits for a request. served is true if it has had one.
func (l *Listener) startWaiting(c *Conn, served bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, tracked := l.conns[c]; !tracked {
		return
	}
	into := &l.waiting.fresh
	if served {
		into = &l.waiting.kept
	}
	l.waiting.add(c, into)
}

// startReceiving records that a connection waits for a request's body.
func (l *Listener) startReceiving(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, tracked := l.conns[c]; tracked {
		l.waiting.add(c, &l.waiting.receiving)
	}
}

// endWaiting records that a connection has a complete request, or a header of which the body is not waited for yet.
func (l *Listener) endWaiting(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiting.remove(c)
}

// makeRoom reports whether there is room for another connection. It closes a waiting one if necessary. One with an incomplete
// body gets an answer first; until then there is no room.
func (l *Listener) makeRoom() bool {
	for l.options.Share.MaxConns > 0 {
		first, full := l.takeIfFull()
		if !full {
			return true
		}
		if first == nil || first.abortBody() {
			l.options.Share.Stats.Refused.Add(1)
			return false
		}
		if first.closeWaiting() {
			l.options.Share.Stats.Evicted.Add(1)
		}
	}
	return true
}

// takeIfFull reports whether the listener has its maximum of connections, and then takes the waiting one to close; nil if
// none waits.
func (l *Listener) takeIfFull() (first *Conn, full bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.options.Share.MaxConns {
		return nil, false
	}
	return l.waiting.takeFirst(), true
}

// closeWaiting closes the connection unless it has a request by now, and reports whether it did.
func (c *Conn) closeWaiting() bool {
	c.mu.Lock()
	waits := !c.closedByLimit && c.phase != handling && c.active == 0 && !c.headerComplete()
	if waits {
		c.closeByLimit()
	}
	c.mu.Unlock()
	if waits {
		c.listener.remove(c, nil)
	}
	return waits
}

// abortBody ends the wait for a request's body as if its time were over, and reports whether the connection waited for one.
// Its handler answers that the request has not run.
func (c *Conn) abortBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != handling || !c.receiving {
		return false
	}
	c.bodyAborted.Store(true)
	return c.Conn.SetReadDeadline(expired) == nil
}

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// startBody records that a request's body is waited for, endBody that it is complete.
func (c *Conn) startBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = true
	c.bodyAborted.Store(false)
	c.listener.startReceiving(c)
}

func (c *Conn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		c.receiving = false
		c.listener.endWaiting(c)
	}
}
