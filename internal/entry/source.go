package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/api/marbleroad/v1/marbleroadv1connect"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/kernel"
	"github.com/marbleroad/marbleroad/internal/presence"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
	"github.com/marbleroad/marbleroad/internal/wire"
)

// SourceName is the source's name in the kernel.
const SourceName = "source"

const (
	// viewTimeout bounds one reading of a control process's view.
	viewTimeout = time.Second
	// switchAfter is how many failed readings in a row make the entry read
	// from the next control process.
	switchAfter = 2
	// preferAgain is how long the entry stays with another control process
	// before it tries the first one again.
	preferAgain = 10 * time.Second
)

// SourceConfig says where the view comes from.
type SourceConfig struct {
	EntryID       string
	FailureDomain string
	Controls      []string
	Interval      time.Duration
	Window        time.Duration
}

// Share is this entry's part of the limits that hold over all entries.
type Share struct {
	// Teams maps a team to its requests per second here.
	Teams map[string]float64
	// LiveEntries counts the entries of this failure domain; at least 1.
	LiveEntries int
	// AllEntries counts the entry VMs of all failure domains; at least 1.
	AllEntries int
}

// Source keeps the entry's snapshot up to date from a control process. One
// goroutine reads and builds; traffic goroutines only load atomic pointers.
type Source struct {
	config  SourceConfig
	log     *event.Logger
	peers   *transport.Peers
	client  *http.Client
	items   *item.Set
	board   *presence.Registry
	builder *view.Builder
	// listener is found by name before the reading goroutine starts.
	listener viewListener

	snapshot atomic.Pointer[view.Snapshot]
	share    atomic.Pointer[Share]
	loaded   atomic.Bool

	cancel context.CancelFunc
	done   sync.WaitGroup

	// The fields below belong to the reading goroutine.
	current    int
	failures   int
	switchedAt time.Time
	cursors    map[string]item.Cursor
	witnesses  map[string]*wire.WitnessReader
}

// viewListener is the service that the source reads for. Both methods are
// called on the reading goroutine.
type viewListener interface {
	// demand is asked for before each reading.
	demand() []*marbleroadv1.TeamDemand
	// update is called after each new snapshot.
	update(*view.Snapshot, *Share)
}

// NewSource returns a source.
func NewSource(c SourceConfig, log *event.Logger, peers *transport.Peers) *Source {
	items := item.NewSet(1)
	return &Source{
		config:  c,
		log:     log,
		peers:   peers,
		client:  peers.Client(),
		items:   items,
		board:   presence.NewRegistry(),
		builder: view.NewBuilder(c.FailureDomain, items),
		cursors: make(map[string]item.Cursor),

		witnesses: make(map[string]*wire.WitnessReader),
	}
}

// Name implements kernel.Service.
func (s *Source) Name() string { return SourceName }

// Provision implements kernel.Provisioner.
func (s *Source) Provision(k *kernel.Kernel) (err error) {
	s.listener, err = kernel.Lookup[viewListener](k, ServerName)
	return err
}

// Start implements kernel.Service.
func (s *Source) Start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(1)
	go s.loop(ctx)
	return nil
}

// Stop implements kernel.Service.
func (s *Source) Stop(context.Context) error {
	s.cancel()
	s.done.Wait()
	return nil
}

// Snapshot returns what is in force; nil before the first reading.
func (s *Source) Snapshot() *view.Snapshot { return s.snapshot.Load() }

// Share returns this entry's part of the limits; nil before the first reading.
func (s *Source) Share() *Share { return s.share.Load() }

// Loaded reports whether the table has been read at least once.
func (s *Source) Loaded() bool { return s.loaded.Load() }

func (s *Source) loop(ctx context.Context) {
	defer s.done.Done()
	ticker := time.NewTicker(s.config.Interval)
	defer ticker.Stop()
	for {
		s.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// round reads once and builds the snapshot anew, also when the reading failed:
// witnesses grow old by themselves.
func (s *Source) round(ctx context.Context) {
	s.preferFirst()
	err := s.read(ctx)
	if err != nil && ctx.Err() == nil {
		s.failed(err)
	}
	if err == nil {
		s.failures = 0
	}
	now := clock.Now()
	snapshot, faults := s.builder.Build(s.board, now, s.config.Window)
	for _, f := range faults {
		s.log.Emit(event.ViewUnreadable).Str("key", f.Key).Err(f.Err).Send()
	}
	s.snapshot.Store(snapshot)
	share := s.share.Load()
	if share == nil {
		share = &Share{LiveEntries: 1, AllEntries: 1}
	}
	s.listener.update(snapshot, share)
}

func (s *Source) preferFirst() {
	if s.current != 0 && clock.Since(s.switchedAt) > preferAgain {
		s.current = 0
		s.failures = 0
	}
}

func (s *Source) failed(err error) {
	s.failures++
	if s.failures < switchAfter || len(s.config.Controls) < 2 {
		return
	}
	s.failures = 0
	s.current = (s.current + 1) % len(s.config.Controls)
	s.switchedAt = clock.Now()
	s.log.Emit(event.ControlSwitched).Str("control", s.config.Controls[s.current]).Err(err).Send()
}

func (s *Source) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	address := s.config.Controls[s.current]
	client := marbleroadv1connect.NewViewServiceClient(s.client, s.peers.URL(address), connect.WithReadMaxBytes(transport.MaxMessage))
	reader := s.witnesses[address]
	if reader == nil {
		reader = &wire.WitnessReader{}
		s.witnesses[address] = reader
	}
	req := &marbleroadv1.GetViewRequest{
		Items:        wire.CursorMessage(s.cursors[address]),
		EntryId:      s.config.EntryID,
		Demand:       s.listener.demand(),
		WitnessEpoch: reader.Epoch(),
		Digest:       s.items.Digest(),
	}
	asked := clock.Now()
	resp, err := client.GetView(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrapf(err, "read view of %s", address)
	}
	seen, err := reader.Read(resp.Msg.GetWitnesses(), asked)
	if err != nil {
		return err
	}
	for _, w := range seen {
		s.board.Record(w)
	}
	s.adopt(address, resp.Msg)
	return nil
}

func (s *Source) adopt(address string, m *marbleroadv1.GetViewResponse) {
	for _, it := range m.GetChanged() {
		s.items.Adopt(wire.Item(it))
	}
	s.cursors[address] = wire.Cursor(m.GetItems())
	share := &Share{
		Teams:       make(map[string]float64, len(m.GetShares())),
		LiveEntries: max(int(m.GetLiveEntries()), 1),
		AllEntries:  max(int(m.GetAllEntries()), 1),
	}
	for _, t := range m.GetShares() {
		share.Teams[t.GetTeam()] = t.GetRate()
	}
	s.share.Store(share)
	if m.GetTableLoaded() {
		s.loaded.Store(true)
	}
}
