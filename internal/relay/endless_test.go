package relay

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/verdict"
	"github.com/marbleroad/marbleroad/test/standin/endless"
)

const (
	// socketBytes is what the sockets of a connection with smallSocket at both ends hold at most.
	socketBytes = 512 << 10
	smallSocket = 4 << 10
	// sendLimit ends a send that should have ended long before.
	sendLimit = 30 * time.Second
)

// smallSockets returns a dialer whose connections hold few bytes.
func smallSockets() *net.Dialer {
	return &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocket)
		})
	}}
}

// serveAll calls serve with each connection once a request was read, and returns the server's address.
func serveAll(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_ = c.(*net.TCPConn).SetWriteBuffer(smallSocket)
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// sendOne sends a request and returns its failure, nil if it got a response.
func sendOne(s *Sender, address string, once bool) *verdict.Error {
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit)
	defer cancel()
	resp, err := s.Send(ctx, Outgoing{Address: address, Method: http.MethodPost, Path: "/x", RequestID: "r", AtMostOnce: once})
	if err != nil {
		return verdict.As(err)
	}
	_ = resp.Body.Close()
	return nil
}

// TestHeadWithoutEndIsAbandoned guards against reading a head that has no end. 10 MiB of it were read and kept.
func TestHeadWithoutEndIsAbandoned(t *testing.T) {
	for _, kind := range endless.Heads {
		for _, once := range []bool{false, true} {
			written := make(chan int64, 1)
			address := serveAll(t, func(c net.Conn) { written <- endless.Send(c, kind, nil, 0) })
			failure := sendOne(NewSender(smallSockets(), nil), address, once)
			if failure == nil || failure.Code != CodeBroken || failure.Verdict != verdict.MayHaveRun {
				t.Errorf("%s: failure %v", kind, failure)
			}
			if n := <-written; n > transport.MaxResponseHeadBytes+socketBytes {
				t.Errorf("%s: the upstream wrote %d bytes", kind, n)
			}
		}
	}
}

// TestSlowHeadWithoutEndIsAbandonedAtTheDeadline guards against a send that an upstream holds by a byte now and then.
func TestSlowHeadWithoutEndIsAbandonedAtTheDeadline(t *testing.T) {
	for _, kind := range endless.Heads {
		ended := make(chan int64, 1)
		address := serveAll(t, func(c net.Conn) { ended <- endless.Send(c, kind, nil, time.Millisecond) })
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, err := NewSender(&net.Dialer{}, nil).Send(ctx, Outgoing{Address: address, Method: http.MethodPost, Path: "/x", RequestID: "r"})
		cancel()
		failure := verdict.As(err)
		// Blank lines and an unknown protocol are known as such from their first line.
		if failure.Code != CodeDeadline && kind != endless.EmptyLines {
			t.Errorf("%s: failure %v", kind, failure)
		}
		<-ended
	}
}

// heldWriter blocks the writes that would exceed its limit until it is released.
type heldWriter struct {
	net.Conn
	left    int
	held    func()
	release chan struct{}
}

// Write implements io.Writer.
func (w *heldWriter) Write(p []byte) (int, error) {
	if w.left >= 0 && len(p) > w.left {
		w.left = -1
		w.held()
		<-w.release
	}
	if w.left >= 0 {
		w.left -= len(p)
	}
	return w.Conn.Write(p)
}

const (
	// endlessAtOnce is the number of answers without end that a node must bear at a time.
	endlessAtOnce = 300
	// maxHeapGrowth is a tenth of the memory of a node, which has 284 MB.
	maxHeapGrowth = 28 << 20
)

func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestHeadsWithoutEndTakeLittleMemory guards against the end of a process by 300 heads without end at a time: the
// memory is compared with that of as many requests that wait for their answers.
func TestHeadsWithoutEndTakeLittleMemory(t *testing.T) {
	for _, kind := range endless.Heads {
		var waiting, held sync.WaitGroup
		waiting.Add(endlessAtOnce)
		held.Add(endlessAtOnce)
		start, release := make(chan struct{}), make(chan struct{})
		address := serveAll(t, func(c net.Conn) {
			waiting.Done()
			<-start
			// The writer is held a little before the bound, or its connection is closed earlier.
			once := sync.OnceFunc(held.Done)
			endless.Send(&heldWriter{Conn: c, left: transport.MaxResponseHeadBytes - 2<<10, held: once, release: release}, kind, nil, 0)
			once()
		})
		s := NewSender(&net.Dialer{}, nil)
		var sends sync.WaitGroup
		for range endlessAtOnce {
			sends.Go(func() { _ = sendOne(s, address, false) })
		}
		waiting.Wait()
		before := heapInUse()
		close(start)
		held.Wait()
		awaitRead(t, address)
		if growth := heapInUse() - before; growth > maxHeapGrowth {
			t.Errorf("%s: %d heads without end take %d bytes", kind, endlessAtOnce, growth)
		}
		close(release)
		sends.Wait()
	}
}

// awaitRead waits until all bytes that were written to connections of the server's port have been read.
func awaitRead(t *testing.T, address string) {
	t.Helper()
	for queued(t, address) {
		runtime.Gosched()
	}
}

// queued reports whether a socket with the given local or remote address holds bytes.
func queued(t *testing.T, address string) bool {
	t.Helper()
	const localField, remoteField, queuesField, emptyQueues = 1, 2, 4, "00000000:00000000"
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		t.Fatal(err)
	}
	number, _ := strconv.Atoi(port)
	suffix := fmt.Sprintf(":%04X", number)
	table, err := os.ReadFile("/proc/self/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		ours := strings.HasSuffix(fields[localField], suffix) || strings.HasSuffix(fields[remoteField], suffix)
		if ours && fields[queuesField] != emptyQueues {
			return true
		}
	}
	return false
}

// TestBoundOnHeadLeavesBodyAlone checks a head of many fields and a body of many lines on a reused connection.
func TestBoundOnHeadLeavesBodyAlone(t *testing.T) {
	const fields, lines = 200, 10_000
	body := strings.Repeat("\n", lines)
	answer := "HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field: x\r\n", fields) + fmt.Sprintf("Content-Length: %d\r\n\r\n", lines) + body
	address := serveAll(t, func(c net.Conn) {
		_, _ = c.Write([]byte(answer))
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = c.Write([]byte(answer))
		}
	})
	s := NewSender(&net.Dialer{}, nil)
	for range 3 {
		resp, err := s.Send(context.Background(), Outgoing{Address: address, Method: http.MethodGet, Path: "/x", RequestID: "r"})
		if err != nil {
			t.Fatal(err)
		}
		got, err := ReadBody(resp, lines)
		_ = resp.Body.Close()
		if err != nil || string(got) != body {
			t.Errorf("%d bytes, error %v", len(got), err)
		}
	}
}
