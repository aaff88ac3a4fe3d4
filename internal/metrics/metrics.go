// Package metrics serves a go-metrics registry as JSON and in the Prometheus
// text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Registry holds the metrics of one process.
type Registry struct {
	inner gometrics.Registry
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{inner: gometrics.NewRegistry()}
}

// Count adds n to the counter.
func (r *Registry) Count(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, r.inner).Inc(n)
}

// Set sets the gauge to v.
func (r *Registry) Set(name string, v int64) {
	gometrics.GetOrRegisterGauge(name, r.inner).Update(v)
}

// Observe records a duration in the timer.
func (r *Registry) Observe(name string, d time.Duration) {
	gometrics.GetOrRegisterTimer(name, r.inner).Update(d)
}

// Counter returns the value of a counter, which is zero if it was never used.
func (r *Registry) Counter(name string) int64 {
	return gometrics.GetOrRegisterCounter(name, r.inner).Count()
}

// ServeHTTP serves the metrics in the Prometheus text format, or JSON with ?format=json.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Query().Get("format") == "json" {
		w.Header().Set("Content-Type", "application/json")
		gometrics.WriteJSONOnce(r.inner, w)
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	r.writePrometheus(w)
}

var quantiles = []float64{0.5, 0.95, 0.99}

func (r *Registry) writePrometheus(w io.Writer) {
	byName := make(map[string]any)
	var names []string
	r.inner.Each(func(name string, m any) {
		byName[name] = m
		names = append(names, name)
	})
	sort.Strings(names)
	for _, name := range names {
		writeMetric(w, prometheusName(name), byName[name])
	}
}

func writeMetric(w io.Writer, name string, metric any) {
	switch m := metric.(type) {
	case gometrics.Counter:
		_, _ = fmt.Fprintf(w, "# TYPE %s counter\n%s %d\n", name, name, m.Count())
	case gometrics.Gauge:
		_, _ = fmt.Fprintf(w, "# TYPE %s gauge\n%s %d\n", name, name, m.Value())
	case gometrics.Timer:
		s := m.Snapshot()
		_, _ = fmt.Fprintf(w, "# TYPE %s_seconds summary\n", name)
		for i, v := range s.Percentiles(quantiles) {
			_, _ = fmt.Fprintf(w, "%s_seconds{quantile=\"%g\"} %g\n", name, quantiles[i], v/float64(time.Second))
		}
		_, _ = fmt.Fprintf(w, "%s_seconds_sum %g\n", name, float64(s.Sum())/float64(time.Second))
		_, _ = fmt.Fprintf(w, "%s_seconds_count %d\n", name, s.Count())
	}
}

func prometheusName(name string) string {
	return "marbleroad_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}
