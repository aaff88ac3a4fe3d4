package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// crowdSize is the number of connections that the crowd tries to hold; the node takes fewer.
	crowdSize = 2600
	// crowdPause is the time between two connections of the crowd. It ends when refusedInRow in a row were refused.
	crowdPause   = 2 * time.Millisecond
	refusedInRow = 300
	// linesAfter is how many further connections are opened before the lines are sent on one.
	linesAfter = 50
	// refillPause is the time between two connections of the crowd once it is there.
	refillPause = 20 * time.Millisecond
	// ordinaryTime is how long ordinary clients call, one every ordinaryPause.
	ordinaryTime  = 30 * time.Second
	ordinaryPause = 250 * time.Millisecond
	// maxWithout is contact-ms: a machine that says that it is ready takes no new connection for so long.
	maxWithout = 3 * time.Second
	// minDescriptors is what this process and the node each need.
	minDescriptors = 5000
)

// crowd holds connections that were each used for one request. The trouble is two empty lines, after which no request comes.
func crowd(r *rig, n *node) (bool, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < minDescriptors {
		return false, fmt.Errorf("too few descriptors: %d, %v", limit.Max, err)
	}
	var held []net.Conn
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	lines := ""
	if r.trouble {
		lines = "\r\n\r\n"
	}
	failed, inRow := 0, 0
	for i := 0; len(held) < crowdSize && inRow < refusedInRow; i++ {
		time.Sleep(crowdPause)
		c, err := holdOne(n, i)
		if err != nil {
			failed, inRow = failed+1, inRow+1
			continue
		}
		held, inRow = append(held, c), 0
		if len(held) > linesAfter {
			_, _ = io.WriteString(held[len(held)-1-linesAfter], lines)
		}
	}
	for _, c := range held[max(0, len(held)-linesAfter):] {
		_, _ = io.WriteString(c, lines)
	}
	r.note("the crowd has opened %d connections, each answered once, then %d empty lines; %d were refused", len(held), len(lines)/2, failed)
	stop := make(chan struct{})
	var refilling sync.WaitGroup
	refilling.Go(func() { refill(n, lines, stop) })
	defer refilling.Wait()
	defer close(stop)
	served, calls := 0, 0
	began := time.Now()
	lastServed := began
	longest := time.Duration(0)
	for i := 0; time.Since(began) < ordinaryTime; i++ {
		calls++
		status, err := callOnce(n, "GET", "/legend/ordinary", fmt.Sprintf("ordinary-%d", i))
		if err == nil && status == http.StatusOK {
			served++
			lastServed = time.Now()
		}
		longest = max(longest, time.Since(lastServed))
		if i%12 == 0 {
			r.note("ordinary client: call %d gets %d (%v)", i, status, err)
		}
		time.Sleep(ordinaryPause)
	}
	resp, err := http.Get("http://" + n.ready + "/-/ready")
	ready := err == nil && resp.StatusCode == http.StatusOK
	r.note("%d of %d ordinary calls on new connections were served; none for up to %.1f s; the node says that it is ready: %t", served, calls, longest.Seconds(), ready)
	return ready && longest >= maxWithout, nil
}

// refill goes on opening connections as the crowd does, one every refillPause, until stop is closed.
func refill(n *node, lines string, stop <-chan struct{}) {
	var held []net.Conn
	defer func() {
		for _, c := range held {
			_ = c.Close()
		}
	}()
	for i := crowdSize; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(refillPause):
		}
		if c, err := holdOne(n, i); err == nil {
			held = append(held, c)
			time.Sleep(keptPause)
			_, _ = io.WriteString(c, lines)
		}
	}
}

// holdOne opens a connection, and has one request answered.
func holdOne(n *node, i int) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := io.WriteString(c, request("POST", "/unknown/1", fmt.Sprintf("crowd-%d", i), "Content-Length: 0\r\n")); err != nil {
		_ = c.Close()
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return c, err
}
