package gateway_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/gateway"
)

// TestAmbiguousLengthIsRefused: a request with a Content-Length and a chunked body can be parsed in two
// ways, and what one parser reads as its body is a separate request for another. net/http uses the chunks,
// silently drops the length and keeps the connection, so that a request hidden behind the last chunk was
// run. Such a request must be rejected, and nothing behind it read. If the header of a chunked request
// arrives in one piece with an earlier request, its own length can't be detected, and the connection must
// be closed after the response.
//
//	5007 request sent to an upstream request=smuggled-b route=/public/ vm=vm-10
//	5009 request served              request=smuggled-b status=200
func TestAmbiguousLengthIsRefused(t *testing.T) {
	const hidden = "POST /public/hidden HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: hidden\r\nContent-Length: 0\r\n\r\n"
	// last makes the gateway close the connection if it reads that far, so that the test does not wait for more.
	const last = "GET /public/last HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: l\r\nConnection: close\r\n\r\n"
	const chunked = "POST /public/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
	both := strings.Replace(chunked, "Transfer-Encoding", "content-LENGTH: 5\r\nTransfer-Encoding", 1)
	plain := "POST /public/first HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: f\r\nContent-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name  string
		sent  []string
		wants []int
		ran   []string
	}{
		{"in one piece", []string{both + hidden + last}, []int{400}, nil},
		{"in two", []string{both[:60], both[60:] + hidden + last}, []int{400}, nil},
		{"behind another", []string{plain + both + hidden + last}, []int{200, 200}, []string{"/public/first", "/public/x"}},
		{"chunks alone", []string{chunked, plain + last}, []int{200, 200, 200}, []string{"/public/x", "/public/first", "/public/last"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestSite(t, options{})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			server := gateway.ServeCallers(s.server, l)
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if err := c.SetDeadline(time.Now().Add(waitLimit)); err != nil {
				t.Fatal(err)
			}
			for _, piece := range tc.sent {
				if _, err := io.WriteString(c, piece); err != nil {
					t.Fatal(err)
				}
				time.Sleep(20 * time.Millisecond)
			}
			answers, _ := io.ReadAll(c)
			var got []int
			for _, line := range strings.Split(string(answers), "\r\n") {
				var status int
				if _, rest, ok := strings.Cut(line, "HTTP/1.1 "); ok {
					status = int(rest[0]-'0')*100 + int(rest[1]-'0')*10 + int(rest[2]-'0')
					got = append(got, status)
				}
			}
			var ran []string
			for _, vm := range s.plain {
				_, targets := vm.Requests()
				ran = append(ran, targets...)
			}
			if len(got) != len(tc.wants) || len(ran) != len(tc.ran) {
				t.Errorf("statuses %v and requests run %v, want %v and %v", got, ran, tc.wants, tc.ran)
			}
			for i := range min(len(got), len(tc.wants)) {
				if got[i] != tc.wants[i] {
					t.Errorf("response %d has status %d, want %d", i, got[i], tc.wants[i])
				}
			}
		})
	}
}
