package entry

import (
	"strings"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
)

// discardUpdates is a listener without callers.
type discardUpdates struct{}

func (discardUpdates) demand() []*marbleroadv1.TeamDemand { return nil }
func (discardUpdates) update(*view.Snapshot, *Share)      {}

// TestTableCountsAsReadWithItsSnapshot guards against requests that were refused for good, for an unknown key, between the reading
// of the table and the building of the first snapshot that holds it.
func TestTableCountsAsReadWithItsSnapshot(t *testing.T) {
	const control = "c1"
	s := NewSource(SourceConfig{Controls: []string{control}}, nil, &transport.Peers{})
	s.listener = discardUpdates{}
	s.publish(time.Now())
	row := &table.Row{Sheet: table.Teams, Name: "team", Version: 1, Team: &table.Team{KeySHA256: strings.Repeat("0", 64)}}
	it, err := row.Item()
	if err != nil {
		t.Fatal(err)
	}
	s.adoptView(control, &marbleroadv1.GetViewResponse{TableLoaded: true, Changed: []*marbleroadv1.Item{{Key: it.Key, Version: 1, Value: it.Value}}})
	if s.Loaded() && len(s.Snapshot().Teams) == 0 {
		t.Error("the table counts as read, and the snapshot has no team")
	}
	s.publish(time.Now())
	if !s.Loaded() || len(s.Snapshot().Teams) != 1 {
		t.Errorf("after the snapshot was built: loaded %v, %d teams", s.Loaded(), len(s.Snapshot().Teams))
	}
}

// TestSharesOfAControlStartAreNotTaken guards against limits that an entry used in full while its control process started and had
// read nothing yet.
func TestSharesOfAControlStartAreNotTaken(t *testing.T) {
	const control, limit = "c1", 12.0
	s := NewSource(SourceConfig{Controls: []string{control}}, nil, &transport.Peers{})
	s.adoptView(control, &marbleroadv1.GetViewResponse{TableLoaded: true, LiveEntries: 3, AllEntries: 6})
	s.adoptView(control, &marbleroadv1.GetViewResponse{})
	if rate := s.Share().localRate("team", limit); rate != limit/6 {
		t.Errorf("the entry uses %v of a limit of %v, which six entries share", rate, limit)
	}
}
