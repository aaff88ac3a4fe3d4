package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// monotonicUse finds uses of the clock that is paused while the VM is suspended.
var monotonicUse = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// allowed are the uses that measure no ages: deadlines passed to the system, which uses its own
// clock, and wall-clock times that are stored or parsed.
var allowed = []string{"SetReadDeadline(time.Now().Add(", "SetWriteDeadline(time.Now().Add(", "UnixNano()", "m.GetAuthor(), time.Now()", "time.Until(moment)"}

// TestAgesUseThisClock: a single age measured on the monotonic clock is enough for an outdated
// verification to remain valid after a suspension, so these packages must not use it. The wall-clock
// times of the quarantine archive are not ages.
func TestAgesUseThisClock(t *testing.T) {
	checked := 0
	for _, folder := range []string{"gateway", "feed", "catalog", "cluster", "fleet", "director", "quarantine", "retry", "backpressure", "placement", "batch", "inspect", "../platform", "control", "presence", "entry", "routing", "quota", "admission", "ledger"} {
		files, err := filepath.Glob("../" + folder + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") || strings.HasSuffix(file, "quarantine/archive.go") {
				continue
			}
			checked++
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for i, line := range strings.Split(string(text), "\n") {
				isAllowed := slices.ContainsFunc(allowed, func(text string) bool { return strings.Contains(line, text) })
				if monotonicUse.MatchString(line) && !isAllowed {
					t.Errorf("%s:%d: %s", file, i+1, strings.TrimSpace(line))
				}
			}
		}
	}
	if checked < 40 {
		t.Errorf("only %d files were checked", checked)
	}
}
