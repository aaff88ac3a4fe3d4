package event

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestEventsPage compares docs/EVENTS.md with the catalogue. Run the test with
// -update to regenerate the page.
func TestEventsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(`# Events

The daemons write JSON lines to standard output. Each line has ` + "`event`" + `, the
number below, ` + "`level`, `message`, `node`, `program` and `time`" + `, and the
fields of the event. Numbers are never reused. This page is generated from the code
(` + "`go test ./internal/event -update`" + `).

| event | level | message | what to do |
|---|---|---|---|
`)
	for _, e := range Catalogue {
		_, _ = fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Message, e.Action)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "EVENTS", []byte(b.String()))
}

func TestNumbersAreUniqueAndRise(t *testing.T) {
	last := ID(0)
	for _, e := range Catalogue {
		if e.ID <= last {
			t.Errorf("event %d after %d", e.ID, last)
		}
		last = e.ID
	}
}

func TestLevelFilters(t *testing.T) {
	var out bytes.Buffer
	l, err := New(&out, "warn", "n", "p")
	if err != nil {
		t.Fatal(err)
	}
	l.Emit(Started).Send()
	l.Emit(InvalidKey).Str("address", "x").Send()
	if strings.Contains(out.String(), `"event":1001`) || !strings.Contains(out.String(), `"event":6001`) {
		t.Errorf("log: %s", out.String())
	}
	if _, err := New(&out, "loud", "n", "p"); err == nil {
		t.Error("level loud was accepted")
	}
}
