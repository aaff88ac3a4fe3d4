package daemon

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marbleroad/marbleroad/internal/backpressure"
	"github.com/marbleroad/marbleroad/internal/engine"
	engineapi "github.com/marbleroad/marbleroad/internal/engine/httpapi"
	"github.com/marbleroad/marbleroad/internal/fleet"
	port "github.com/marbleroad/marbleroad/internal/platform"
	platformapi "github.com/marbleroad/marbleroad/internal/platform/httpapi"
	"github.com/marbleroad/marbleroad/internal/tracing"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/platform"
	"github.com/marbleroad/marbleroad/test/standin/malformed"
)

// wireClients are the clients of other systems, as the daemons build them.
type wireClients struct {
	store    *platform.Store
	engine   *platform.Engine
	prober   *platform.Engine
	platform *platformapi.Client
	own      *engineapi.Client
	address  string
	vm       *fleet.VM
	// believed is true once a client has used a header field of a response.
	believed bool
}

func newWireClients(address string) *wireClients {
	const timeout = 5 * time.Second
	meter := new(transport.Meter)
	pooled := func() http.RoundTripper { return newTransport("127.0.0.1:0", reportIdleConns, meter) }
	c := &wireClients{
		store:    platform.NewStore("http://"+address, pooled(), timeout),
		engine:   platform.NewEngine(pooled()),
		prober:   platform.NewEngine(newProbeTransport("127.0.0.1:0", meter)),
		platform: platformapi.New("http://"+address, tracing.Off().Transport("platform", pooled()), timeout),
		own:      engineapi.New(newProbeTransport("127.0.0.1:0", meter)),
		address:  address,
		vm:       &fleet.VM{ID: "vm", Address: address},
	}
	c.engine.OnCondition(func(*fleet.VM, backpressure.Signals, error) { c.believed = true })
	return c
}

// wireCalls are calls of the clients, with the status of an answer that lets them succeed.
var wireCalls = map[string]struct {
	status string
	call   func(context.Context, *wireClients) error
	// ignoresBody is true for a call that only needs the head of a response.
	ignoresBody bool
}{
	"get an object": {"200 OK", func(ctx context.Context, c *wireClients) error {
		_, err := c.store.Get(ctx, "kind/name")
		return err
	}, false},
	"list objects": {"200 OK", func(ctx context.Context, c *wireClients) error {
		_, _, err := c.store.List(ctx, "kind/")
		return err
	}, false},
	"write an object": {"201 Created", func(ctx context.Context, c *wireClients) error {
		_, err := c.store.Put(ctx, "kind/name", []byte("{}"), 0)
		return err
	}, false},
	"report of a VM": {"200 OK", func(ctx context.Context, c *wireClients) error {
		_, err := c.engine.Report(ctx, c.vm)
		return err
	}, false},
	"order to a VM": {"202 Accepted", func(ctx context.Context, c *wireClients) error {
		_, err := c.engine.Order(ctx, c.vm, engine.GroupOrder{Operation: engine.Leave})
		return err
	}, false},
	"health check": {"200 OK", func(ctx context.Context, c *wireClients) error {
		_, err := c.engine.CheckHealth(ctx, c.vm, "/health")
		return err
	}, false},
	"probe of a VM": {"200 OK", func(ctx context.Context, c *wireClients) error {
		return c.prober.Probe(ctx, c.vm)
	}, true},
	"own platform, get": {"200 OK", func(ctx context.Context, c *wireClients) error {
		_, err := c.platform.Get(ctx, "k")
		c.believed = c.believed || !c.platform.StoreTime().IsZero()
		return err
	}, false},
	"own platform, write": {"200 OK", func(ctx context.Context, c *wireClients) error {
		_, err := c.platform.Put(ctx, "k", []byte("{}"), 0)
		c.believed = c.believed || !c.platform.StoreTime().IsZero()
		return err
	}, false},
	"own engine, probe": {"200 OK", func(ctx context.Context, c *wireClients) error {
		_, err := c.own.Probe(ctx, c.address)
		return err
	}, false},
	"own engine, assign": {"200 OK", func(ctx context.Context, c *wireClients) error {
		return c.own.Assign(ctx, c.address, engine.Order{})
	}, false},
}

// wireAnswers returns an answer that lets calls with the status succeed, as "valid", and malformed ones that differ in one
// thing from it.
func wireAnswers(status string) map[string]*malformed.Answer {
	const body = `{"metadata":{"name":"name","rev":1},"spec":{},"revision":1,"born":1000,"key":"k","value":{}}`
	const interim = "HTTP/1.1 103 Early Hints\r\nFoo Bar: x\r\n\r\n"
	fields := "Instance-Id: vm\r\nDate: Mon, 07 Dec 2026 04:00:00 GMT\r\nServer-Leaving: 1\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunked := fields + "Transfer-Encoding: chunked\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(body), body)
	code, reason, _ := strings.Cut(status, " ")
	return map[string]*malformed.Answer{
		"valid":                        {Status: "HTTP/1.1 " + status, Fields: fields + length, Body: body},
		"valid, chunked":               {Status: "HTTP/1.1 " + status, Fields: chunked, Body: chunk + "\r\n"},
		"valid, unframed":              {Status: "HTTP/1.1 " + status, Fields: fields, Body: body},
		"blank in a name":              {Status: "HTTP/1.1 " + status, Fields: fields + length + "Foo Bar: x\r\n", Body: body},
		"blank in an interim response": {Before: interim, Status: "HTTP/1.1 " + status, Fields: fields + length, Body: body},
		"blank in a trailer":           {Status: "HTTP/1.1 " + status, Fields: chunked, Body: chunk + "Foo Bar: x\r\n\r\n"},
		"length behind a blank":        {Status: "HTTP/1.1 " + status, Fields: fields + "Content-Length : 4\r\n", Body: body},
		"chunks of HTTP/1.0":           {Status: "HTTP/1.0 " + status, Fields: chunked, Body: chunk + "\r\n"},
		"status 0":                     {Status: "HTTP/1.1 000 " + reason, Fields: fields + length, Body: body},
		"reset after its body":         {Status: "HTTP/1.1 " + status, Fields: fields, Body: body, Reset: true, Pause: 30 * time.Millisecond},
		"version 2":                    {Status: "HTTP/2.0 " + code, Fields: fields + length, Body: body},
	}
}

// TestMalformedAnswersAreNotBelieved guards against reports, orders, checks and objects that rest on an answer that is none,
// and against the use of its header fields.
func TestMalformedAnswersAreNotBelieved(t *testing.T) {
	for call, c := range wireCalls {
		answers := wireAnswers(c.status)
		for _, name := range slices.Sorted(maps.Keys(answers)) {
			valid := strings.HasPrefix(name, "valid")
			// The head of such an answer is valid, and may be used.
			onlyBody := name == "blank in a trailer" || name == "reset after its body"
			if c.ignoresBody && onlyBody {
				continue
			}
			t.Run(call+"/"+name, func(t *testing.T) {
				clients := newWireClients(answers[name].Serve(t))
				if err := c.call(t.Context(), clients); (err == nil) != valid {
					t.Errorf("error %v", err)
				}
				if clients.believed && !valid && !onlyBody {
					t.Error("a header field of the answer was used")
				}
			})
		}
	}
}

// TestPartOfAnAnswerToAWriteIsNotBelieved guards against a status whose answer broke off while the write was being sent.
func TestPartOfAnAnswerToAWriteIsNotBelieved(t *testing.T) {
	const uploadBytes = 12 << 20
	value := []byte(`"` + strings.Repeat("x", uploadBytes) + `"`)
	conflict := &malformed.Answer{Status: "HTTP/1.1 409 Conflict", Body: "conf", Reset: true, Pause: 30 * time.Millisecond}
	clients := newWireClients(conflict.Serve(t))
	for range 20 {
		if _, err := clients.store.Put(t.Context(), "kind/name", value, 0); !errors.Is(err, port.ErrUnknown) {
			t.Errorf("error %v, want one of a write whose outcome is unknown", err)
		}
	}
}
