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

// medianOf sends calls from many callers at once and returns the median time.
func medianOf(b *testing.B, url, key string) time.Duration {
	b.Helper()
	const highest = int64(time.Minute)
	histogram := hdrhistogram.New(1, highest, 3)
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
			began := time.Now()
			resp, err := client.Do(req)
			if err != nil {
				b.Error(err)
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Errorf("answered %d", resp.StatusCode)
				return
			}
			mu.Lock()
			_ = histogram.RecordValue(int64(time.Since(began)))
			mu.Unlock()
		}
	})
	return time.Duration(histogram.ValueAtQuantile(50))
}

// BenchmarkPlainCall compares a plain call through an entry with the same call
// straight to the stand-in, 64 callers at once, alternating in one run.
func BenchmarkPlainCall(b *testing.B) {
	sh := smallShape()
	sh.nodes = 1
	sh.plains = 1
	sh.tune = "log:level = info"
	s := newSite(b, sh)
	s.load(sh.domains, 4, 1)
	direct := "http://" + s.vms["obuda-tiles-1"].member.Address + "/x"
	through := s.url(s.nodes[0], "/services/tiles/x")
	medianOf(b, through, teamKey)
	var straight, entry time.Duration
	b.ResetTimer()
	for range b.N {
		straight += medianOf(b, direct, teamKey)
		entry += medianOf(b, through, teamKey)
	}
	b.ReportMetric(float64((entry-straight).Microseconds())/1000/float64(b.N), "ms-added")
	b.ReportMetric(float64(entry)/float64(straight), "times-direct")
}
