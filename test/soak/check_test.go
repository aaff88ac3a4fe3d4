package main

import (
	"testing"
	"time"
)

// TestLateResponseCountsFromTheDeadline guards against a check of deadlines that looks at the end of a request only: a node
// that stood still until shortly before the deadline is not bound by it, one that ran again for reconnectTime is.
func TestLateResponseCountsFromTheDeadline(t *testing.T) {
	sent := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		pauseEnd time.Duration
		late     bool
	}{
		"stood still until 2.2 s":  {2200 * time.Millisecond, false},
		"ran again in time":        {callerTimeout - reconnectTime - 100*time.Millisecond, true},
		"stood still long before":  {-10 * time.Second, true},
		"stands still at its end":  {6200 * time.Millisecond, false},
		"stood still at its start": {100 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			h := &history{
				calls:        []call{{id: "r", sent: sent, finished: sent.Add(6302 * time.Millisecond), status: 200, complete: true}},
				disturbances: []disturbance{{kind: NodePause, from: sent.Add(c.pauseEnd - time.Second), to: sent.Add(c.pauseEnd)}},
			}
			ck := &checker{history: h, slack: 500 * time.Millisecond}
			ck.checkDeadlines()
			if late := len(ck.violations) > 0; late != c.late {
				t.Errorf("violations: %v", ck.violations)
			}
		})
	}
}
