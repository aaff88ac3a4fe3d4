package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// callers sends requests to the ready nodes over persistent connections until the run ends.
type callers struct {
	testbed *testbed
	next    atomic.Int64
	// surges and disconnects count the active faults that add callers or make callers disconnect
	// early.
	surges      atomic.Int32
	disconnects atomic.Int32
	// crowded is one more than the number of the node that gets most new connections; 0 for none.
	crowded atomic.Int32
	done    sync.WaitGroup
}

func newCallers(tb *testbed) *callers { return &callers{testbed: tb} }

// adjustLoad starts (1) or ends (-1) a load surge or a period of early disconnects.
func (c *callers) adjustLoad(k Kind, by int32) {
	if k == CallersDisconnect {
		c.disconnects.Add(by)
		return
	}
	if c.surges.Add(by) == 1 && by == 1 {
		c.startSurge()
	}
}

// startSurge starts additional callers, which stop when the last surge ends.
func (c *callers) startSurge() {
	for i := range surgeFactor * c.testbed.config.callers {
		c.done.Go(func() {
			random := rand.New(rand.NewPCG(c.testbed.seed, uint64(1000+i)))
			client := newClient()
			defer client.CloseIdleConnections()
			for c.surges.Load() > 0 {
				time.Sleep(max(c.sendRequest(random, client), minSurgePause))
			}
		})
	}
}

const (
	// surgeFactor is the number of additional callers of a surge per ordinary caller.
	surgeFactor = 4
	// minSurgePause is the minimum time between two requests of an additional caller: rejections
	// arrive within a millisecond, and hundreds of callers without a pause overload the machine.
	minSurgePause = 200 * time.Millisecond
)

// newClient returns a transport with persistent connections. The requests have no GetBody, so that
// net/http does not send one twice.
func newClient() *http.Transport {
	return &http.Transport{MaxIdleConnsPerHost: 2, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
}

// meanPause is the mean time between two requests of one caller.
const meanPause = 60 * time.Millisecond

// run starts the callers. They stop when the context is canceled; done waits for them.
func (c *callers) run(ctx context.Context, number int) {
	for i := range number {
		c.done.Go(func() { c.loop(ctx, rand.New(rand.NewPCG(c.testbed.seed, uint64(i)))) })
	}
	c.done.Go(func() { c.sendSmuggled(ctx) })
	c.done.Go(func() { c.sendBeside(ctx) })
}

func (c *callers) loop(ctx context.Context, random *rand.Rand) {
	client := newClient()
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		retryAfter := c.sendRequest(random, client)
		pause := meanPause/2 + time.Duration(random.Int64N(int64(meanPause)))
		// The caller ignores one Retry-After in five.
		if retryAfter > pause && random.IntN(5) > 0 {
			pause = min(retryAfter, 2*time.Second)
		}
		time.Sleep(pause)
	}
}

// sendRequest sends one random request and returns the Retry-After of its response.
func (c *callers) sendRequest(random *rand.Rand, client *http.Transport) time.Duration {
	n := c.pickNode(random)
	if c.crowded.Load() > 0 {
		// Callers open connections more often while the balancer crowds a node.
		client.CloseIdleConnections()
	}
	ready, incarnation := n.readyIncarnation()
	if !ready {
		return 0
	}
	a := call{id: fmt.Sprintf("r-%d", c.next.Add(1)), node: n.number, incarnation: incarnation, class: c.pickClass(random)}
	path, key := c.target(random, &a)
	if path == "" {
		return 0
	}
	a.key = key
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout+2*time.Second)
	defer cancel()
	// The caller disconnects early from 5 % of the streams, and from 35 % during CallersDisconnect.
	if a.class == streamRequest && random.IntN(20) < 1+6*min(int(c.disconnects.Load()), 1) {
		timer := time.AfterFunc(50*time.Millisecond+time.Duration(random.IntN(400))*time.Millisecond, cancel)
		defer timer.Stop()
	}
	retryAfter := c.send(ctx, client, n, path, &a)
	a.finished = time.Now()
	if errors.Is(ctx.Err(), context.Canceled) {
		a.disconnectedAt = a.finished
	}
	c.testbed.history.recordCall(a)
	return retryAfter
}

// pickClass picks a class at random: 60 % streams, 15 % reads, 15 % writes and 10 % route probes.
func (c *callers) pickClass(random *rand.Rand) class {
	switch draw := random.IntN(20); {
	case draw < 12:
		return streamRequest
	case draw < 15:
		return idempotentRead
	case draw < 18:
		return nonIdempotentWrite
	}
	return routeProbe
}

// target returns the path and the key of a request, and sets the call's number of events and its
// version. The path is empty for a route probe while no route was added.
func (c *callers) target(random *rand.Rand, a *call) (path, key string) {
	tb := c.testbed
	tb.mu.Lock()
	defer tb.mu.Unlock()
	key = tb.keys[random.IntN(len(tb.keys))]
	if len(tb.revoked) > 0 && random.IntN(20) == 0 {
		key = tb.revoked[random.IntN(len(tb.revoked))]
	}
	a.events = streamEvents
	switch a.class {
	case streamRequest:
		path = "/stream/" + a.id
		a.promptParts = promptParts(a.id, sharedPart(random.IntN(sharedParts)))
		if random.IntN(longStreamFrequency) == 0 {
			a.events = longStreamEvents
			path = fmt.Sprintf("%s?%s=%d", path, groupengine.EventsQuery, longStreamEvents)
		}
		return path, key
	case routeProbe:
		if len(tb.routes) == 0 {
			return "", ""
		}
		a.version = tb.routes[random.IntN(len(tb.routes))]
		return fmt.Sprintf("/new-%d/%s", a.version, a.id), key
	default:
		return "/" + a.class.String() + "/" + a.id, key
	}
}

// send sends the request, records its response in the call, and returns the Retry-After of a response
// other than 200.
func (c *callers) send(ctx context.Context, client *http.Transport, n *node, path string, a *call) time.Duration {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.testbed.addr(roleNode, n.number, listenPort)+path, strings.NewReader("body of "+a.bodyName()))
	if err != nil {
		c.testbed.recordError(err)
		return 0
	}
	req.GetBody = nil
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": a.id, "Api-Key": a.key, "Deadline-Ms": strconv.FormatInt(callerTimeout.Milliseconds(), 10), "Model": "m",
		"Token-Counts": "200,50"} {
		req.Header.Set(name, value)
	}
	if a.promptParts != "" {
		req.Header.Set("Prompt-Prefix", a.promptParts)
	}
	a.sent = time.Now()
	resp, err := client.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	answer := &pacedReader{from: resp.Body, deadline: a.sent.Add(callerTimeout)}
	a.status = resp.StatusCode
	if echo := resp.Header.Get("Attempt-Id"); echo != "" && echo != a.id {
		a.problem = "the response belongs to request " + echo
	}
	if resp.StatusCode != http.StatusOK {
		text, err := readAnswer(answer)
		a.complete, a.ended = err == nil, err == nil
		a.refusal, _, _ = strings.Cut(string(text), ":")
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return time.Duration(seconds * float64(time.Second))
	}
	if a.class == streamRequest {
		readStream(answer, a)
		return 0
	}
	body, err := readAnswer(answer)
	a.complete, a.ended = err == nil, err == nil
	if a.complete && !slices.Contains(servicesOf(a.class), strings.TrimSuffix(strings.TrimPrefix(string(body), "answer of "), " to "+path)) {
		a.wrongContent("body is %.200q, want that of %v to %s", body, servicesOf(a.class), path)
	}
	return 0
}

// wrongContent records that the content of a response is not the caller's, unless another problem was found before.
func (a *call) wrongContent(format string, args ...any) {
	if a.problem == "" {
		a.problem, a.onlyContent = fmt.Sprintf(format, args...), true
	}
}

// readStream reads the events of a response to its end. It records whether all of them arrived, and what was wrong with
// them.
func readStream(r io.Reader, a *call) {
	next, ok := 1, true
	wrong := func(format string, args ...any) {
		ok = false
		a.wrongContent(format, args...)
	}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		if id, isID := strings.CutPrefix(lines.Text(), "id: "); isID {
			if id != strconv.Itoa(next) {
				wrong("received event %s, want %d", id, next)
			}
			next++
		}
		if data, isData := strings.CutPrefix(lines.Text(), "data: "); isData && !strings.HasPrefix(data, a.id+" ") {
			wrong("event %d has data %q", next-1, data)
		}
	}
	err := lines.Err()
	if errors.Is(err, bufio.ErrTooLong) {
		wrong("a line has more than %d bytes", bufio.MaxScanTokenSize)
		_, err = io.Copy(io.Discard, r)
	}
	a.ended = err == nil
	if a.ended && next != a.events+1 {
		wrong("the stream ended without an error after %d events", next-1)
	}
	a.complete = a.ended && ok
}

// smuggledRequests are malformed requests that hide a second one or are truncated; no upstream may
// receive either.
var smuggledRequests = []string{
	"POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: smuggled-a\r\nApi-Key: key-7\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST /read/y HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: smuggled-b\r\nApi-Key: key-7\r\nContent-Length: 0\r\n\r\n",
	"POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: smuggled-c\r\nContent-Length: 1\r\nContent-Length: 30\r\n\r\nx",
	"POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: smuggled-d\r\nApi-Key: key-7\r\nContent-Length: 50\r\n\r\ncut off",
	"POST /read/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id : smuggled-e\r\nApi-Key: key-7\r\nContent-Length: 0\r\n\r\n",
}

const smuggleInterval = 700 * time.Millisecond

func (c *callers) sendSmuggled(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(smuggleInterval)
		conn, err := net.DialTimeout("tcp", c.testbed.addr(roleNode, i%len(c.testbed.nodes), listenPort), time.Second)
		if err != nil {
			continue
		}
		_, _ = io.WriteString(conn, smuggledRequests[i%len(smuggledRequests)])
		time.Sleep(50 * time.Millisecond)
		_ = conn.Close()
	}
}
