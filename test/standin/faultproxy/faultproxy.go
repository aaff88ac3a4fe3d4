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

// Proxy forwards one listening address to one target.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	delay time.Duration
	freed chan struct{}
	conns map[net.Conn]bool
}

// New listens on the address and forwards to the target.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]bool), freed: make(chan struct{})}
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
	close(p.freed)
	p.freed = make(chan struct{})
	if m == Refuse {
		p.breakAll()
	}
}

// SetDelay delays each piece of data, both ways.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Break breaks the present connections once.
func (p *Proxy) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll()
}

func (p *Proxy) breakAll() {
	for c := range p.conns {
		_ = c.Close()
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

func (p *Proxy) state() (Mode, time.Duration, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay, p.freed
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

func (p *Proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if mode, _, _ := p.state(); mode == Refuse {
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	p.track(c, true)
	p.track(up, true)
	defer p.track(c, false)
	defer p.track(up, false)
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, LoseRequests); done <- struct{}{} }()
	go func() { p.copy(c, up, LoseAnswers); done <- struct{}{} }()
	<-done
}

// copy moves bytes one way; lost is the mode in which they are dropped.
func (p *Proxy) copy(into io.Writer, from io.Reader, lost Mode) {
	const size = 32 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		mode, delay, freed := p.state()
		for mode == Freeze {
			<-freed
			mode, delay, freed = p.state()
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && mode != lost {
			if _, err := into.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
