package gateway_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/gateway"
	"github.com/marbleroad/marbleroad/internal/metrics"
)

// changingList is a list of VMs that a test changes.
type changingList struct{ changes chan fleet.WatchResult }

// List implements fleet.Source.
func (l changingList) List(ctx context.Context, _ uint64) (fleet.WatchResult, error) {
	return l.Watch(ctx, 0, time.Hour)
}

// Watch implements fleet.Source.
func (l changingList) Watch(ctx context.Context, _ uint64, _ time.Duration) (fleet.WatchResult, error) {
	select {
	case w := <-l.changes:
		return w, nil
	case <-ctx.Done():
		return fleet.WatchResult{}, ctx.Err()
	}
}

// blockingLog blocks the first line that contains a text until it is released.
type blockingLog struct {
	text              string
	once              sync.Once
	reached, released chan struct{}
}

// Write implements io.Writer.
func (l *blockingLog) Write(p []byte) (int, error) {
	if strings.Contains(string(p), l.text) {
		l.once.Do(func() {
			close(l.reached)
			<-l.released
		})
	}
	return len(p), nil
}

// TestListDuringARebuildStaysInForce guards against a list of VMs that came while another goroutine applied a new configuration, and
// was replaced by the list before it: until the next change, requests went to VMs that had left.
func TestListDuringARebuildStaysInForce(t *testing.T) {
	blocking := &blockingLog{text: "nowhere", reached: make(chan struct{}), released: make(chan struct{})}
	log, err := event.New(blocking, "info", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	list := changingList{make(chan fleet.WatchResult)}
	directory := fleet.NewDirectory(list, log, time.Second, func() time.Duration { return 0 })
	catalogs := catalog.NewCache(nil, log, time.Second)
	server := gateway.NewServer(gateway.Config{}, gateway.Parts{Log: log, Metrics: metrics.NewRegistry(), Catalog: catalogs, Directory: directory,
		Dissolving: func() []string { return nil }, TriggerExchange: func() {}})
	rebuilt := make(chan struct{}, 2)
	directory.OnChange(func(*fleet.Snapshot) {
		server.Rebuild()
		rebuilt <- struct{}{}
	})
	catalogs.OnChange(server.Rebuild)
	if err := directory.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = directory.Stop(context.Background()) }()
	entry := func(id string, revision uint64) fleet.Change {
		return fleet.Change{VM: fleet.VM{ID: id, Service: "api", Revision: revision}}
	}
	list.changes <- fleet.WatchResult{Changes: []fleet.Change{entry("left", 1)}, Revision: 1, VerifiedAt: time.Now()}
	<-rebuilt
	next, err := catalog.New(catalog.Content{Version: 1, Services: []catalog.Service{{Name: "api"}},
		Routes: []catalog.Route{{Name: "r", Host: "h", Prefix: "/", Homes: catalog.Homes{"nowhere"}, Targets: []catalog.Target{{Service: "api", Weight: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	adopted := make(chan struct{})
	go func() {
		defer close(adopted)
		catalogs.Adopt(catalog.WatchResult{Catalog: next, Revision: 1, VerifiedAt: time.Now()})
	}()
	<-blocking.reached
	list.changes <- fleet.WatchResult{Changes: []fleet.Change{{VM: fleet.VM{ID: "left"}, Removed: true}, entry("new", 2)}, Revision: 2, VerifiedAt: time.Now()}
	changed := false
	select {
	case <-rebuilt:
		changed = true
	case <-time.After(100 * time.Millisecond):
		// The list waits until the configuration is applied.
	}
	close(blocking.released)
	<-adopted
	if !changed {
		<-rebuilt
	}
	if _, shunned := server.Load("new", ""); shunned != "" {
		t.Errorf("requests are not sent to the VM of the newest list: %s", shunned)
	}
	if _, shunned := server.Load("left", ""); shunned == "" {
		t.Error("requests are sent to a VM that has left")
	}
}
