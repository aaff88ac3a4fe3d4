// Package faultproxy is a TCP proxy that injects faults: cuts, one-way cuts,
// delays, freezes, and answers that are lost after the request got through.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what happens to the bytes.
type Mode int

const (
	// Pass lets all bytes through.
	Pass Mode = iota
	// Refuse closes new connections and breaks the present ones.
	Refuse
	// Freeze holds all bytes back, both ways, and accepts new connections.
	Freeze
	// LoseAnswers lets requests through and drops the bytes of the answers.
	LoseAnswers
	// LoseRequests drops the bytes of the requests.
	LoseRequests
)

// Proxy forwards one listening address to one target. Faults hold for all
// callers, or for those from one IP number.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	from  map[string]Mode
	delay time.Duration
	freed chan struct{}
	// links maps each connection to the link that it is an end of.
	links map[net.Conn]*link
}

// link is a caller's connection and the one to the target. The proxy's mutex guards it.
type link struct {
	// ip is the caller's IP number.
	ip string
	// silent drops all bytes, both ways, while the connections stay open.
	silent bool
}

// New listens on the address and forwards to the target.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, links: make(map[net.Conn]*link), from: make(map[string]Mode), freed: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Address returns the listening address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode. Refuse also breaks the present connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	p.wake()
	if m == Refuse {
		p.breakAll("")
	}
}

// SetFrom changes the mode for callers from one IP number; Pass lifts it.
func (p *Proxy) SetFrom(ip string, m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.from[ip] = m
	p.wake()
	if m == Refuse {
		p.breakAll(ip)
	}
}

func (p *Proxy) wake() {
	close(p.freed)
	p.freed = make(chan struct{})
}

// SetDelay delays each piece of data, both ways.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Silence has the present connections fall silent for good, without a reset; new ones
// are not touched.
func (p *Proxy) Silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.silent = true
	}
}

// Break breaks the present connections once.
func (p *Proxy) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll("")
}

func (p *Proxy) breakAll(ip string) {
	for c, l := range p.links {
		if ip == "" || ip == l.ip {
			_ = c.Close()
		}
	}
}

// Close ends the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Set(Refuse)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// fault is what happens to the bytes of one link now.
type fault struct {
	mode  Mode
	delay time.Duration
	// freed is closed when the mode changes.
	freed  chan struct{}
	silent bool
}

func (p *Proxy) fault(l *link) fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := fault{mode: p.mode, delay: p.delay, freed: p.freed, silent: l.silent}
	if m := p.from[l.ip]; m != Pass {
		f.mode = m
	}
	return f
}

func (p *Proxy) track(c net.Conn, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[c] = l
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, c)
}

func (p *Proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	l := &link{ip: ip}
	if p.fault(l).mode == Refuse {
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	p.track(c, l)
	p.track(up, l)
	defer p.untrack(c)
	defer p.untrack(up)
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, l, LoseRequests); done <- struct{}{} }()
	go func() { p.copy(c, up, l, LoseAnswers); done <- struct{}{} }()
	<-done
}

// copy moves bytes one way; lost is the mode in which they are dropped.
func (p *Proxy) copy(into io.Writer, from io.Reader, l *link, lost Mode) {
	const size = 32 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		f := p.fault(l)
		for f.mode == Freeze {
			<-f.freed
			f = p.fault(l)
		}
		if f.delay > 0 {
			time.Sleep(f.delay)
		}
		if n > 0 && f.mode != lost && !f.silent {
			if _, err := into.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
