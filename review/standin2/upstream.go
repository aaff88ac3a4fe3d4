package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Modes of an upstream.
const (
	// modePlain answers each request at once.
	modePlain = "plain"
	// modeStream answers with a stream of events that has neither a length nor chunks and ends with its connection.
	modeStream = "stream"
	// modeSpoiling spoils one byte in the heads of spoilingPercent of its answers.
	modeSpoiling = "spoiling"
)

const (
	// spoilingPercent is the dose of garble in the site file.
	spoilingPercent = 2
	percent         = 100
)

// answered counts the answers of this process.
var answered atomic.Int64

// due reports whether the given percentage of the answers includes this one, at even distances.
func due(share int64) bool {
	n := answered.Add(1)
	return n*share/percent != (n-1)*share/percent
}

const (
	streamEvents   = 27
	streamInterval = 200 * time.Millisecond
)

// reporter writes what an upstream does to its standard output.
type reporter struct{ mu sync.Mutex }

func (p *reporter) report(kind string, r *http.Request, target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line, _ := json.Marshal(map[string]string{"Kind": kind, "ID": r.Header.Get("Attempt-Id"), "Target": target, "Team": r.Header.Get("Tenant")})
	_, _ = fmt.Println(string(line))
}

// upstreamMain runs an upstream: ID, address, mode.
func upstreamMain(args []string) int {
	id, address, mode := args[0], args[1], args[2]
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, "upstream:", err)
		return exitNotRun
	}
	_, _ = fmt.Println("listening")
	reports := &reporter{}
	_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != id {
			w.Header().Set("Instance-Id", id)
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if r.Header.Get("Attempt-Id") == "" {
			answerOwn(w, r, id)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		reports.report("run", r, r.Method+" "+r.RequestURI+" with "+strconv.Itoa(len(body))+" bytes")
		answer(w, r, mode, body, reports)
	}))
	return exitNotRun
}

// answerOwn answers health checks and requests for a report.
func answerOwn(w http.ResponseWriter, r *http.Request, id string) {
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", id)
	case "/-/report":
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"stage":"colocated","models":[],"busy":false,"seq":0,"queued":0,"active":0,"kv-used":0,"kv-total":0,"handles":0}`)
	default:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	}
}

func answer(w http.ResponseWriter, r *http.Request, mode string, body []byte, reports *reporter) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Seal", "seal."+id)
	switch {
	case mode == modeStream:
		stream(w, r, reports)
		return
	case mode == modeSpoiling && due(spoilingPercent):
		reports.report("answer", r, "200, one byte of the head is wrong")
		w.Header().Del("Response-Seal")
		w.Header().Set("Response-Sea1", "seal."+id)
	default:
		reports.report("answer", r, "200")
	}
	_, _ = fmt.Fprintf(w, "%s %s has %d bytes\n", r.Method, r.RequestURI, len(body))
}

// stream sends the events after Last-Event-Id, in an answer without a length or chunks.
func stream(w http.ResponseWriter, r *http.Request, reports *reporter) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n",
		r.Header.Get("Attempt-Id"), r.Header.Get("Attempt-Id"))
	for event := last + 1; event <= streamEvents; event++ {
		_, _ = fmt.Fprintf(buffered, "id: %d\ndata: part %d of %d\n\n", event, event, streamEvents)
		if buffered.Flush() != nil {
			return
		}
		if event < streamEvents {
			time.Sleep(streamInterval)
		}
	}
	reports.report("answer", r, "the whole stream")
}
