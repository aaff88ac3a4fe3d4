package integration

import (
	"encoding/csv"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/test/standin/faultproxy"
)

// weight returns a team's weight and row version as a node shows them, or -1 and -1 if it shows no row.
func (s *deployment) weight(nd *node, team string) (weight, version int) {
	out, code := s.ctl(nd, "table", "get", "teams", team, "-o", "csv")
	if code != 0 {
		return -1, -1
	}
	records, err := csv.NewReader(strings.NewReader(out)).ReadAll()
	if err != nil || len(records) != 2 {
		return -1, -1
	}
	for i, column := range records[0] {
		switch column {
		case "weight":
			weight, _ = strconv.Atoi(records[1][i])
		case "version":
			version, _ = strconv.Atoi(records[1][i])
		}
	}
	return weight, version
}

// awaitWeight waits until all nodes show the weight.
func (s *deployment) awaitWeight(team string, weight int) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("weight %d of %s is in force everywhere", weight, team), func() bool {
		return s.everyNode(func(nd *node) bool {
			shown, _ := s.weight(nd, team)
			return shown == weight
		})
	})
}

// watchVersions polls a team's row version at all nodes until stop is called, and fails the test if a node's
// version decreases.
func (s *deployment) watchVersions(team string) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, nd := range s.nodes {
		group.Add(1)
		go func() {
			defer group.Done()
			last := 0
			for {
				select {
				case <-done:
					return
				default:
				}
				if _, v := s.weight(nd, team); v > 0 {
					if v < last {
						s.t.Errorf("%s: the version of %s decreased from %d to %d", nd.id, team, last, v)
					}
					last = v
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// setWeight changes a team's weight with marbleroadctl at a node and returns the output and the exit code.
func (s *deployment) setWeight(nd *node, team string, weight int, flags ...string) (string, int) {
	args := append([]string{"table", "set", "teams", team, fmt.Sprintf("weight=%d", weight)}, flags...)
	return s.ctl(nd, args...)
}

// newTwoDomainDeployment returns a deployment with two failure domains of two nodes each.
func newTwoDomainDeployment(t *testing.T) *deployment {
	t.Helper()
	topo := smallTopology()
	topo.domains = []string{"obuda", "csepel"}
	s := newDeployment(t, topo)
	s.loadTables(topo.domains, 4, 1)
	return s
}

// TestOperatorsRace lets operators at all nodes change one row at once. Every accepted change is in the row's
// history exactly once, every lost race is reported as a conflict, and the last accepted value is in force
// everywhere.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	stop := s.watchVersions("agrimet")
	var mu sync.Mutex
	accepted := make(map[string]bool)
	parallel(12, func(i int) {
		for n := range 3 {
			id := fmt.Sprintf("race-%d-%d", i, n)
			out, code := s.setWeight(s.nodes[i%len(s.nodes)], "agrimet", 10+i*10+n, "--change", id)
			switch code {
			case 0:
				mu.Lock()
				accepted[id] = true
				mu.Unlock()
			case 3:
				if !strings.Contains(out, "conflict") {
					t.Errorf("a lost race prints %s", out)
				}
			default:
				t.Errorf("exit code %d: %s", code, out)
			}
		}
	})
	stop()
	row := s.storedRow(table.Teams, "agrimet")
	if int(row.Version) != len(accepted)+1 {
		t.Errorf("%d changes accepted, but the row is at version %d", len(accepted), row.Version)
	}
	for _, c := range row.Changes[1:] {
		if strings.HasPrefix(c.ID, "race") && !accepted[c.ID] {
			t.Errorf("change %s is stored but was not reported as accepted", c.ID)
		}
	}
	s.awaitWeight("agrimet", row.Team.Weight)
	s.history.check()
}

// storedRow returns a row's newest accepted write at the platform.
func (s *deployment) storedRow(sheet table.SheetName, name string) *table.Row {
	s.t.Helper()
	var row *table.Row
	for _, o := range s.platform.History() {
		if o.Key == table.Key(sheet, name) {
			decoded, err := table.Decode(o.Value)
			if err != nil {
				s.t.Fatal(err)
			}
			row = decoded
		}
	}
	return row
}

func TestSheetsRace(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	sheet, _ := s.ctl(s.nodes[0], "table", "get", "teams", "-o", "csv")
	var mu sync.Mutex
	codes := make(map[int]int)
	parallel(4, func(i int) {
		edited := strings.ReplaceAll(sheet, ",4,9,", fmt.Sprintf(",%d,9,", 20+i))
		edited = strings.ReplaceAll(edited, ",1,5,", fmt.Sprintf(",%d,5,", 20+i))
		_, code := s.ctlIn(s.nodes[i], edited, "table", "apply", "teams", "-")
		mu.Lock()
		defer mu.Unlock()
		codes[code]++
	})
	if codes[0]+codes[3] != 4 {
		t.Errorf("exit codes %v", codes)
	}
	for _, team := range []string{"forecasters", "agrimet"} {
		s.awaitWeight(team, s.storedRow(table.Teams, team).Team.Weight)
	}
	s.history.check()
}

func TestAcceptedWriteWhoseAnswerIsLost(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	for n := range 5 {
		s.platform.LoseResponses(1)
		out, code := s.setWeight(s.nodes[n%4], "agrimet", 30+n)
		if code != 0 {
			t.Errorf("exit code %d: %s", code, out)
		}
		s.awaitWeight("agrimet", 30+n)
	}
	if row := s.storedRow(table.Teams, "agrimet"); row.Version != 6 {
		t.Errorf("version %d after 5 changes", row.Version)
	}
	s.history.check()
}

// TestReaderKilled kills each control process in turn, so that the one that reads the platform for its failure
// domain is among them.
func TestReaderKilled(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	for i, nd := range s.nodes {
		nd.control.kill()
		other := s.nodes[(i+2)%4]
		if out, code := s.setWeight(other, "agrimet", 40+i); code != 0 {
			t.Fatal(out)
		}
		s.eventually("the change is in force at the others", func() bool {
			return s.everyNode(func(o *node) bool {
				got, _ := s.weight(o, "agrimet")
				return o == nd || got == 40+i
			})
		})
		s.startControl(nd)
		s.awaitWeight("agrimet", 40+i)
	}
	s.eventually("every entry serves", func() bool { return s.everyNode(s.serves) })
	s.history.check()
}

// partitionDomain sets the mode of the connections between csepel and obuda, and optionally of those between csepel
// and the platform.
func (s *deployment) partitionDomain(mode faultproxy.Mode, fromPlatform bool) {
	for _, a := range s.nodes {
		for _, b := range s.nodes {
			if a.domain == "csepel" && b.domain == "obuda" {
				s.partitionPair(a, b, mode)
			}
		}
		if a.domain == "csepel" && fromPlatform {
			s.partitionFromPlatform(a, mode)
		}
	}
}

func TestDomainCutFromPlatformLearnsFromNeighbours(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	stop := s.watchVersions("agrimet")
	for _, nd := range s.nodes {
		if nd.domain == "csepel" {
			s.partitionFromPlatform(nd, faultproxy.Freeze)
		}
	}
	if out, code := s.setWeight(s.nodes[0], "agrimet", 50); code != 0 {
		t.Fatal(out)
	}
	s.awaitWeight("agrimet", 50)
	stop()
	s.history.check()
}

func TestDomainCutFromAllServesAndCatchesUp(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	stop := s.watchVersions("agrimet")
	s.partitionDomain(faultproxy.Freeze, true)
	if out, code := s.setWeight(s.nodes[0], "agrimet", 60); code != 0 {
		t.Fatal(out)
	}
	for range 10 {
		for _, nd := range s.nodes {
			if !s.serves(nd) {
				t.Errorf("%s does not serve while csepel is partitioned", nd.id)
			}
		}
	}
	if out, code := s.setWeight(s.nodes[2], "agrimet", 61); code == 0 {
		t.Errorf("a partitioned node accepted a change: %s", out)
	}
	s.partitionDomain(faultproxy.Pass, true)
	s.awaitWeight("agrimet", 60)
	stop()
	s.history.check()
}

// TestFreshNodeWithOnlyAStalePeer restarts a node whose only peer missed the newest change. The node must not be
// ready before it has the change from the platform.
func TestFreshNodeWithOnlyAStalePeer(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	fresh, stale := s.nodes[0], s.nodes[1]
	s.partitionPair(fresh, stale, faultproxy.Refuse)
	s.partitionFromPlatform(stale, faultproxy.Refuse)
	if out, code := s.setWeight(fresh, "agrimet", 70); code != 0 {
		t.Fatal(out)
	}
	fresh.control.kill()
	fresh.entry.kill()
	s.partitionPair(fresh, stale, faultproxy.Pass)
	s.startNode(fresh)
	s.eventually("the fresh node is ready", func() bool { return s.ready(fresh) })
	if got, _ := s.weight(fresh, "agrimet"); got != 70 {
		t.Errorf("the fresh node was ready with weight %d", got)
	}
	s.awaitWeight("agrimet", 70)
	s.history.check()
}

func TestDeletedTeamStaysDeleted(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	s.partitionDomain(faultproxy.Freeze, true)
	if out, code := s.ctl(s.nodes[0], "table", "delete", "teams", "agrimet"); code != 0 {
		t.Fatal(out)
	}
	s.partitionDomain(faultproxy.Pass, true)
	refusedEverywhere := func() bool {
		return s.everyNode(func(nd *node) bool {
			return s.call(nd, request{key: bulkKey}).status == http.StatusUnauthorized
		})
	}
	s.eventually("the key is refused everywhere", refusedEverywhere)
	for range 20 {
		if !refusedEverywhere() {
			t.Error("a node did not refuse the deleted team's key")
		}
	}
	s.history.check()
}

// TestStoreOutageLeavesServingUntouched checks that model requests don't fail while the platform is down or hangs,
// and that the nodes stay within a low rate limit when it recovers, so that changes are accepted and propagated.
func TestStoreOutageLeavesServingUntouched(t *testing.T) {
	t.Parallel()
	s := newTwoDomainDeployment(t)
	for _, fault := range []func(bool){s.platform.SetDown, s.platform.SetHang} {
		fault(true)
		for range 30 {
			for _, nd := range s.nodes {
				if a := s.call(nd, request{}); a.status != http.StatusOK {
					t.Errorf("%s: %d %s", nd.id, a.status, a.body)
				}
			}
		}
		// The limit is far below the platform's published rates, because this deployment has 4 nodes instead of 580.
		s.platform.LimitRate(100)
		before := s.platform.Counts().Refused
		fault(false)
		weight := 80 + before%7
		s.eventually("a change is accepted again", func() bool {
			_, code := s.setWeight(s.nodes[0], "agrimet", weight)
			return code == 0
		})
		s.awaitWeight("agrimet", weight)
	}
	s.history.check()
}

func TestErrorsOfASheetAreReportedTogether(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	sheet := "name,weight,max_priority\nforecasters,0,9\nagrimet,2,11\nBad Name,1,1\n"
	out, code := s.ctlIn(s.nodes[0], sheet, "table", "apply", "teams", "-")
	for _, want := range []string{"line 2", "column weight", "line 3", "column max_priority", "line 4", "column name"} {
		if !strings.Contains(out, want) {
			t.Errorf("%q is missing in:\n%s", want, out)
		}
	}
	if code != 4 {
		t.Errorf("exit code %d", code)
	}
	if got, version := s.weight(s.nodes[0], "forecasters"); got != 4 || version != 1 {
		t.Errorf("a sheet with errors changed a row: weight %d version %d", got, version)
	}
}

func TestWithoutCredentialsNothingIsGiven(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	before := s.executionCount()
	for _, key := range []string{"wrong", " ", keyHash(teamKey)} {
		if a := s.call(s.nodes[0], request{key: key}); a.status != http.StatusUnauthorized {
			t.Errorf("key %q: %d", key, a.status)
		}
	}
	for _, path := range []string{"GetTable", "Apply", "Drain", "Status", "Explain"} {
		url := fmt.Sprintf("http://%s:%d/marbleroad.v1.OperatorService/%s", s.nodes[0].ip, controlPort, path)
		resp, err := http.Post(url, "application/json", strings.NewReader("{}"))
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusUnauthorized {
			t.Errorf("%s without a token: %d", path, resp.StatusCode)
		}
	}
	if s.executionCount() != before {
		t.Error("a request without a key ran")
	}
}

func TestBadInputGetsAClearRefusal(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	for name, c := range map[string]struct {
		q      request
		status int
	}{
		"malformed JSON":           {request{body: "{"}, 400},
		"no model":                 {request{body: "{}"}, 400},
		"unknown service":          {request{service: "nothing"}, 404},
		"plain service as model":   {request{service: "tiles"}, 404},
		"unknown plain service":    {request{path: "/services/nothing/x", method: "GET"}, 404},
		"unknown path":             {request{path: "/v2/x", method: "GET"}, 404},
		"deadline past":            {request{header: map[string]string{"Marbleroad-Deadline": "2001-01-01T00:00:00Z"}}, 400},
		"invalid timeout":          {request{header: map[string]string{"Marbleroad-Timeout": "soon"}}, 400},
		"invalid priority":         {request{header: map[string]string{"Marbleroad-Priority": "11"}}, 400},
		"invalid idempotency mark": {request{header: map[string]string{"Marbleroad-Non-Idempotent": "maybe"}}, 400},
		"invalid last event":       {request{header: map[string]string{"Last-Event-ID": "../../x/y/1"}}, 400},
		"long key":                 {request{header: map[string]string{"Idempotency-Key": strings.Repeat("k", 300)}}, 400},
		"oversized body":           {request{body: `{"model":"nowcast","prompt":"` + strings.Repeat("x", 2<<20) + `"}`}, 413},
		"unknown run":              {request{stream: true, header: map[string]string{"Last-Event-ID": "obuda/obuda-gpu-1/none/3"}}, 410},
		"unknown VM":               {request{stream: true, header: map[string]string{"Last-Event-ID": "obuda/nobody/none/3"}}, 410},
	} {
		a := s.call(s.nodes[0], c.q)
		if a.status != c.status {
			t.Errorf("%s: got %d %s, want %d", name, a.status, a.body, c.status)
		}
	}
	s.history.check()
}

// TestLostRaceShowsBothValues makes two changes on the same base version: the second fails with exit code 3 and
// prints both values. It then checks that a change that is sent again with the same ID is accepted and leaves the
// row's version as it is.
func TestLostRaceShowsBothValues(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	if out, code := s.setWeight(s.nodes[0], "agrimet", 5, "--base", "1"); code != 0 {
		t.Fatal(out)
	}
	out, code := s.setWeight(s.nodes[1], "agrimet", 6, "--base", "1")
	if code != 3 || !strings.Contains(out, `yours "6", now "5"`) {
		t.Errorf("exit code %d: %s", code, out)
	}
	s.awaitWeight("agrimet", 5)
	if _, code := s.setWeight(s.nodes[1], "agrimet", 6, "--change", "same"); code != 0 {
		t.Error("a change based on the current version was rejected")
	}
	before := s.storedRow(table.Teams, "agrimet").Version
	if _, code := s.setWeight(s.nodes[0], "agrimet", 6, "--change", "same", "--base", "2"); code != 0 {
		t.Error("a repeated change with the same ID was rejected")
	}
	if after := s.storedRow(table.Teams, "agrimet").Version; after != before {
		t.Errorf("a repeated change raised the version from %d to %d", before, after)
	}
}

// TestEntryStartedBeforeItsControlTakesNoStaleTable starts an entry before the control process of its node, while another
// one that missed the newest change responds. The entry must not be ready with the older table.
func TestEntryStartedBeforeItsControlTakesNoStaleTable(t *testing.T) {
	t.Parallel()
	s := newGroupDeployment(t, 4)
	fresh, stale := s.nodes[0], s.nodes[1]
	s.partitionPair(fresh, stale, faultproxy.Refuse)
	s.partitionFromPlatform(stale, faultproxy.Refuse)
	if out, code := s.setWeight(fresh, "agrimet", 70); code != 0 {
		t.Fatal(out)
	}
	fresh.control.kill()
	fresh.entry.kill()
	s.partitionPair(fresh, stale, faultproxy.Pass)
	log := filepath.Join(s.dir, fresh.id+"-entry.log")
	before, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	s.startEntry(fresh)
	s.eventually("the entry reads from the other control process", func() bool {
		data, err := os.ReadFile(log)
		return err == nil && strings.Contains(string(data[len(before):]), `"event":4008`)
	})
	s.startControl(fresh)
	s.eventually("the entry is ready", func() bool { return s.ready(fresh) })
	if got, _ := s.weight(fresh, "agrimet"); got != 70 {
		t.Errorf("the entry was ready while its control process had weight %d", got)
	}
	s.awaitWeight("agrimet", 70)
	s.history.check()
}
