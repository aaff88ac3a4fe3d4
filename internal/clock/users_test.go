package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// steady finds looks at the clock that stands still while the VM is suspended.
var steady = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// allowed are the uses that are no ages: moments handed to the system, which goes by its own
// clock, and times of day that are written down or read.
var allowed = []string{"SetReadDeadline(time.Now().Add(", "SetWriteDeadline(time.Now().Add(", "UnixNano()", "m.GetAuthor(), time.Now()", "time.Until(moment)"}

// TestAgesAreByThisClock: one age by the other clock is enough for a stale proof to hold over a
// suspension, so these packages don't use it. The archive's times of day are no ages.
func TestAgesAreByThisClock(t *testing.T) {
	looked := 0
	for _, folder := range []string{"gateway", "feed", "catalog", "cluster", "fleet", "director", "quarantine", "retry", "backpressure", "placement", "batch", "inspect", "../platform", "control", "presence", "entry", "routing", "quota", "admission", "ledger"} {
		files, err := filepath.Glob("../" + folder + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "quarantine/archive.go") {
				continue
			}
			looked++
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for i, line := range strings.Split(string(text), "\n") {
				harmless := slices.ContainsFunc(allowed, func(text string) bool { return strings.Contains(line, text) })
				if steady.MatchString(line) && !harmless {
					t.Errorf("%s:%d: %s", file, i+1, strings.TrimSpace(line))
				}
			}
		}
	}
	if looked < 40 {
		t.Errorf("only %d files were looked at", looked)
	}
}
