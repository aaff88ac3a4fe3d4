package quarantine

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/marbleroad/marbleroad/test/seed"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestVerdicts: what is held against a request follows from the lives that ended under it since it
// was last answered.
func TestVerdicts(t *testing.T) {
	type step struct {
		at     float64
		life   Life // 0: it is answered
		alone  bool
		ends   int
		caught bool
	}
	for name, steps := range map[string][]step{
		"three lives, alone":            {{1, 1, true, 1, false}, {2, 2, true, 2, false}, {3, 3, true, 3, true}},
		"in company":                    {{1, 1, true, 1, false}, {2, 2, true, 2, false}, {3, 3, false, 3, false}, {4, 4, false, 4, true}},
		"one life is told twice":        {{1, 1, true, 1, false}, {1.1, 1, true, 1, false}, {2, 1, true, 1, false}},
		"answered between":              {{1, 1, true, 1, false}, {2, 2, true, 2, false}, {2.5, 0, false, 0, false}, {3, 3, true, 1, false}},
		"answered while in quarantine":  {{1, 1, true, 1, false}, {2, 2, true, 2, false}, {3, 3, true, 3, true}, {3.1, 0, false, 0, false}},
		"one end is forgotten":          {{1, 1, true, 1, false}, {32, 2, true, 1, false}},
		"two ends are kept for minutes": {{1, 1, true, 1, false}, {2, 2, true, 2, false}, {500, 3, true, 3, true}},
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable()
			for i, s := range steps {
				if s.life == 0 {
					table.Served(at(s.at), 9)
				} else {
					table.Ended(at(s.at), 9, s.life, s.alone)
				}
				if v := table.Judge(at(s.at), 9); v.Ends != s.ends || (v.Quarantined > 0) != s.caught {
					t.Errorf("step %d: %+v, expected %+v", i, v, s)
				}
			}
		})
	}
}

// TestNodesCountTogether: two failure domains that were cut off from each other each saw two ends.
// Together they are enough.
func TestNodesCountTogether(t *testing.T) {
	a, b := NewTable(), NewTable()
	var told []Fingerprint
	a.OnQuarantine(func(f Fingerprint) { told = append(told, f) })
	for life := range Life(2) {
		a.Ended(at(1), 9, life, true)
		b.Ended(at(1), 9, life+2, true)
	}
	a.Merge(at(2), b.Proved(at(2)))
	if v := a.Judge(at(2), 9); v.Quarantined == 0 || len(told) != 1 {
		t.Errorf("%+v, told of %v", v, told)
	}
}

// TestQuarantineEnds: a request is let go after an hour, and three more ends catch it again.
func TestQuarantineEnds(t *testing.T) {
	table := NewTable()
	for life := range Life(3) {
		table.Ended(at(float64(life)), 9, life+1, true)
	}
	if v := table.Judge(at(3590), 9); v.Quarantined <= 0 {
		t.Errorf("let go early: %+v", v)
	}
	if v := table.Judge(at(3603), 9); v != (Verdict{}) {
		t.Errorf("still held: %+v", v)
	}
	if v := table.Ended(at(3604), 9, 7, true); v.Ends != 1 {
		t.Errorf("after it was let go: %+v", v)
	}
}

// sizes are how many records there are, how many of them are proved, and how many requests are
// in quarantine.
func (t *Table) sizes(now time.Time) (records, proved, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	for _, r := range t.records {
		if !r.QuarantinedAt.IsZero() {
			quarantined++
		}
	}
	return len(t.records), t.proved, quarantined
}

// TestTableIsBounded: thousands of requests that each saw one end, and more that saw two, don't
// grow the table beyond its bounds, and those in quarantine are the last to go.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for life := range Life(3) {
		table.Ended(at(0), 1, life+1, true)
	}
	for i := range 4 * mostRecords {
		table.Ended(at(float64(i)/1000), Fingerprint(i+2), 1, true)
		if i%8 == 0 {
			table.Ended(at(float64(i)/1000), Fingerprint(i+2), 2, true)
		}
	}
	records, proved, quarantined := table.sizes(at(60))
	if records > mostRecords || proved > mostProved || quarantined != 1 {
		t.Errorf("%d records, %d proved, %d in quarantine", records, proved, quarantined)
	}
}

// TestMergesAgree: tables that heard the same facts in any order and any number of times say the
// same, and telling them anew is no news.
func TestMergesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fact := rapid.Custom(func(t *rapid.T) Record {
			r := Record{Fingerprint: Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))}
			when := at(float64(rapid.IntRange(1, 20).Draw(t, "second")))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r.ClearedAt = when
			default:
				r.add(End{Life(rapid.IntRange(1, 4).Draw(t, "life")), when})
			}
			return r
		})
		facts := rapid.SliceOfN(fact, 1, 12).Draw(t, "facts")
		// A life ends once.
		ended := make(map[Life]time.Time)
		for i := range facts {
			for k, e := range facts[i].Ends {
				if before, ok := ended[e.Life]; ok {
					facts[i].Ends[k].At = before
				}
				ended[e.Life] = facts[i].Ends[k].At
			}
		}
		order := rapid.Permutation(facts).Draw(t, "order")
		a, b := NewTable(), NewTable()
		a.Merge(at(20), facts)
		b.Merge(at(20), order)
		for range 2 {
			b.Merge(at(20), a.collect(func(*Record) bool { return true }))
			a.Merge(at(20), b.collect(func(*Record) bool { return true }))
		}
		for f := range Fingerprint(4) {
			if x, y := a.Judge(at(20), f), b.Judge(at(20), f); x.Ends != y.Ends {
				t.Fatalf("request %d: %+v and %+v", f, x, y)
			}
		}
		if a.Digest(at(20)) != b.Digest(at(20)) {
			t.Fatal("the digests differ")
		}
		if n := a.Merge(at(20), b.collect(func(*Record) bool { return true })); n > 0 {
			t.Fatalf("%d records are news again", n)
		}
	})
}

// TestRecordsOnTheWire: what is told arrives as it was, counted back from when it is heard.
func TestRecordsOnTheWire(t *testing.T) {
	r := Record{Fingerprint: 1 << 63, ClearedAt: at(1), QuarantinedAt: at(9), Proved: true}
	for life := range Life(3) {
		r.add(End{life + 1, at(float64(life) + 2)})
	}
	got := fromWire(at(100), toWire(at(10), r))
	if got.sum() != r.sum() || !got.ClearedAt.Equal(at(91)) || !got.QuarantinedAt.Equal(at(99)) || !got.Ends[0].At.Equal(at(92)) {
		t.Errorf("%+v", got)
	}
}

// TestFingerprints: the same team's same path and body are one request, anything else is another.
func TestFingerprints(t *testing.T) {
	one := Asked{Team: "a", Method: "POST", Host: "h", Target: "/x?y", Body: []byte("b")}
	seen := map[Fingerprint]bool{one.Fingerprint(): true}
	for _, other := range []Asked{
		{Team: "b", Method: "POST", Host: "h", Target: "/x?y", Body: []byte("b")},
		{Team: "a", Method: "GET", Host: "h", Target: "/x?y", Body: []byte("b")},
		{Team: "a", Method: "POST", Host: "i", Target: "/x?y", Body: []byte("b")},
		{Team: "a", Method: "POST", Host: "h", Target: "/x?z", Body: []byte("b")},
		{Team: "a", Method: "POST", Host: "h", Target: "/x?yb"},
		{Team: "aP", Method: "OST", Host: "h", Target: "/x?y", Body: []byte("b")},
	} {
		if f := other.Fingerprint(); seen[f] {
			t.Errorf("%+v is taken for another request", other)
		} else {
			seen[f] = true
		}
	}
	if one.Fingerprint() != (Asked{Team: "a", Method: "POST", Host: "h", Target: "/x?y", Body: []byte("b")}).Fingerprint() {
		t.Error("one request has two fingerprints")
	}
}
