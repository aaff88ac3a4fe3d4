package main

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
)

// The services: one of models, a plain one, and another plain one that some versions send a part of its requests to.
const (
	modelService = "llm"
	plainService = "api"
	splitService = "api-b"
	// splitVMs is the number of VMs of splitService.
	splitVMs = 1
)

// configurationCollection is the store's collection that holds the configuration.
const configurationCollection = "config"

// servicesOf returns the services that some version lets run the requests of a class.
func servicesOf(c class) []string {
	switch c {
	case streamRequest:
		return []string{modelService}
	case routeProbe:
		return []string{plainService}
	}
	return []string{plainService, splitService}
}

// variant is what versions of the configuration change beside routes and keys.
type variant struct {
	// streamTimeout and plainTimeout are the routes' time-outs; zero for callerTimeout.
	streamTimeout, plainTimeout time.Duration
	// splitWeight is how many of 100 requests of the plain routes go to splitService.
	splitWeight int
	// bulkRoutes is the number of routes that no caller uses.
	bulkRoutes int
}

// variants follow each other while the configuration changes. Time-outs only get longer than the callers' for streams,
// and are far longer than the service time for plain requests.
var variants = []variant{
	{streamTimeout: 8 * time.Second, plainTimeout: 3 * time.Second},
	{splitWeight: 30},
	{splitWeight: 60, bulkRoutes: 2000},
	{streamTimeout: 6 * time.Second, splitWeight: 10, bulkRoutes: 2000},
	{bulkRoutes: 50},
	{plainTimeout: 4 * time.Second, splitWeight: 50},
}

// variantInterval is the time between two versions while the configuration changes.
const variantInterval = 400 * time.Millisecond

// changeConfiguration writes one version after the other, each with another variant and a new route, for the fault's
// duration, and then one with none.
func (tb *testbed) changeConfiguration(f Fault) {
	for i, from := 0, time.Now(); time.Since(from) < f.For; i++ {
		tb.setVariant(variants[(f.Target+i)%len(variants)])
		tb.addRoute()
		select {
		case <-tb.stopped:
			return
		case <-time.After(variantInterval):
		}
	}
	tb.setVariant(variant{})
	tb.addRoute()
}

func (tb *testbed) setVariant(v variant) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.variant = v
}

// bulkNameBytes makes a version with 2,000 such routes some 700 kB long.
const bulkNameBytes = 60

// putConfiguration writes a new version of the configuration as an operator does. revoked is the
// key that the version removes, or empty.
func (tb *testbed) putConfiguration(revoked string) {
	tb.configurationWrite.Lock()
	defer tb.configurationWrite.Unlock()
	tb.mu.Lock()
	tb.version++
	version := tb.version
	tb.mu.Unlock()
	tb.store.Put(configurationCollection, "main", tb.configuration(version))
	tb.history.recordVersion(acceptedVersion{version: version, at: time.Now(), revokedKey: revoked})
}

// configuration returns a version of the configuration as it is stored.
func (tb *testbed) configuration(version int) map[string]any {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	route := func(prefix, kind, service string, timeout time.Duration) map[string]any {
		return map[string]any{"name": prefix, "host": "h.example", "path-prefix": prefix, "kind": kind, "timeout-ms": cmp.Or(timeout, callerTimeout).Milliseconds(),
			"slo-ms": 1000, "gap-slo-ms": 500, "service": service, "attempts": maxAttempts, "resumable": kind == "streaming"}
	}
	splitRoute := func(prefix, kind string) map[string]any {
		r := route(prefix, kind, plainService, tb.variant.plainTimeout)
		if weight := tb.variant.splitWeight; weight > 0 {
			delete(r, "service")
			r["split"] = []any{map[string]any{"service": plainService, "weight": 100 - weight}, map[string]any{"service": splitService, "weight": weight}}
		}
		return r
	}
	routes := []any{route("/stream/", "streaming", modelService, tb.variant.streamTimeout), splitRoute("/read/", "idempotent"), splitRoute("/write/", "non_idempotent")}
	for _, v := range tb.routes {
		routes = append(routes, route(fmt.Sprintf("/new-%d/", v), "idempotent", plainService, 0))
	}
	for i := range tb.variant.bulkRoutes {
		routes = append(routes, route(fmt.Sprintf("/bulk-%d/%s/", i, strings.Repeat("x", bulkNameBytes)), "idempotent", plainService, 0))
	}
	return map[string]any{
		"version": version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": modelService, "health-path": groupengine.HealthPath, "engine": map[string]any{"slots": engineSlots, "step_ms": 6, "per_seq_ms": 0.2, "read_per_s": 46000, "loads_at_once": 6,
				"usual": map[string]any{"prompt": 1000, "answer": 100}, "form-ms": 10,
				"models": []any{map[string]any{"name": "m", "size": groupSize, "share": 1, "pace": 1, "load-s": loadTime.Seconds(), "warm-s": loadTime.Seconds()}}},
				"cold-start-s": warmupTime.Seconds(), "cold-per-s": warmupRate},
			map[string]any{"name": plainService},
			map[string]any{"name": splitService},
		},
		"limits":  map[string]any{"idle-timeout-ms": idleTimeout.Milliseconds(), "header-timeout-ms": headerTimeout.Milliseconds()},
		"tenants": []any{map[string]any{"name": "team", "api-keys": append([]string(nil), tb.keys...)}},
	}
}
