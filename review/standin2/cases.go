package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// settle is how long a case waits for what may still come.
	settle = time.Second
	// keptPause is how long a client leaves a kept connection idle.
	keptPause = 100 * time.Millisecond
)

// plainSite starts one node before three upstreams of a plain service, the first in the given mode, with a non-idempotent
// and an idempotent route to it.
func plainSite(r *rig, mode string) (*node, error) {
	r.configure([]any{plainService("tile-api")},
		map[string]any{"path-prefix": "/manifest/", "kind": "non_idempotent", "timeout-ms": 4000, "slo-ms": 300, "priority": 2, "service": "tile-api", "attempts": 2, "public": false},
		map[string]any{"path-prefix": "/legend/", "kind": "idempotent", "timeout-ms": 4000, "slo-ms": 300, "priority": 2, "service": "tile-api", "attempts": 2, "public": false})
	for i, ip := range []string{"127.0.82.1", "127.0.82.2", "127.0.82.3"} {
		if i > 0 {
			mode = modePlain
		}
		if _, err := r.startUpstream(fmt.Sprintf("i-tile-%d", i+1), "tile-api", ip, mode); err != nil {
			return nil, err
		}
	}
	return r.startNode("front-csepel-1", "127.0.83.1")
}

// request returns the head of a request with the given further fields, each with its line end.
func request(method, path, id, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\nApi-Key: %s\r\n%s\r\n", method, path, host, id, key, fields)
}

// callOnce sends a request on a new connection, as clients do, and returns the status; 0 without an answer.
func callOnce(n *node, method, path, id string) (int, error) {
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	if _, err := io.WriteString(c, request(method, path, id, "")); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// warmUp sends requests until one is served.
func warmUp(r *rig, n *node) error {
	for i := range 40 {
		if status, err := callOnce(n, "GET", "/legend/warm-up", fmt.Sprintf("warm-up-%d", i)); err == nil && status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("no request is served")
}

// smuggled sends, twice, a request whose body holds another request by its length, and ends before that one by its chunks.
// The trouble is what comes before it on its connection.
func smuggled(r *rig) (bool, error) {
	n, err := plainSite(r, modePlain)
	if err != nil {
		return false, err
	}
	if err := warmUp(r, n); err != nil {
		return false, err
	}
	if err := smuggle(r, n, "lines", afterEmptyLines); err != nil {
		return false, err
	}
	if err := smuggle(r, n, "parts", inTwoParts); err != nil {
		return false, err
	}
	time.Sleep(settle)
	ran := 0
	for _, variant := range []string{"lines", "parts"} {
		count := r.runsOf("hidden-" + variant)
		r.note("the request that was hidden in the body of outer-%s has run %d times", variant, count)
		ran += count
	}
	return ran > 0, nil
}

// afterEmptyLines sends a first request and, once that is answered, two empty lines and then the outer one.
func afterEmptyLines(first, outer string) (once, answered string) { return first, "\r\n\r\n" + outer }

// inTwoParts sends a first request together with the first lines of the outer one, and the rest once the first is answered.
func inTwoParts(first, outer string) (once, answered string) {
	cut := strings.Index(outer, "Transfer-Encoding")
	return first + outer[:cut], outer[cut:]
}

// smuggle sends a first request and an outer one on one connection, in the parts that arrange returns: what is sent at once,
// and what is sent when the first is answered. Without the trouble, the outer one is sent in one piece after the answer.
func smuggle(r *rig, n *node, variant string, arrange func(first, outer string) (once, answered string)) error {
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	hidden := request("POST", "/manifest/hidden", "hidden-"+variant, "Content-Length: 0\r\n")
	body := "0\r\n\r\n" + hidden
	first := request("POST", "/manifest/1", "first-"+variant, "Content-Length: 4\r\n") + "body"
	outer := request("POST", "/manifest/2", "outer-"+variant, fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(body))) + body
	once, answered := first, outer
	if r.trouble {
		once, answered = arrange(first, outer)
	}
	r.note("client: sends %q", once)
	if _, err := io.WriteString(c, once); err != nil {
		return err
	}
	answers := bufio.NewReader(c)
	resp, err := http.ReadResponse(answers, nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the first request was not served: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	// A client uses a kept connection again some time later.
	time.Sleep(keptPause)
	r.note("client: gets %d for %q, and sends %q", resp.StatusCode, resp.Header.Get("Attempt-Id"), answered)
	if _, err := io.WriteString(c, answered); err != nil {
		return err
	}
	for !resp.Close {
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		resp, err = http.ReadResponse(answers, nil)
		if err != nil {
			r.note("client: no further answer: %v", err)
			return nil
		}
		text, _ := io.ReadAll(resp.Body)
		r.note("client: gets %d for %q: %q", resp.StatusCode, resp.Header.Get("Attempt-Id"), text)
	}
	return nil
}

// unsealed sends requests of an idempotent route. The trouble is one upstream that spoils a byte in part of its answers.
func unsealed(r *rig) (bool, error) {
	n, err := plainSite(r, r.mode(modeSpoiling))
	if err != nil {
		return false, err
	}
	if err := warmUp(r, n); err != nil {
		return false, err
	}
	const clients, calls, pause = 10, 80, 55 * time.Millisecond
	answers := make(chan string, clients*calls)
	var running sync.WaitGroup
	for client := range clients {
		running.Go(func() { callOften(n, client, calls, pause, answers) })
	}
	running.Wait()
	close(answers)
	count, broken := 0, 0
	for a := range answers {
		count++
		if a != "" {
			broken++
			r.note("client: %s", a)
		}
	}
	r.note("%d answers were successes, %d of them without Response-Seal", count, broken)
	return broken > 0, nil
}

// callOften sends calls on one connection, and writes what is wrong with each success to answers; nothing if nothing is.
func callOften(n *node, client, calls int, pause time.Duration, answers chan<- string) {
	c, err := net.Dial("tcp", n.front)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for i := range calls {
		id := fmt.Sprintf("read-%d-%d", client, i)
		_ = c.SetDeadline(time.Now().Add(4 * time.Second))
		if _, err := io.WriteString(c, request("GET", "/legend/1", id, "")); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		text, _ := io.ReadAll(resp.Body)
		if resp.StatusCode/percent == 2 {
			wrong := ""
			if resp.Header.Get("Response-Seal") == "" {
				wrong = fmt.Sprintf("request %s is answered %d without Response-Seal: %q, head %v", id, resp.StatusCode, text, resp.Header)
			}
			answers <- wrong
		}
		if resp.Close {
			return
		}
		time.Sleep(pause)
	}
}

// cut reads streams while their upstream leaves.
func cut(r *rig) (bool, error) {
	r.configure([]any{plainService("bulletins")},
		map[string]any{"path-prefix": "/bulletin/", "kind": "streaming", "timeout-ms": 8000, "slo-ms": 500, "gap-slo-ms": 300, "priority": 1,
			"service": "bulletins", "attempts": 2, "public": false, "sticky": true, "resumable": true})
	var all []*upstream
	for i, ip := range []string{"127.0.82.1", "127.0.82.2"} {
		u, err := r.startUpstream(fmt.Sprintf("i-bull-%d", i+1), "bulletins", ip, modeStream)
		if err != nil {
			return false, err
		}
		all = append(all, u)
	}
	n, err := r.startNode("front-csepel-1", "127.0.83.1")
	if err != nil {
		return false, err
	}
	time.Sleep(settle)
	const streams = 6
	results := make(chan streamResult, streams)
	for i := range streams {
		go func() { results <- readStream(n, fmt.Sprintf("stream-%d", i)) }()
	}
	time.Sleep(time.Second)
	leaving := all[0]
	leaving.drain()
	time.Sleep(2 * time.Second)
	if r.trouble {
		leaving.kill()
		leaving.leave()
	}
	broken := 0
	for range streams {
		s := <-results
		r.note("client: %s is answered %d and has %d of %d events, last %d; the answer ends as complete: %t (%v)", s.id, s.status, s.events, streamEvents, s.last, s.whole, s.err)
		if s.status == http.StatusOK && s.whole && (s.events != streamEvents || s.last != streamEvents) {
			broken++
		}
	}
	r.note("%d streams ended as complete before their last piece", broken)
	return broken > 0, nil
}

// streamResult is what a client has of a stream.
type streamResult struct {
	id           string
	status       int
	events, last int
	whole        bool
	err          error
}

func readStream(n *node, id string) streamResult {
	out := streamResult{id: id}
	c, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	head := strings.Replace(request("POST", "/bulletin/hail", id, "Content-Length: 0\r\n"), "Deadline-Ms: 4000", "Deadline-Ms: 8000", 1)
	if _, err := io.WriteString(c, head); err != nil {
		out.err = err
		return out
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		out.err = err
		return out
	}
	out.status = resp.StatusCode
	framed := len(resp.TransferEncoding) > 0 || resp.ContentLength >= 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		var event int
		if _, err := fmt.Sscanf(lines.Text(), "id: %d", &event); err == nil {
			out.events, out.last = out.events+1, event
		}
	}
	out.err = lines.Err()
	out.whole = out.err == nil && framed
	return out
}

// crowded opens connections until the node has as many as it takes, and then calls as an ordinary client.
func crowded(r *rig) (bool, error) {
	n, err := plainSite(r, modePlain)
	if err != nil {
		return false, err
	}
	if err := warmUp(r, n); err != nil {
		return false, err
	}
	return crowd(r, n)
}
