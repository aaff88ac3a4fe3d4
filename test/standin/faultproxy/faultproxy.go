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
	// conns maps each connection to its caller's IP number.
	conns map[net.Conn]string
}

// New listens on the address and forwards to the target.
func New(listen, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: l, conns: make(map[net.Conn]string), from: make(map[string]Mode), freed: make(chan struct{})}
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

// Break breaks the present connections once.
func (p *Proxy) Break() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.breakAll("")
}

func (p *Proxy) breakAll(ip string) {
	for c, from := range p.conns {
		if ip == "" || ip == from {
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

func (p *Proxy) state(ip string) (Mode, time.Duration, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.from[ip]; m != Pass {
		return m, p.delay, p.freed
	}
	return p.mode, p.delay, p.freed
}

func (p *Proxy) track(c net.Conn, ip string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = ip
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

func (p *Proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	if mode, _, _ := p.state(ip); mode == Refuse {
		return
	}
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	p.track(c, ip)
	p.track(up, ip)
	defer p.untrack(c)
	defer p.untrack(up)
	done := make(chan struct{}, 2)
	go func() { p.copy(up, c, ip, LoseRequests); done <- struct{}{} }()
	go func() { p.copy(c, up, ip, LoseAnswers); done <- struct{}{} }()
	<-done
}

// copy moves bytes one way; lost is the mode in which they are dropped.
func (p *Proxy) copy(into io.Writer, from io.Reader, ip string, lost Mode) {
	const size = 32 << 10
	buf := make([]byte, size)
	for {
		n, err := from.Read(buf)
		mode, delay, freed := p.state(ip)
		for mode == Freeze {
			<-freed
			mode, delay, freed = p.state(ip)
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
