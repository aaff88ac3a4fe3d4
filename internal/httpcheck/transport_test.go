package httpcheck

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/marbleroad/marbleroad/test/standin/malformed"
)

const (
	smallBytes = 100
	// uploadBytes is the size of a request that the buffers of its connection can't hold.
	uploadBytes = 12 << 20
)

// serve calls handle with each connection once the head of a request was read, and returns the server's address.
func serve(t *testing.T, handle func(c net.Conn, r *http.Request)) string {
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
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					handle(c, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// post sends a body of size bytes, and returns the response's body.
func post(transport http.RoundTripper, address string, size int) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address, bytes.NewReader(make([]byte, size)))
	if err != nil {
		return "", err
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

// TestPartUnderAnUploadIsNotWhole guards against a part of an unframed response that looks whole, since a write took the
// reset of the connection.
func TestPartUnderAnUploadIsNotWhole(t *testing.T) {
	for name, part := range malformed.Parts {
		transport := NewTransport(&http.Transport{})
		address := part.Serve(t)
		for range 20 {
			if body, err := post(transport, address, uploadBytes); err == nil {
				t.Errorf("%s: %d bytes look whole", name, len(body))
			}
		}
	}
}

// TestUnframedResponseToAWholeRequestIsWhole guards against the loss of honest responses without a length: the end of the
// response may be read before the last write of the request has returned.
func TestUnframedResponseToAWholeRequestIsWhole(t *testing.T) {
	const answer, clients = "HTTP/1.1 200 OK\r\n\r\nanswer", 16
	address := serve(t, func(c net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answer)
	})
	for size, requests := range map[int]int{0: 100, smallBytes: 100, 64 << 10: 50, uploadBytes: 2} {
		transport := NewTransport(&http.Transport{})
		var done sync.WaitGroup
		for range clients {
			done.Go(func() {
				for range requests {
					if body, err := post(transport, address, size); body != "answer" || err != nil {
						t.Errorf("request of %d bytes: body %q, error %v", size, body, err)
					}
				}
			})
		}
		done.Wait()
	}
}

// TestEarlyFramedResponseIsWhole guards against the loss of a whole response that comes before its request was written.
func TestEarlyFramedResponseIsWhole(t *testing.T) {
	transport := NewTransport(&http.Transport{})
	for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n"} {
		held := make(chan struct{})
		address := serve(t, func(c net.Conn, _ *http.Request) {
			_, _ = io.WriteString(c, answer)
			<-held
		})
		if body, err := post(transport, address, uploadBytes); body != "answer" || err != nil {
			t.Errorf("body %q, error %v", body, err)
		}
		close(held)
	}
}

// TestResponseBeforeItsRequestIsNotWhole guards against a server that answers each connection at once and without a
// length, whatever is sent on it.
func TestResponseBeforeItsRequestIsNotWhole(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = c.(*net.TCPConn).CloseWrite()
			go func() {
				<-held
				_ = c.Close()
			}()
		}
	}()
	transport := NewTransport(&http.Transport{})
	for range 20 {
		if body, err := post(transport, l.Addr().String(), uploadBytes); err == nil {
			t.Fatalf("%q looks whole", body)
		}
	}
}
