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
// -update to regenerate the page.
func TestMetricsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(`# Metrics

marbleroad-node serves these under ` + "`/metrics`" + ` of gateway.admin, in the
Prometheus text format, or as JSON with ` + "`?format=json`" + `. In the text format a
name begins with ` + "`marbleroad_`" + `, dots and hyphens become underscores, and a timer is a
summary in seconds with the quantiles 0.5, 0.95 and 0.99, a sum and a count.
Upper-case words stand for the values by which a metric is split. This page is
generated from the code (` + "`go test ./internal/metrics -update`" + `).

| name | kind | meaning |
|---|---|---|
`)
	for _, m := range Catalogue {
		_, _ = fmt.Fprintf(&b, "| %s | %s | %s |\n", m.Name, m.Kind, m.Help)
	}
	goldie.New(t, goldie.WithFixtureDir("../../docs"), goldie.WithNameSuffix(".md")).Assert(t, "METRICS", []byte(b.String()))
}

// metricUse matches a call that names a metric. The pattern leaves out the first letter of
// the registry's field, which is called metrics or Metrics.
var metricUse = regexp.MustCompile(`etrics\.(Count|Set|Observe)\("([a-z_.]+)"`)

// TestEveryMetricIsListed searches the sources of marbleroad-node for metrics that the
// catalogue does not list.
func TestEveryMetricIsListed(t *testing.T) {
	kinds := map[string]string{"Count": "counter", "Set": "gauge", "Observe": "timer"}
	uses := 0
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
			for _, m := range metricUse.FindAllStringSubmatch(string(source), -1) {
				uses++
				if !listed(m[2], kinds[m[1]]) {
					t.Errorf("%s: %s %q is not in the catalogue", file, kinds[m[1]], m[2])
				}
			}
		}
	}
	if uses < len(Catalogue)/2 {
		t.Errorf("only %d uses found", uses)
	}
}

// placeholders matches a name from its first placeholder to its end.
var placeholders = regexp.MustCompile(`[A-Z].*`)

// listed reports whether the catalogue has a metric of this kind whose name, up to its
// first placeholder, is the given one.
func listed(name, kind string) bool {
	for _, m := range Catalogue {
		if m.Kind == kind && placeholders.ReplaceAllString(m.Name, "") == name {
			return true
		}
	}
	return false
}
