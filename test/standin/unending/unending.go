// Package unending is a stand-in for a server in trouble: its responses never end.
package unending

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Response is an HTTP/1.1 response without an end: Start once, and then Piece again and again.
type Response struct {
	Start, Piece string
}

// pieceBytes is the size of most pieces.
const pieceBytes = 1 << 10

// Heads returns responses whose head does not end.
func Heads() map[string]Response {
	return map[string]Response{
		"fields":        {"HTTP/1.1 200 OK\r\n", "X-Field: " + strings.Repeat("x", pieceBytes) + "\r\n"},
		"one line":      {"HTTP/1.1 200 OK\r\nX-Field: ", strings.Repeat("x", pieceBytes)},
		"informational": {"", "HTTP/1.1 103 Early Hints\r\nLink: </>\r\n\r\n"},
		"no HTTP":       {"", strings.Repeat("x", pieceBytes)},
	}
}

// Bodies returns responses with the status line and further header fields, whose body, or what follows it,
// does not end. The body begins with start and goes on with a repetition of piece.
func Bodies(status, start, piece string) map[string]Response {
	head := "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\n"
	chunked := head + "Transfer-Encoding: chunked\r\n\r\n"
	one := chunk(start + piece)
	return map[string]Response{
		"no length":       {head + "\r\n" + start, piece},
		"length":          {head + "Content-Length: 1099511627776\r\n\r\n" + start, piece},
		"chunks":          {chunked + one, chunk(piece)},
		"chunk extension": {chunked + "1;x=", strings.Repeat("x", pieceBytes)},
		"trailers":        {chunked + one + "0\r\n", "X-Field: " + strings.Repeat("x", pieceBytes) + "\r\n"},
	}
}

// chunk encodes a chunk of at least one byte.
func chunk(data string) string {
	const hex = "0123456789abcdef"
	size := ""
	for n := len(data); n > 0; n /= len(hex) {
		size = string(hex[n%len(hex)]) + size
	}
	return size + "\r\n" + data + "\r\n"
}

// Server responds to each request with a Response until the caller closes the connection.
type Server struct {
	listener net.Listener
	response Response
	// pause follows each write; with a pause, each write has one byte.
	pause   time.Duration
	opened  atomic.Int64
	running sync.WaitGroup

	mu   sync.Mutex
	open map[net.Conn]bool
	// stopped is true once the test has ended.
	stopped bool
}

// Slow is the pause between two bytes of a slow response.
const Slow = 50 * time.Millisecond

// New starts a server on loopback that ends with the test. With a pause it sends the start of the response at once,
// and then a byte after each pause.
func New(t testing.TB, response Response, pause time.Duration) *Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{listener: listener, response: response, pause: pause, open: make(map[net.Conn]bool)}
	s.running.Go(s.accept)
	t.Cleanup(s.close)
	return s
}

// close closes all connections and waits for the server's goroutines.
func (s *Server) close() {
	_ = s.listener.Close()
	s.mu.Lock()
	s.stopped = true
	for conn := range s.open {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.running.Wait()
}

// register adds a connection, unless the test has ended.
func (s *Server) register(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.open[conn] = true
	}
	return !s.stopped
}

// remove closes a connection.
func (s *Server) remove(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, conn)
}

// connections returns how many connections are open.
func (s *Server) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Address returns the server's IP address and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Opened returns how many connections were opened.
func (s *Server) Opened() int { return int(s.opened.Load()) }

// AwaitClosed waits until the caller has closed all connections.
func (s *Server) AwaitClosed(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if s.connections() == 0 {
			return
		}
	}
	t.Errorf("%d connections to a server whose response never ends are still open", s.connections())
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.register(conn) {
			_ = conn.Close()
			return
		}
		s.opened.Add(1)
		s.running.Go(func() {
			defer s.remove(conn)
			s.respond(conn)
		})
	}
}

// respond reads one request and sends the response until the connection is closed.
func (s *Server) respond(conn net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if _, err := conn.Write([]byte(s.response.Start)); err != nil {
		return
	}
	piece := []byte(s.response.Piece)
	for i := 0; ; i++ {
		data := piece
		if s.pause > 0 {
			data = piece[i%len(piece) : i%len(piece)+1]
			time.Sleep(s.pause)
		}
		if _, err := conn.Write(data); err != nil {
			return
		}
	}
}
