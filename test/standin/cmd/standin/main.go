// Command standin runs the stand-ins for the demo: one platform, and model
// engines and plain services on loopback addresses. It is not part of the product.
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

	api "github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/test/standin/engine"
	"github.com/marbleroad/marbleroad/test/standin/plain"
	"github.com/marbleroad/marbleroad/test/standin/platform"
)

func main() {
	listen := flag.String("platform", "127.0.0.1:19000", "address of the platform")
	domains := flag.String("domains", "obuda=127.0.2,csepel=127.0.3", "failure domains, each with the first three octets of its upstreams' addresses")
	engines := flag.Int("engines", 5, "model VMs in each failure domain")
	port := flag.Int("port", 18100, "port of the upstreams")
	flag.Parse()
	if err := run(*listen, *domains, *engines, *port); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(listen, domains string, engines, port int) error {
	p := platform.New()
	if err := serve(listen, p); err != nil {
		return err
	}
	for _, pair := range strings.Split(domains, ",") {
		domain, network, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("%q is not DOMAIN=NETWORK", pair)
		}
		for n := 1; n <= engines; n++ {
			vm := fmt.Sprintf("%s-gpu-%d", domain, n)
			c := engine.DefaultConfig()
			c.TokenTime = 40 * time.Millisecond
			if err := add(p, vm, domain, "models", fmt.Sprintf("%s.%d:%d", network, n, port), engine.New(vm, c)); err != nil {
				return err
			}
		}
		vm := domain + "-tiles-1"
		if err := add(p, vm, domain, "tiles", fmt.Sprintf("%s.100:%d", network, port), plain.New(vm, 64)); err != nil {
			return err
		}
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}

// add serves a VM's handler and adds the VM to the membership list.
func add(p *platform.Platform, vm, domain, pool, address string, h http.Handler) error {
	if err := serve(address, h); err != nil {
		return err
	}
	p.SetMember(api.Member{VM: vm, Address: address, FailureDomain: domain, Fabric: "f1", Pool: pool, State: api.Live})
	return nil
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
