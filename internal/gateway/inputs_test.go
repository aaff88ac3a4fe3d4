package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	adapter "github.com/marbleroad/marbleroad/platform"
)

// gate delays the first read of a source.
type gate chan struct{}

// wait returns platform.ErrUnavailable while the gate is closed.
func (g gate) wait(ctx context.Context) error {
	select {
	case <-g:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(5 * time.Millisecond):
		return platform.ErrUnavailable
	}
}

// gatedList is the platform's list, which can be read once the gate is open.
type gatedList struct {
	fleet.Source
	gate gate
}

// List implements fleet.Source.
func (l gatedList) List(ctx context.Context, newerThan uint64) (fleet.WatchResult, error) {
	if err := l.gate.wait(ctx); err != nil {
		return fleet.WatchResult{}, err
	}
	return l.Source.List(ctx, newerThan)
}

// gatedConfiguration returns an older configuration, unproven, once the first gate is open, and the platform's once the second
// one is.
type gatedConfiguration struct {
	catalog.Source
	older         *catalog.Catalog
	olderGate     gate
	configuration gate
}

// Current implements catalog.Source.
func (c gatedConfiguration) Current(ctx context.Context, newerThan uint64) (catalog.WatchResult, error) {
	if err := c.configuration.wait(ctx); err == nil {
		return c.Source.Current(ctx, newerThan)
	}
	if err := c.olderGate.wait(ctx); err != nil {
		return catalog.WatchResult{}, err
	}
	return catalog.WatchResult{Catalog: c.older, Revision: 1, VerifiedAt: time.Now(), Unproven: true}, nil
}

// Changed implements catalog.Source.
func (c gatedConfiguration) Changed(ctx context.Context, revision uint64, wait time.Duration) (catalog.WatchResult, error) {
	if err := c.configuration.wait(ctx); err != nil {
		return catalog.WatchResult{}, platform.ErrCompacted
	}
	if revision <= 1 {
		return c.Source.Current(ctx, revision)
	}
	return c.Source.Changed(ctx, revision, wait)
}

// gatewayStart is a gateway whose inputs arrive one by one.
type gatewayStart struct {
	*testSite
	gates   map[string]gate
	arrived map[string]bool
}

// startGateway starts a gateway none of whose inputs are there. The older configuration lacks a route and a key of the newest.
func startGateway(t *testing.T) *gatewayStart {
	o := &gatewayStart{gates: make(map[string]gate), arrived: make(map[string]bool)}
	for _, input := range []string{"list", "older", "configuration"} {
		o.gates[input] = make(gate)
	}
	spec := `{"version":1,"routes":[{"name":"none","host":"h.example","path-prefix":"/none/","kind":"idempotent","timeout-ms":8000,"service":"api"}],"services":[{"name":"api"}],"tenants":[]}`
	older, err := adapter.DecodeConfiguration([]byte(spec))
	if err != nil {
		t.Fatal(err)
	}
	o.testSite = newTestSite(t, options{
		revokeBound: time.Minute, changeBound: time.Minute,
		list: func(s fleet.Source) fleet.Source { return gatedList{s, o.gates["list"]} },
		configuration: func(s catalog.Source) catalog.Source {
			return gatedConfiguration{s, older, o.gates["older"], o.gates["configuration"]}
		},
	})
	o.store.Put("config", "main", configuration(2))
	return o
}

// arrive delivers an input.
func (o *gatewayStart) arrive(t *testing.T, input string) {
	o.arrived[input] = true
	version := uint64(1)
	switch input {
	case "list":
		close(o.gates[input])
		waitFor(t, "the list to be read", func() bool { return o.directory.Snapshot() != nil })
		return
	case "configuration":
		version = 2
		fallthrough
	case "older":
		close(o.gates[input])
		waitFor(t, "the configuration to be read", func() bool { return o.catalogs.Version() >= version })
		return
	}
	o.server.ReceiveState(&marbleroadv1.NodeState{Node: "n2", FailureDomain: "a", TrafficSeen: true,
		Loads:      []*marbleroadv1.GroupLoad{{Group: "g-head-0", InFlight: 1}, {Group: "unknown", InFlight: 1}},
		Demand:     []*marbleroadv1.ModelDemand{{Service: "llm", Model: "m", Rate: 1, Teams: []*marbleroadv1.TeamWork{{Team: "team", Asked: 1}}}},
		Suspicions: []*marbleroadv1.Suspicion{{Group: "unknown", Generation: 1}},
		Conditions: []*marbleroadv1.UpstreamCondition{{Vm: "unknown"}, {Vm: "head-1"}},
		KnownNodes: 2,
	}, time.Now())
}

// startRequests are requests that the newest configuration serves.
var startRequests = []struct{ method, target, model string }{
	{http.MethodGet, "/read/x", ""}, {http.MethodPost, "/once/x", ""}, {http.MethodGet, "/public/x", ""}, {http.MethodPost, "/stream/x", "m"},
}

// status sends a request, reads its response and returns the status.
func (o *gatewayStart) status(t *testing.T, method, target, model string) int {
	resp := o.send(t, method, target, map[string]string{"Model": model})
	_ = body(t, resp)
	return resp.StatusCode
}

// TestInputsOfAGatewayStartInAnyOrder guards against requests that a node refused for good, or served late, since its inputs came in
// an unusual order: each of them comes first and last, with requests in between.
func TestInputsOfAGatewayStartInAnyOrder(t *testing.T) {
	for _, order := range permutations([]string{"list", "older", "configuration", "states"}) {
		t.Run(strings.Join(order, " "), func(t *testing.T) {
			o := startGateway(t)
			for _, input := range order {
				o.checkRefusals(t)
				o.arrive(t, input)
			}
			for _, r := range startRequests {
				waitFor(t, fmt.Sprint(r.target, " to be served"), func() bool { return o.checkedStatus(t, r.method, r.target, r.model) == http.StatusOK })
			}
		})
	}
}

// checkRefusals requires that requests are refused for now only, while inputs are missing.
func (o *gatewayStart) checkRefusals(t *testing.T) {
	for _, r := range startRequests {
		if status := o.checkedStatus(t, r.method, r.target, r.model); status == http.StatusOK && !(o.arrived["list"] && o.arrived["configuration"]) {
			t.Fatalf("%s is served with %v only", r.target, o.arrived)
		}
	}
}

// checkedStatus requires that a request which the newest configuration serves is not refused for good.
func (o *gatewayStart) checkedStatus(t *testing.T, method, target, model string) int {
	status := o.status(t, method, target, model)
	if status != http.StatusOK && status != http.StatusServiceUnavailable {
		t.Fatalf("%s: status %d with %v", target, status, o.arrived)
	}
	return status
}

// permutations returns all orders of the names.
func permutations(names []string) [][]string {
	if len(names) <= 1 {
		return [][]string{slices.Clone(names)}
	}
	var out [][]string
	for i, name := range names {
		rest := slices.Delete(slices.Clone(names), i, i+1)
		for _, p := range permutations(rest) {
			out = append(out, append([]string{name}, p...))
		}
	}
	return out
}
