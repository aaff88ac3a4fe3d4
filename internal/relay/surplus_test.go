package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// TestSurplusBytesAnswerNoLaterRequest guards against a response that arrives before its request was written: bytes
// beyond an answer were taken for the answer to the next request on the connection.
func TestSurplusBytesAnswerNoLaterRequest(t *testing.T) {
	const callers, requests = 16, 100
	answers := map[string]string{
		"length": "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"chunks": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"empty":  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range answers {
		for _, surplus := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nforged", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforged", "forged"} {
			address := serveAll(t, func(c net.Conn) {
				_, _ = io.WriteString(c, answer+surplus)
				r := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, answer+surplus)
				}
			})
			s := NewSender(&net.Dialer{}, nil)
			var wrong, failed atomic.Int64
			var done sync.WaitGroup
			for range callers {
				done.Go(func() {
					for range requests {
						body, err := readOne(s, address)
						if err != nil {
							failed.Add(1)
						} else if body != "ok" && body != "" {
							wrong.Add(1)
						}
					}
				})
			}
			done.Wait()
			if wrong.Load()+failed.Load() > 0 {
				t.Errorf("%s with surplus %q: %d requests got it as their answer, %d failed", name, surplus, wrong.Load(), failed.Load())
			}
		}
	}
}

func readOne(s *Sender, address string) (string, error) {
	resp, err := s.Send(context.Background(), Outgoing{Address: address, Method: http.MethodGet, Path: "/x", RequestID: "r"})
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := ReadBody(resp, smallSocket)
	return string(body), errors.Wrap(err, "read body")
}
