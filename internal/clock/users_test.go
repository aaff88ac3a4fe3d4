package clock

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// steady finds looks at the clock that stands still while the VM is suspended.
var steady = regexp.MustCompile(`\btime\.(Now|Since|Until)\(`)

// converted marks a line that hands a moment to the system, which goes by its own clock.
const converted = "time.Now().Add(clock.Until("

// TestAgesAreByThisClock: one age by the other clock is enough for a stale proof to hold over a
// suspension, so marbleroad-node's packages don't use it. The archive's times of day are no ages.
func TestAgesAreByThisClock(t *testing.T) {
	looked := 0
	for _, folder := range []string{"gateway", "feed", "catalog", "cluster", "fleet", "director", "quarantine", "retry", "placement", "batch", "inspect", "../platform"} {
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
				if steady.MatchString(line) && !strings.Contains(line, converted) {
					t.Errorf("%s:%d: %s", file, i+1, strings.TrimSpace(line))
				}
			}
		}
	}
	if looked < 40 {
		t.Errorf("only %d files were looked at", looked)
	}
}
