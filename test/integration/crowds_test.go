package integration

import (
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// denseBytes is the size of the heads of many short fields: below net/http's limit as the servers set it.
const denseBytes = 60000

// denseFields returns fields of a head that are as short as distinct names allow.
func denseFields(bytes int) string {
	const digits = "abcdefghijklmnopqrstuvwxyz0123456789"
	var out strings.Builder
	for i := 0; out.Len() < bytes; i++ {
		for n := i; ; n /= len(digits) {
			out.WriteByte(digits[n%len(digits)])
			if n < len(digits) {
				break
			}
		}
		out.WriteString(":\r\n")
	}
	return out.String()
}

// TestCrowdOfUnendedHeads: a head of many short fields takes some twenty times its size while it is parsed, and it was
// kept until the timeout of the header, for any number of connections.
func TestCrowdOfUnendedHeads(t *testing.T) {
	head := "GET /healthz HTTP/1.1\r\nHost: h\r\n" + denseFields(denseBytes)
	crowdTest(t, crowdSize, func(_ target, c net.Conn) { send(c, head) }, allServers...)
}

// TestCrowdOfDenseHeads sends complete heads of many short fields, one after another on each connection.
func TestCrowdOfDenseHeads(t *testing.T) {
	const requests = 4
	head := "GET /healthz HTTP/1.1\r\nHost: h\r\n" + denseFields(denseBytes) + "\r\n"
	crowdTest(t, crowdSize, func(_ target, c net.Conn) {
		for range requests {
			if !send(c, head) || !isOpen(c) {
				return
			}
		}
	}, allServers...)
}

// TestCrowdOfEndlessHeads sends fields, or one line, without an end. What a server does not read of it stays in the kernel,
// which counts as the process's memory.
func TestCrowdOfEndlessHeads(t *testing.T) {
	crowdTest(t, crowdSize, func(_ target, c net.Conn) {
		if send(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n") {
			sendEndlessly(c, "field: "+strings.Repeat("v", 1000)+"\r\n")
		}
	}, allServers...)
}

// TestCrowdOfEndlessLines sends a head of one line that does not end.
func TestCrowdOfEndlessLines(t *testing.T) {
	crowdTest(t, crowdSize, func(_ target, c net.Conn) { sendEndlessly(c, strings.Repeat("x", 1000)) }, allServers...)
}

// TestCrowdOfEndlessBodies sends bodies without an end.
func TestCrowdOfEndlessBodies(t *testing.T) {
	crowdTest(t, crowdSize, func(to target, c net.Conn) {
		if send(c, to.post+"Content-Length: 4000000\r\n\r\n") {
			sendEndlessly(c, strings.Repeat("x", 1000))
		}
	}, allServers...)
}

// TestCrowdOfEndlessChunks sends bodies without an end in chunks of a byte.
func TestCrowdOfEndlessChunks(t *testing.T) {
	crowdTest(t, crowdSize, func(to target, c net.Conn) {
		if send(c, to.post+"Transfer-Encoding: chunked\r\n\r\n") {
			sendEndlessly(c, "1\r\nx\r\n")
		}
	}, allServers...)
}

// TestCrowdOfEmptyLines sends empty lines without an end where a request should come: on new connections, and after a
// request.
func TestCrowdOfEmptyLines(t *testing.T) {
	crowdTest(t, crowdSize, func(_ target, c net.Conn) { sendEndlessly(c, "\r\n") }, allServers...)
	t.Run("after a request", func(t *testing.T) {
		crowdTest(t, crowdSize, func(to target, c net.Conn) {
			if send(c, to.post+"Content-Length: 0\r\n\r\n") {
				isOpen(c)
				sendEndlessly(c, "\r\n")
			}
		}, allServers...)
	})
}

// TestCrowdOfEmptyLinesBehindRequests sends empty lines without an end while an earlier request of the connection is handled.
// They are not read until it has its answer, and the kernel received megabytes of them for each connection.
func TestCrowdOfEmptyLinesBehindRequests(t *testing.T) {
	crowdTest(t, 2*crowdSize, func(to target, c net.Conn) {
		if send(c, to.stream) {
			sendEndlessly(c, "\r\n")
		}
	}, "entry callers")
}

// TestCrowdOfUnreadAnswers sends requests one behind the other and reads no answer.
func TestCrowdOfUnreadAnswers(t *testing.T) {
	crowdTest(t, crowdSize, func(to target, c net.Conn) {
		for range crowdBytes / len(getMetrics) {
			if !send(c, getMetrics) {
				return
			}
		}
	}, allServers...)
}

// getMetrics is a request with a long answer at the servers for operators.
const getMetrics = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"

// TestCrowdOfDistinctValues sends requests of which each names other values: model, host, path, identifiers, and as many parts
// of a prompt as fit into a head. What a process keeps of them must not grow with their number.
func TestCrowdOfDistinctValues(t *testing.T) {
	const requests, parts = 200, 1400
	var count atomic.Uint64
	crowdTest(t, crowdSize, func(to target, c net.Conn) {
		for range requests {
			n := count.Add(1)
			var prefix strings.Builder
			for part := range uint64(parts) {
				_, _ = fmt.Fprintf(&prefix, "%x:1,", n*parts+part)
			}
			path := []string{"/stream/", "/read/", "/other/"}[n%3]
			request := fmt.Sprintf("POST %s%d HTTP/1.1\r\nHost: h%s.example\r\nAttempt-Id: a%d\r\nApi-Key: key\r\nDeadline-Ms: 800\r\nModel: m%d\r\nToken-Counts: 1400,10\r\n"+
				"Prompt-Prefix: %s1:1\r\nTraceparent: 00-%032x-%016x-01\r\nContent-Length: 0\r\n\r\n", path, n, strings.Repeat(strconv.FormatUint(n, 10), int(n%2)), n, n, prefix.String(), n, n)
			if !send(c, request) || !isOpen(c) {
				return
			}
		}
	}, "node callers")
}

// TestCrowdOfIdleConnections opens more connections than the process may have descriptors. Without a limit, the process
// accepts no further caller and can't connect to its upstreams.
func TestCrowdOfIdleConnections(t *testing.T) {
	for _, name := range allServers {
		t.Run(name, func(t *testing.T) {
			to := startTarget(t, name, "ulimit -n 256")
			watch := watchProcess(to.process, to.address)
			crowd := gather(to, crowdSize, func(target, net.Conn) { time.Sleep(sampleInterval) })
			requireOrdinary(t, to)
			crowd.disperse()
			requireOrdinary(t, to)
			watch.stop()
			watch.check(t)
			if watch.peakDescriptors >= crowdDescriptors {
				t.Errorf("the process held all of its %d descriptors", crowdDescriptors)
			}
		})
	}
}
