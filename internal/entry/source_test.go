package entry

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/transport"
	"github.com/marbleroad/marbleroad/internal/view"
	_ "github.com/marbleroad/marbleroad/test/seed"
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
	s.adoptView(control, &marbleroadv1.GetViewResponse{TableLoaded: true, Changed: teamRows(t, 1, "team")})
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

// TestViewsOfAStartInAnyOrder delivers the views of two control processes in any order, some of them of a process that has read
// nothing yet, with snapshots built in between. An entry that starts must serve by the table of the first process only, and never
// use a limit as if it were alone.
func TestViewsOfAStartInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSource(SourceConfig{Controls: []string{"c1", "c2"}}, nil, &transport.Peers{})
		s.listener, s.startedAt = discardUpdates{}, clock.Now()
		newest := teamRows(t, 2, "held")
		older := teamRows(t, 1, "revoked")
		views := map[string]*marbleroadv1.GetViewResponse{
			"c1 starts": {}, "c2 starts": {Changed: older},
			"c1": {TableLoaded: true, AllEntries: 6, Changed: newest}, "c2": {TableLoaded: true, AllEntries: 6, Changed: older},
		}
		first := false
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			step := rapid.SampledFrom([]string{"c1 starts", "c2 starts", "c1", "c2", "publish", "publish"}).Draw(t, "step")
			if step == "publish" {
				s.publish(clock.Now())
			} else {
				s.adoptView(step[:2], views[step])
				first = first || step == "c1"
			}
			table := s.Table()
			if table != nil && (!first || table.Teams[teamKey].Name != "held") {
				t.Fatalf("the entry serves by the teams %v; the first process's table was read: %v", table.Teams, first)
			}
			if share := s.Share(); share != nil && share.AllEntries != 6 {
				t.Fatalf("a limit is shared with %d entries", share.AllEntries)
			}
		}
		s.adoptView("c1", views["c1"])
		s.publish(clock.Now())
		if s.Table() == nil || s.Share() == nil {
			t.Fatal("the entry does not serve after the first process's table")
		}
	})
}

// teamKey is the hash of the key of the teams of teamRows.
var teamKey = strings.Repeat("0", 64)

// teamRows returns one version of a team's row, as it is sent.
func teamRows(t interface{ Fatal(...any) }, version uint64, name string) []*marbleroadv1.Item {
	row := &table.Row{Sheet: table.Teams, Name: name, Version: version, Team: &table.Team{KeySHA256: teamKey}}
	it, err := row.Item()
	if err != nil {
		t.Fatal(err)
	}
	return []*marbleroadv1.Item{{Key: table.Key(table.Teams, "team"), Version: version, Value: it.Value}}
}
