package main

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestScheduleIsReadAsWritten guards against a stored schedule that repeats other faults than the
// run that stored it.
func TestScheduleIsReadAsWritten(t *testing.T) {
	for name, draw := range map[string]func(*rand.Rand, time.Duration) []Fault{"drawn": drawSchedule, "planned": drawPlannedSchedule, "stale": drawStaleSchedule} {
		drawn := draw(rand.New(rand.NewPCG(7, 0)), 12*time.Second)
		var text strings.Builder
		text.WriteString("# kept\n\n")
		for _, f := range drawn {
			text.WriteString(f.String() + "\n")
		}
		read, err := readSchedule(strings.NewReader(text.String()))
		if err != nil || !slices.Equal(drawn, read) {
			t.Errorf("%s: read back %v (error %v), want %v", name, read, err, drawn)
		}
		if !slices.Equal(drawn, draw(rand.New(rand.NewPCG(7, 0)), 12*time.Second)) {
			t.Errorf("%s: equal seeds drew different schedules", name)
		}
	}
}

// TestInvalidScheduleIsRejected checks that the error names the invalid line.
func TestInvalidScheduleIsRejected(t *testing.T) {
	for _, text := range []string{"1s node-kill 2", "1s no-such-kind 2 1s", "soon node-kill 2 1s", "1s node-kill x 1s", "1s node-kill 2 long"} {
		if _, err := readSchedule(strings.NewReader("1s node-kill 2 1s\n" + text)); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: error %v does not name line 2", text, err)
		}
	}
}
