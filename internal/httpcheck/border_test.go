package httpcheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// unchecked matches clients of net/http whose responses nobody checks.
var unchecked = regexp.MustCompile(`http\.(DefaultTransport|DefaultClient|Get\(|Head\(|Post\(|PostForm\(|ReadResponse\(|Client\{\})`)

// TestAllResponsesAreChecked searches the sources for an HTTP client whose responses are not checked.
func TestAllResponsesAreChecked(t *testing.T) {
	for _, root := range []string{"../../internal", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			text := string(source)
			if found := unchecked.FindString(text); found != "" {
				t.Errorf("%s uses %s", path, found)
			}
			if strings.Contains(text, "&http.Transport{") && !strings.Contains(text, "httpcheck.NewTransport(") {
				t.Errorf("%s has a transport that is not one of httpcheck", path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}
