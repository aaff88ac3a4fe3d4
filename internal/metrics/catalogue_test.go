package metrics

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// TestMetricsPage compares docs/METRICS.md with the catalogue. Run the test with
// -update to write the page anew.
func TestMetricsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(`# Metrics

marbleroad-node serves these under ` + "`/metrics`" + ` of gateway.admin, in the
Prometheus text format, or as JSON with ` + "`?format=json`" + `. In the text format a
name begins with ` + "`marbleroad_`" + `, dots and hyphens become underscores, and a timer is a
summary in seconds with the quantiles 0.5, 0.95 and 0.99, a sum and a count.
Upper-case words stand for what a metric is kept by. This page is made from the
code (` + "`go test ./internal/metrics -update`" + `).

| name | kind | meaning |
|---|---|---|
`)
	for _, m := range Catalogue {
		_, _ = fmt.Fprintf(&b, "| %s | %s | %s |\n", m.Name, m.Kind, m.Help)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "METRICS", []byte(b.String()))
}

var used = regexp.MustCompile(`etrics\.(Count|Set|Observe)\("([a-z_.]+)"`)

// TestEveryMetricIsListed looks through the sources of marbleroad-node.
func TestEveryMetricIsListed(t *testing.T) {
	kinds := map[string]string{"Count": "counter", "Set": "gauge", "Observe": "timer"}
	found := 0
	for _, folder := range []string{"gateway", "director"} {
		files, err := filepath.Glob("../" + folder + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range used.FindAllStringSubmatch(string(source), -1) {
				found++
				if !listed(m[2], kinds[m[1]]) {
					t.Errorf("%s: %s %q is not in the catalogue", file, kinds[m[1]], m[2])
				}
			}
		}
	}
	if found < len(Catalogue)/2 {
		t.Errorf("only %d uses found", found)
	}
}

// kept is what a metric is kept by, to the end of its name.
var kept = regexp.MustCompile(`[A-Z].*`)

func listed(name, kind string) bool {
	for _, m := range Catalogue {
		if m.Kind == kind && kept.ReplaceAllString(m.Name, "") == name {
			return true
		}
	}
	return false
}
