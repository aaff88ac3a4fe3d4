package main

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestScheduleIsReadAsWritten: a kept schedule plays the same faults again.
func TestScheduleIsReadAsWritten(t *testing.T) {
	drawn := draw(rand.New(rand.NewPCG(7, 0)), 12*time.Second)
	var text strings.Builder
	text.WriteString("# kept\n\n")
	for _, f := range drawn {
		text.WriteString(f.String() + "\n")
	}
	again, err := readSchedule(strings.NewReader(text.String()))
	if err != nil || !slices.Equal(drawn, again) {
		t.Errorf("%v: %v is not %v", err, again, drawn)
	}
	if !slices.Equal(drawn, draw(rand.New(rand.NewPCG(7, 0)), 12*time.Second)) {
		t.Error("one seed draws two schedules")
	}
}

// TestBadScheduleIsRefused names the line.
func TestBadScheduleIsRefused(t *testing.T) {
	for _, text := range []string{"1s node-kill 2", "1s no-such-kind 2 1s", "soon node-kill 2 1s", "1s node-kill x 1s", "1s node-kill 2 long"} {
		if _, err := readSchedule(strings.NewReader("1s node-kill 2 1s\n" + text)); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", text, err)
		}
	}
}
