// Command platformstandin runs the stand-ins for the users' platform for the
// demo: its store with a configuration, and model engines and a plain service
// on loopback addresses. It is not part of the product.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/marbleroad/marbleroad/test/standin/groupengine"
	"github.com/marbleroad/marbleroad/test/standin/objectstore"
)

func main() {
	listen := flag.String("store", "127.0.0.1:19100", "address of the store")
	domains := flag.String("domains", "obuda=127.0.4,csepel=127.0.5", "failure domains, each with the first three octets of its upstreams' addresses")
	engines := flag.Int("engines", 5, "model VMs in each failure domain")
	port := flag.Int("port", 18200, "port of the upstreams")
	limit := flag.Float64("limit", 2, "limit in requests per second, over all nodes, that each plain VM reports; 0 for no limit")
	flag.Parse()
	if err := run(*listen, *domains, *engines, *port, *limit); err != nil {
		fmt.Fprintln(os.Stderr, "platformstandin:", err)
		os.Exit(1)
	}
}

func run(listen, domains string, engines, port int, limit float64) error {
	store := objectstore.New()
	store.Put("config", "main", configuration())
	if err := serve(listen, store); err != nil {
		return err
	}
	for _, pair := range strings.Split(domains, ",") {
		domain, network, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("%q is not DOMAIN=NETWORK", pair)
		}
		for n := 1; n <= engines; n++ {
			c := groupengine.Config{ID: fmt.Sprintf("%s-gpu-%d", domain, n), Service: "bulletins", FabricDomain: domain + "-f1",
				LoadTime: 300 * time.Millisecond, Events: 12, EventInterval: 40 * time.Millisecond}
			if err := add(store, c, domain, fmt.Sprintf("%s.%d:%d", network, n, port), 0); err != nil {
				return err
			}
		}
		if err := add(store, groupengine.Config{ID: domain + "-tiles-1", Service: "tiles"}, domain, fmt.Sprintf("%s.100:%d", network, port), limit); err != nil {
			return err
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}

// add starts a VM, which reports the limit unless it is zero.
func add(store *objectstore.Store, c groupengine.Config, domain, address string, limit float64) error {
	c.FailureDomain, c.Address = domain, address
	vm := groupengine.New(c, store)
	if limit > 0 {
		vm.Condition.Store(&http.Header{"Server-Limit": {fmt.Sprint(limit)}})
	}
	return serve(address, vm)
}

// serve listens on the address and serves the handler in the background.
func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// configuration returns the platform's configuration object: a streaming route to a model service and a public
// idempotent one to a plain service, both on demo.example.
func configuration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{
			map[string]any{"name": "bulletins", "host": "demo.example", "path-prefix": "/bulletins/", "kind": "streaming", "timeout-ms": 8000,
				"slo-ms": 1000, "service": "bulletins", "attempts": 2, "resumable": true},
			map[string]any{"name": "tiles", "host": "demo.example", "path-prefix": "/tiles/", "kind": "idempotent", "timeout-ms": 4000,
				"slo-ms": 300, "service": "tiles", "attempts": 2, "public": true},
		},
		"services": []any{
			map[string]any{"name": "bulletins", "engine": map[string]any{"slots": 8, "step_ms": 6, "per_seq_ms": 0.2, "read_per_s": 46000,
				"loads_at_once": 6, "form-ms": 10, "usual": map[string]any{"prompt": 1000, "answer": 100},
				"models": []any{map[string]any{"name": "nowcast", "size": 2, "share": 1, "pace": 1, "load-s": 0.3, "warm-s": 0.3}}}},
			map[string]any{"name": "tiles"},
		},
		"tenants": []any{map[string]any{"name": "forecasters", "api-keys": []string{"demo-forecasters"}}},
	}
}
