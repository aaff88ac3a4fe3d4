package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/cluster"
)

// otherNodes returns n nodes in three failure domains.
func otherNodes(n int) []cluster.Record {
	var out []cluster.Record
	for i := range n {
		out = append(out, cluster.Record{ID: fmt.Sprintf("n%03d", i), FailureDomain: fmt.Sprintf("d%d", i%3)})
	}
	return out
}

// response is how a node responds to a survey: after a time, with a configuration, without one, or with an error.
type response struct {
	after   time.Duration
	version uint64
	failed  bool
}

const never = time.Hour

// playSurvey plays a survey of n other nodes, which respond as respond says by the order in which they are asked. It returns
// when the survey ends, how many nodes were asked, and how many of those have a configuration and had answered.
func playSurvey(n int, respond func(i int) response) (took time.Duration, asked, informed int) {
	s := newSurvey(cluster.Record{ID: "self", FailureDomain: "d1"}, otherNodes(n))
	due := make(map[int]time.Duration)
	for ; !s.done(took); took += time.Millisecond {
		for i, at := range due {
			if at == took {
				s.record(respond(i).version, respond(i).failed)
			}
		}
		for _, ok := s.next(took); ok; _, ok = s.next(took) {
			due[s.asked-1] = took + respond(s.asked-1).after
		}
	}
	return took, s.asked, s.informed
}

// TestSurveyOfUnresponsiveNodesEnds guards against a start that waits for nodes that refuse or don't respond, and against one
// that does not wait for those that do.
func TestSurveyOfUnresponsiveNodesEnds(t *testing.T) {
	const quick = 4 * time.Millisecond
	live, starting := response{after: quick, version: 1}, response{after: quick}
	dead, hung := response{after: time.Millisecond, failed: true}, response{after: never}
	allBut := func(last int, other response) func(int) response {
		return func(i int) response {
			if i < last {
				return other
			}
			return live
		}
	}
	alternate := func(a, b response) func(int) response {
		return func(i int) response {
			if i%2 == 0 {
				return a
			}
			return b
		}
	}
	for _, test := range []struct {
		name            string
		nodes           int
		respond         func(int) response
		maxTook         time.Duration
		asked, informed int
	}{
		{"alone", 0, nil, 0, 0, 0},
		{"small", 7, alternate(live, live), 10 * time.Millisecond, 7, 7},
		{"small, all start", 7, alternate(starting, starting), 10 * time.Millisecond, 7, 0},
		{"small, half dead", 7, alternate(live, dead), 10 * time.Millisecond, 7, 4},
		{"small, half hung", 7, alternate(live, hung), surveySettle, 7, 4},
		{"small, all hung", 7, alternate(hung, hung), surveyTimeout, 7, 0},
		{"large", 299, alternate(live, live), 10 * time.Millisecond, surveyWidth, surveyAnswers},
		{"large, all start", 299, alternate(starting, starting), 10 * time.Millisecond, surveyWidth, 0},
		{"large, half dead", 299, alternate(live, dead), 20 * time.Millisecond, 2*surveyWidth - 1, surveyAnswers},
		{"large, most dead", 299, allBut(maxSurveyed-surveyWidth, dead), 20 * time.Millisecond, maxSurveyed, surveyAnswers},
		{"large, all dead", 299, alternate(dead, dead), 20 * time.Millisecond, maxSurveyed, 0},
		{"large, half hung", 299, alternate(live, hung), surveySettle, surveyWidth, surveyWidth / 2},
		{"large, all but one hung", 299, allBut(surveyWidth-1, hung), surveySettle, surveyWidth, 1},
		{"large, the first hung", 299, allBut(surveyWidth, hung), surveySettle + 10*time.Millisecond, 2 * surveyWidth, surveyAnswers},
		{"large, all hung", 299, alternate(hung, hung), surveyTimeout, 2 * surveyWidth, 0},
	} {
		took, asked, informed := playSurvey(test.nodes, test.respond)
		if took > test.maxTook || asked != test.asked || informed < test.informed {
			t.Errorf("%s: %s, %d asked, %d of them with a configuration; want at most %s, %d and at least %d",
				test.name, took, asked, informed, test.maxTook, test.asked, test.informed)
		}
	}
}

// TestSurveySpreadsOverFailureDomains guards against a survey of one failure domain only, which may be cut off from the
// others, and against one whose nodes are the same for all that start.
func TestSurveySpreadsOverFailureDomains(t *testing.T) {
	chosen := make(map[string]bool)
	for i := range 20 {
		s := newSurvey(cluster.Record{ID: fmt.Sprintf("self-%d", i), FailureDomain: "d1"}, otherNodes(299))
		local, foreign := 0, 0
		for _, r := range s.candidates[:surveyWidth] {
			chosen[r.ID] = true
			if r.FailureDomain == "d1" {
				local++
			} else {
				foreign++
			}
		}
		if local != 2 || foreign != 2 {
			t.Errorf("%d nodes of the own failure domain, %d of others", local, foreign)
		}
	}
	if len(chosen) < 40 {
		t.Errorf("20 nodes ask the same %d nodes", len(chosen))
	}
}
