package gateway

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// newListingServer returns a server with the given number of requests in flight since the time, and the output of its log.
func newListingServer(t testing.TB, out io.Writer, requests int, since time.Time) *Server {
	t.Helper()
	log, err := event.New(out, "info", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	log.SetRate(1)
	s := &Server{config: Config{LogInFlight: true}, log: log, metrics: metrics.NewRegistry()}
	for i := range requests {
		s.inFlight.begin(&Call{ID: fmt.Sprintf("%016x", i), Arrived: since})
	}
	return s
}

// TestRequestsInFlightAreListed: no line of a process that was killed named the requests that it had.
func TestRequestsInFlightAreListed(t *testing.T) {
	const requests = 2*maxListedPerLine + 3
	var out bytes.Buffer
	start := time.Now()
	s := newListingServer(t, &out, requests, start)
	s.listInFlight(start)
	out.Reset()
	s.inFlight.begin(&Call{ID: "new", Arrived: start.Add(inFlightInterval / 2)})
	s.listInFlight(start.Add(inFlightInterval - 1))
	if out.Len() > 0 {
		t.Errorf("a list within the interval: %s", out.String())
	}
	s.listInFlight(start.Add(inFlightInterval + 1))
	text := out.String()
	if n := strings.Count(text, `"event":5035`); n != 3 || !strings.Contains(text, fmt.Sprintf(`"count":%d`, requests+1)) {
		t.Errorf("%d lines: %s", n, text)
	}
	if !strings.Contains(text, `"new"`) {
		t.Error("a request that began since the last list is not listed")
	}
	for i := range requests {
		if !strings.Contains(text, fmt.Sprintf(`"%016x"`, i)) {
			t.Errorf("request %d is not listed", i)
		}
	}
}

// TestListOfRequestsInFlightIsBounded: many requests or long IDs must not fill the log.
func TestListOfRequestsInFlightIsBounded(t *testing.T) {
	var out bytes.Buffer
	start := time.Now()
	s := newListingServer(t, &out, 0, start)
	for range 2 * maxListed {
		s.inFlight.begin(&Call{ID: strings.Repeat("x", 10*maxListedID), Arrived: start.Add(-time.Hour)})
	}
	s.listInFlight(start)
	if n := strings.Count(out.String(), `"event":5035`); n != maxListed/maxListedPerLine {
		t.Errorf("%d lines", n)
	}
	if most := maxListed*(maxListedID+3) + 8000; out.Len() > most {
		t.Errorf("%d bytes, at most %d expected", out.Len(), most)
	}
	out.Reset()
	s.config.LogInFlight = false
	s.listInFlight(start.Add(3 * inFlightInterval))
	if out.Len() > 0 {
		t.Errorf("listed although the setting is off: %s", out.String())
	}
}

// countingOutput counts the bytes that are written to it.
type countingOutput int

// Write implements io.Writer.
func (c *countingOutput) Write(p []byte) (int, error) {
	*c += countingOutput(len(p))
	return len(p), nil
}

// BenchmarkListInFlight measures one list, as it is logged once a second.
func BenchmarkListInFlight(b *testing.B) {
	for _, requests := range []int{30, 300} {
		b.Run(fmt.Sprint(requests), func(b *testing.B) {
			var out countingOutput
			now := time.Now()
			s := newListingServer(b, &out, requests, now.Add(-time.Hour))
			s.inFlightListedAt = now.Add(-time.Minute)
			b.ReportAllocs()
			lists := 0
			for b.Loop() {
				now = now.Add(inFlightInterval)
				s.listInFlight(now)
				lists++
			}
			b.ReportMetric(float64(out)/float64(lists), "log-bytes/op")
		})
	}
}

// BenchmarkReportLost measures the line about a caller that left before it was sent anything.
func BenchmarkReportLost(b *testing.B) {
	var out countingOutput
	s := newListingServer(b, &out, 0, time.Now())
	s.catalog = catalog.NewCache(fixedCatalog{}, s.log, time.Second)
	b.ReportAllocs()
	lines := 0
	for b.Loop() {
		f := s.inFlight.begin(&Call{ID: "9c41d07be2a35f68", Arrived: time.Now()})
		f.sent("i-7f3a91c2", "g9lm54qhd-7", 63)
		s.inFlight.finish(f)
		f.lose(lostEnd{reason: lostCallerLeft, noticed: noticedClosed})
		s.reportLost(f)
		lines++
	}
	b.ReportMetric(float64(out)/float64(lines), "log-bytes/op")
}
