package gateway_test

import (
	"io"
	"net/http"
	"sort"
	"testing"
	"time"
)

// BenchmarkAddedLatency sends plain calls alternately to a stand-in VM and through the gateway, one at a
// time, and reports both medians and their ratio.
func BenchmarkAddedLatency(b *testing.B) {
	s := newTestSite(b, options{})
	direct := s.addresses["plain-0"]
	var gatewayTimes, directTimes []float64
	for b.Loop() {
		directTimes = append(directTimes, timeCall(b, direct))
		gatewayTimes = append(gatewayTimes, timeCall(b, s.url))
	}
	sort.Float64s(directTimes)
	sort.Float64s(gatewayTimes)
	mid := len(directTimes) / 2
	b.ReportMetric(directTimes[mid], "direct-us")
	b.ReportMetric(gatewayTimes[mid], "gateway-us")
	b.ReportMetric(gatewayTimes[mid]/directTimes[mid], "ratio")
}

func timeCall(b *testing.B, url string) float64 {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	req.URL.Opaque = "/read/x"
	req.Host = "h.example"
	for name, value := range map[string]string{"Attempt-Id": "r1", "Api-Key": "key", "Deadline-Ms": "8000"} {
		req.Header.Set(name, value)
	}
	startedAt := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return float64(time.Since(startedAt).Microseconds())
}
