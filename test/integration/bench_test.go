package integration

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	benchCallers = 64
	benchCalls   = 200
)

// medianLatency sends requests from concurrent callers and returns the median latency.
func medianLatency(b *testing.B, url, key string) time.Duration {
	b.Helper()
	const maxLatency = int64(time.Minute)
	histogram := hdrhistogram.New(1, maxLatency, 3)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	var mu sync.Mutex
	parallel(benchCallers, func(int) {
		for range benchCalls {
			req, err := http.NewRequest(http.MethodGet, url, nil)
			if err != nil {
				b.Error(err)
				return
			}
			req.Header.Set("Authorization", "Bearer "+key)
			start := time.Now()
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("status %d", resp.StatusCode)
				return
			}
			mu.Lock()
			_ = histogram.RecordValue(int64(time.Since(start)))
			mu.Unlock()
		}
	})
	return time.Duration(histogram.ValueAtQuantile(50))
}

// BenchmarkPlainCall compares plain requests through an entry with the same requests sent directly to the
// stand-in, in alternating rounds of 64 concurrent callers.
func BenchmarkPlainCall(b *testing.B) {
	topo := smallTopology()
	topo.nodes = 1
	topo.plains = 1
	topo.overrides = "log:level = info"
	s := newDeployment(b, topo)
	s.loadTables(topo.domains, 4, 1)
	directURL := "http://" + s.vms["obuda-tiles-1"].member.Address + "/x"
	entryURL := s.url(s.nodes[0], "/services/tiles/x")
	medianLatency(b, entryURL, teamKey)
	var directTime, entryTime time.Duration
	b.ResetTimer()
	for range b.N {
		directTime += medianLatency(b, directURL, teamKey)
		entryTime += medianLatency(b, entryURL, teamKey)
	}
	b.ReportMetric(float64((entryTime-directTime).Microseconds())/1000/float64(b.N), "ms-added")
	b.ReportMetric(float64(entryTime)/float64(directTime), "times-direct")
}
