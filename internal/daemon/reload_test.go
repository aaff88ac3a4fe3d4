package daemon

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/settings"
)

// TestBadOverloadSettingsLeaveARunningNodeAsItIs: a file with a bad value in [overload] must change nothing at a
// node that reads it again, not even the part of the file that is valid, and the fault is logged with file,
// section and key.
func TestBadOverloadSettingsLeaveARunningNodeAsItIs(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.ini")
	if err := os.WriteFile(path, []byte("[log]\nlevel = error\n[overload]\nfair_shares = yes\nreserve = r=1.5\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	log, err := event.New(&out, "info", "n", "test")
	if err != nil {
		t.Fatal(err)
	}
	signals := make(chan os.Signal, 1)
	signals <- syscall.SIGHUP
	close(signals)
	base{log: log, settingsPath: path, program: settings.NodeProgram}.reloadOnSignal(signals)
	for _, part := range []string{`"event":1007`, path, "[overload]", "reserve"} {
		if !strings.Contains(out.String(), part) {
			t.Errorf("the log does not name %s: %s", part, out.String())
		}
	}
	out.Reset()
	log.Emit(event.Started).Send()
	if out.Len() == 0 {
		t.Error("the level of a file with a fault is in force")
	}
}
