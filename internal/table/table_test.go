package table

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestTablePage compares docs/TABLE.md with the page generated from the sheets. Run the
// test with -update to regenerate the page.
func TestTablePage(t *testing.T) {
	var b strings.Builder
	b.WriteString(`# The operators' table

Five sheets, one row per service, team, group of VMs, limit or VM. A row's name
is 1 to 63 of a-z, 0-9, dot, underscore and hyphen. This page is made from the
code (` + "`go test ./internal/table -update`" + `).

`)
	for _, s := range Sheets {
		_, _ = fmt.Fprintf(&b, "## %s\n\n%s\n\n| column | default | meaning |\n|---|---|---|\n", s.Name, s.Doc)
		for _, c := range s.Columns {
			value := c.Default
			if value == "" {
				value = "none"
			}
			_, _ = fmt.Fprintf(&b, "| %s | %s | %s |\n", c.Name, value, c.Doc)
		}
		b.WriteByte('\n')
	}
	page := strings.TrimRight(b.String(), "\n") + "\n"
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "TABLE", []byte(page))
}

func TestHistoryIsBounded(t *testing.T) {
	s, err := Lookup(VMs)
	if err != nil {
		t.Fatal(err)
	}
	r := s.NewRow("x")
	for i := range 2 * MaxChanges {
		r.Record(fmt.Sprint(i), "a", time.Unix(int64(i), 0))
	}
	if len(r.Changes) != MaxChanges || r.Version != 2*MaxChanges || !r.HasChange(fmt.Sprint(2*MaxChanges-1)) {
		t.Errorf("history of %d changes at version %d", len(r.Changes), r.Version)
	}
}

// FuzzDecode checks, for any bytes as a stored row, that an accepted row has a known
// sheet, a name, a version and its sheet's cells, and that it can be encoded and decoded
// again without a change of its cells.
func FuzzDecode(f *testing.F) {
	for _, s := range Sheets {
		r := s.NewRow("row")
		r.Record("c", "a", time.Unix(1, 0))
		it, err := r.Item()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(it.Value)
	}
	f.Add([]byte(`{"sheet":"teams","name":"x","version":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(data)
		if err != nil {
			return
		}
		if r.Cells() == nil || r.Version == 0 || r.Name == "" {
			t.Fatalf("accepted an incomplete row: %s", data)
		}
		it, err := r.Item()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(it.Value)
		if err != nil || strings.Join(again.Cells(), "|") != strings.Join(r.Cells(), "|") {
			t.Fatalf("%s became %s: %v", data, it.Value, err)
		}
	})
}
