package entry

import (
	"strings"
	"testing"
)

// FuzzEventID parses arbitrary text as a Last-Event-ID. The parts of an accepted ID
// must not contain characters that change the path or query of a URL.
func FuzzEventID(f *testing.F) {
	f.Add("obuda/obuda-gpu-1/01jabc/7")
	f.Add("../../x/1")
	f.Add("a/b/c/99999999999999999999")
	f.Add("a/b?c=/d/1")
	f.Fuzz(func(t *testing.T, text string) {
		id, ok := parseEventID(text)
		if !ok {
			return
		}
		for _, part := range []string{id.failureDomain, id.vm, id.run} {
			if part == "" || strings.ContainsAny(part, "/?#%\\ \r\n") || part == ".." {
				t.Fatalf("accepted %q with part %q", text, part)
			}
		}
	})
}
