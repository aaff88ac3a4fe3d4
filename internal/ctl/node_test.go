package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/fairshare"
	"github.com/marbleroad/marbleroad/internal/inspect"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

func testView() inspect.View {
	return inspect.View{
		Node: "front-a-1", FailureDomain: "a", Ready: true, ListAge: 420 * time.Millisecond, ListRevision: 812, Directing: []string{"a"}, Evacuated: []string{"c"},
		Configuration: inspect.Configuration{Version: 46, VerifiedAge: 800 * time.Millisecond, Services: []string{"llm"}, Teams: []string{"ops"},
			Routes: []inspect.Route{{Name: "r-1", Host: "h.example", Prefix: "/a/", Kind: "stream", Priority: 1, Timeout: 8 * time.Second, Services: []string{"llm"}}}},
		Nodes: []inspect.Node{{ID: "front-b-1", FailureDomain: "b", Age: 210 * time.Millisecond, Directing: []string{"b"}, Stopping: true}},
		Groups: []inspect.Group{
			{Name: "g-1", Generation: 66, Service: "llm", Model: "big", Size: 2, Members: []string{"v1", "v2"}, State: "open", Running: 7},
			{Name: "g-2", Generation: 70, Service: "llm", Model: "big", Size: 2, Members: []string{"v3"}, State: "open", Running: 1, ExclusionReason: "its streams fell silent"},
		},
		Upstreams: []inspect.VM{
			{ID: "v1", Address: "10.0.0.1:80", Service: "llm", FailureDomain: "a", Fabric: "a-d0", Group: "g-1", State: "open", Staged: []string{"small"},
				Condition: "takes 1.7/s, heard 400ms ago"},
			{ID: "v9", Address: "10.0.0.9:80", Service: "api", FailureDomain: "a", Draining: true, State: "unassigned"},
		},
		Suspects: []inspect.Suspect{
			{Fingerprint: "f3a4f860b4ef0563", Terminations: 3, LastTermination: 90 * time.Second, Quarantined: true, Remaining: 58*time.Minute + 30*time.Second},
			{Fingerprint: "00a4f860b4ef0563", Terminations: 1, LastTermination: 700 * time.Millisecond, Remaining: 29 * time.Second},
		},
	}
}

// testShares returns the shares of a node with one team beyond its share, and a reserve of an unknown route.
func testShares() *fairshare.Report {
	share := 0.75
	return &fairshare.Report{
		Models: []fairshare.ModelReport{{Service: "llm", Model: "big", Rejected: 0.4, Teams: []fairshare.TeamReport{
			{Team: "ops", Weight: 2, Asked: 3.5, Admitted: 0.74, Share: &share}, {Team: "lab", Weight: 1, Asked: 0.2, Admitted: 0.2}}}},
		Reserves: []fairshare.ReserveReport{{Route: "gone", Fraction: 0.1}, {Route: "r-1", Fraction: 0.2, InForce: true}},
		Refusals: []fairshare.Refusal{{Team: "ops", Route: "r-1", Count: 42}},
	}
}

// TestNodeStatusWithShares compares the status of a node whose shares of teams are on with the golden file.
func TestNodeStatusWithShares(t *testing.T) {
	view := testView()
	view.FairShares = testShares()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(view) }))
	defer server.Close()
	var out bytes.Buffer
	if code := Main([]string{"node", "status", "--node", strings.TrimPrefix(server.URL, "http://")}, strings.NewReader(""), &out, &out); code != exitOK {
		t.Errorf("exit code %d", code)
	}
	goldie.New(t).Assert(t, "shares", out.Bytes())
}

// TestNodeViews compares what each node command prints with the golden file.
func TestNodeViews(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(testView()) }))
	defer server.Close()
	var out bytes.Buffer
	for _, verb := range []string{"status", "groups", "upstreams", "configuration", "quarantine"} {
		args := []string{"node", verb, "--node", strings.TrimPrefix(server.URL, "http://")}
		if code := Main(args, strings.NewReader(""), &out, &out); code != exitOK {
			t.Errorf("%s: exit code %d", verb, code)
		}
		out.WriteString("----\n")
	}
	goldie.New(t).Assert(t, "node", out.Bytes())
}

// TestRelease checks that the release command releases a request from quarantine, and reports
// an error for a request without terminations and for a malformed fingerprint.
func TestRelease(t *testing.T) {
	suspects := quarantine.NewTable()
	for incarnation := range quarantine.Incarnation(3) {
		suspects.RecordTermination(clock.Now(), 0xf3a4f860b4ef0563, incarnation, true)
	}
	server := httptest.NewServer(inspect.ReleaseHandler(suspects))
	defer server.Close()
	release := func(fingerprint string) (int, string) {
		var out bytes.Buffer
		code := Main([]string{"node", "release", fingerprint, "--node", strings.TrimPrefix(server.URL, "http://")}, strings.NewReader(""), &out, &out)
		return code, out.String()
	}
	if code, out := release("f3a4f860b4ef0563"); code != exitOK {
		t.Errorf("exit code %d: %s", code, out)
	}
	if v := suspects.Verdict(clock.Now(), 0xf3a4f860b4ef0563); v != (quarantine.Verdict{}) {
		t.Errorf("still on record: %+v", v)
	}
	if code, out := release("f3a4f860b4ef0563"); code != exitFailure || !strings.Contains(out, "has no terminations on record") {
		t.Errorf("second release: exit code %d: %s", code, out)
	}
	if code, out := release("soon"); code != exitUsage || !strings.Contains(out, "hexadecimal") {
		t.Errorf("malformed fingerprint: exit code %d: %s", code, out)
	}
}

func TestNodeErrors(t *testing.T) {
	notNode := httptest.NewServer(http.NotFoundHandler())
	defer notNode.Close()
	var out bytes.Buffer
	if code := Main([]string{"node", "status", "--node", ""}, strings.NewReader(""), &out, &out); code != exitUsage {
		t.Errorf("without a node: exit code %d", code)
	}
	out.Reset()
	code := Main([]string{"node", "status", "--node", strings.TrimPrefix(notNode.URL, "http://")}, strings.NewReader(""), &out, &out)
	if code != exitFailure || !strings.Contains(out.String(), "gateway.admin") {
		t.Errorf("another server: exit code %d, %s", code, out.String())
	}
}

// TestNodeStatusShowsDirectorsThatAreDown guards against an operator who sees only that a node manages nothing.
func TestNodeStatusShowsDirectorsThatAreDown(t *testing.T) {
	view := testView()
	view.DirectorDown, view.Nodes[0].DirectorDown = true, true
	g, _ := nodeStatus(view)
	for _, row := range g.rows {
		if !strings.Contains(strings.Join(row, "|"), "director is down") {
			t.Errorf("row %v", row)
		}
	}
}
