package ctl

import (
	"bytes"
	"maps"
	"strings"
	"testing"

	"github.com/marbleroad/marbleroad/test/standin/unending"
)

// endlessTimeout is the timeout of a call whose response does not end, for responses that are too long before that;
// slowTimeout is that for others.
const (
	endlessTimeout = "10s"
	slowTimeout    = "300ms"
)

// run runs a command, and returns its exit code and output.
func run(args ...string) (int, string) {
	var out bytes.Buffer
	code := Main(args, strings.NewReader(""), &out, &out)
	return code, out.String()
}

// A response of a control daemon without an end was read into memory until the timeout.
func TestEndlessResponseOfControlDaemonFails(t *testing.T) {
	t.Setenv(envToken, "token")
	for name, response := range unending.RPCs() {
		if name == "error of a proxy" {
			// Its content is not read.
			continue
		}
		code, out := run("status", "--timeout", endlessTimeout, "--control", unending.NewRPC(t, response, 0))
		if code == exitOK || !strings.Contains(out, "longer than this call accepts") {
			t.Errorf("%s: exit code %d: %s", name, code, out)
		}
		if code, out := run("status", "--timeout", slowTimeout, "--control", unending.NewRPC(t, response, unending.Slow)); code == exitOK {
			t.Errorf("%s, slow: exit code %d: %s", name, code, out)
		}
	}
}

// A response of a node without an end was read into memory until the timeout.
func TestEndlessResponseOfNodeFails(t *testing.T) {
	responses := unending.Heads()
	maps.Copy(responses, unending.Bodies("200 OK", `{"node":"`, strings.Repeat("x", 16<<10)))
	for name, response := range responses {
		s := unending.New(t, response, 0)
		code, out := run("node", "status", "--timeout", endlessTimeout, "--node", s.Address())
		if code == exitOK || strings.Contains(out, "deadline") {
			t.Errorf("%s: exit code %d: %s", name, code, out)
		}
		s.AwaitClosed(t)
		s = unending.New(t, response, unending.Slow)
		if code, out := run("node", "status", "--timeout", slowTimeout, "--node", s.Address()); code == exitOK {
			t.Errorf("%s, slow: exit code %d: %s", name, code, out)
		}
		s.AwaitClosed(t)
	}
}

// A view that is followed by further bytes counted as complete.
func TestEndlessBytesAfterViewFail(t *testing.T) {
	s := unending.New(t, unending.Bodies("200 OK", `{"node":"a"}`, " ")["no length"], 0)
	if code, out := run("node", "status", "--timeout", slowTimeout, "--node", s.Address()); code == exitOK {
		t.Errorf("exit code %d: %s", code, out)
	}
	s.AwaitClosed(t)
}
