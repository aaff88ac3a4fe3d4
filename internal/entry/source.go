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
	"github.com/marbleroad/marbleroad/internal/bodylimit"
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
	// viewTimeout bounds one read of a control process's view. minReadTimeout is the lower bound of the shorter limit
	// for a process that has responded before; see readTimeout.
	viewTimeout    = time.Second
	minReadTimeout = 100 * time.Millisecond
	// failuresBeforeSwitch is the number of consecutive failed reads after
	// which the entry reads from the next control process.
	failuresBeforeSwitch = 2
	// preferredRetryInterval is how long the entry reads from another control
	// process before it tries the first one again.
	preferredRetryInterval = 10 * time.Second
	// preferredWait is how long an entry that starts waits for the table of the first control process, which starts with
	// it. Another one may be cut off from the platform and have an older table. preferredStartInterval takes the place of
	// preferredRetryInterval meanwhile.
	preferredWait          = 5 * time.Second
	preferredStartInterval = 500 * time.Millisecond
)

// SourceConfig holds the settings of a Source.
type SourceConfig struct {
	EntryID       string
	FailureDomain string
	Controls      []string
	Interval      time.Duration
	Window        time.Duration
}

// Share is this entry's share of the limits that apply to all entries together.
type Share struct {
	// Teams maps the name of a limit subject to its requests per second at this
	// entry. The subject is a team, or a team at one service.
	Teams map[string]float64
	// LiveEntries counts the entries of this failure domain; at least 1.
	LiveEntries int
	// AllEntries counts the entry VMs of all failure domains; at least 1.
	AllEntries int
}

// Source keeps the entry's snapshot up to date from a control process. One goroutine
// reads the view and builds the snapshot; the goroutines that serve requests only load
// atomic pointers.
type Source struct {
	config       SourceConfig
	log          *event.Logger
	peers        *transport.Peers
	client       *http.Client
	items        *item.Set
	probeResults *presence.Registry
	builder      *view.Builder
	// listener is the Server. It is looked up by name before the reading goroutine
	// starts.
	listener viewListener

	snapshot atomic.Pointer[view.Snapshot]
	share    atomic.Pointer[Share]
	loaded   atomic.Bool

	cancel context.CancelFunc
	done   sync.WaitGroup

	// The fields below belong to the reading goroutine.
	startedAt time.Time
	// tableRead is true once the items hold the table. The next snapshot is built from it.
	tableRead    bool
	controlIndex int
	failures     int
	// responded is true once the current control process was read since the entry chose it.
	responded      bool
	switchedAt     time.Time
	cursors        map[string]item.Cursor
	witnessReaders map[string]*wire.WitnessReader
}

// viewListener receives each new snapshot and supplies the demand to report. Both methods
// are called on the reading goroutine.
type viewListener interface {
	// demand returns the demand to report; it is called before each read.
	demand() []*marbleroadv1.TeamDemand
	// update is called after each new snapshot.
	update(*view.Snapshot, *Share)
}

// NewSource returns a source.
func NewSource(c SourceConfig, log *event.Logger, peers *transport.Peers) *Source {
	items := item.NewSet(1)
	return &Source{
		config:       c,
		log:          log,
		peers:        peers,
		client:       peers.Client(),
		items:        items,
		probeResults: presence.NewRegistry(),
		builder:      view.NewBuilder(c.FailureDomain, items),
		cursors:      make(map[string]item.Cursor),

		witnessReaders: make(map[string]*wire.WitnessReader),
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

// Snapshot returns the current snapshot. It is nil until the first read of the
// view has finished, even if that read failed.
func (s *Source) Snapshot() *view.Snapshot { return s.snapshot.Load() }

// Share returns this entry's share of the limits; nil before the first read from a
// control process that has read the table.
func (s *Source) Share() *Share { return s.share.Load() }

// Loaded reports whether the table has been read at least once, and the snapshot holds it.
func (s *Source) Loaded() bool { return s.loaded.Load() }

// Table returns the current snapshot; nil before one holds the table.
func (s *Source) Table() *view.Snapshot {
	if !s.Loaded() {
		return nil
	}
	return s.Snapshot()
}

// loop refreshes the snapshot at each interval until ctx ends.
func (s *Source) loop(ctx context.Context) {
	defer s.done.Done()
	s.startedAt = clock.Now()
	ticker := time.NewTicker(s.config.Interval)
	defer ticker.Stop()
	for {
		s.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// refresh reads the view once, rebuilds the snapshot and passes it to the
// listener. It does so even if the read failed, as probe results expire with
// time.
func (s *Source) refresh(ctx context.Context) {
	s.returnToPreferred()
	err := s.readView(ctx)
	if err != nil && ctx.Err() == nil {
		s.recordReadFailure(err)
	}
	if err == nil {
		s.failures, s.responded = 0, true
	}
	s.publish(clock.Now())
}

// publish builds the snapshot and passes it to the listener.
func (s *Source) publish(now time.Time) {
	snapshot, decodeErrors := s.builder.Build(s.probeResults, now, s.config.Window)
	for _, decodeErr := range decodeErrors {
		s.log.Emit(event.ViewUnreadable).Str("key", decodeErr.Key).Err(decodeErr.Err).Send()
	}
	s.snapshot.Store(snapshot)
	share := s.share.Load()
	if share == nil {
		share = &Share{LiveEntries: 1, AllEntries: 1}
	}
	s.listener.update(snapshot, share)
	if s.tableRead {
		s.loaded.Store(true)
	}
}

// returnToPreferred switches back to the first control process after
// preferredRetryInterval, or sooner before the table was read.
func (s *Source) returnToPreferred() {
	interval := preferredRetryInterval
	if !s.loaded.Load() {
		interval = preferredStartInterval
	}
	if s.controlIndex != 0 && clock.Since(s.switchedAt) > interval {
		s.controlIndex = 0
		s.failures, s.responded = 0, false
	}
}

// recordReadFailure counts a failed read and switches to the next control
// process after failuresBeforeSwitch of them, or after one that took viewTimeout.
func (s *Source) recordReadFailure(err error) {
	s.failures++
	if !s.responded && connect.CodeOf(err) == connect.CodeDeadlineExceeded {
		s.failures = failuresBeforeSwitch
	}
	if s.failures < failuresBeforeSwitch || len(s.config.Controls) < 2 {
		return
	}
	s.failures, s.responded = 0, false
	s.controlIndex = (s.controlIndex + 1) % len(s.config.Controls)
	s.switchedAt = clock.Now()
	s.log.Emit(event.ControlSwitched).Str("control", s.config.Controls[s.controlIndex]).Err(err).Send()
}

// readTimeout bounds the next read. A control process that falls silent must be left while the probe results that it
// delivered last are valid, or the entry refuses requests although another control process has newer ones. Probes and
// their exchange take up to half of the window; the reads that fail must fit into the other half. A process
// that has not responded yet may have to send the whole table, and gets viewTimeout.
func (s *Source) readTimeout() time.Duration {
	if !s.responded {
		return viewTimeout
	}
	limit := (s.config.Window/2 - s.config.Interval) / failuresBeforeSwitch
	return min(max(limit, minReadTimeout), viewTimeout)
}

// viewOptions limits and decompresses views.
var viewOptions = bodylimit.RPCOptions(transport.MaxMessageBytes)

// readView reads the view of the current control process.
func (s *Source) readView(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.readTimeout())
	defer cancel()
	address := s.config.Controls[s.controlIndex]
	client := marbleroadv1connect.NewViewServiceClient(bodylimit.RPCClient(s.client, transport.MaxMessageBytes), s.peers.URL(address), viewOptions)
	reader := s.witnessReaders[address]
	if reader == nil {
		reader = &wire.WitnessReader{}
		s.witnessReaders[address] = reader
	}
	req := &marbleroadv1.GetViewRequest{
		Items:        wire.CursorMessage(s.cursors[address]),
		EntryId:      s.config.EntryID,
		Demand:       s.listener.demand(),
		WitnessEpoch: reader.Epoch(),
		Digest:       s.items.Digest(),
	}
	requestedAt := clock.Now()
	resp, err := client.GetView(ctx, connect.NewRequest(req))
	if err != nil {
		return errors.Wrapf(err, "read view of %s", address)
	}
	results, err := reader.Read(resp.Msg.GetWitnesses(), requestedAt)
	if err != nil {
		return err
	}
	for _, result := range results {
		s.probeResults.Record(result)
	}
	s.adoptView(address, resp.Msg)
	return nil
}

// adoptView merges a view that was read from the control process at address. A process that has not read the table can't tell
// how many entries share a limit, so the share of before stays in use.
func (s *Source) adoptView(address string, m *marbleroadv1.GetViewResponse) {
	for _, it := range m.GetChanged() {
		s.items.Adopt(wire.Item(it))
	}
	s.cursors[address] = wire.Cursor(m.GetItems())
	if !m.GetTableLoaded() {
		return
	}
	share := &Share{
		Teams:       make(map[string]float64, len(m.GetShares())),
		LiveEntries: max(int(m.GetLiveEntries()), 1),
		AllEntries:  max(int(m.GetAllEntries()), 1),
	}
	for _, teamShare := range m.GetShares() {
		share.Teams[teamShare.GetTeam()] = teamShare.GetRate()
	}
	s.share.Store(share)
	s.tableRead = s.tableRead || s.trusts(address)
}

// trusts reports whether an entry that starts takes the table of the control process for the newest that it can get.
func (s *Source) trusts(address string) bool {
	return address == s.config.Controls[0] || clock.Since(s.startedAt) > preferredWait
}
