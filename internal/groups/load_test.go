package groups

import (
	"fmt"
	"strings"
	"testing"
)

// TestGroupsAreCompletedOneAfterTheOther checks the order of loads and their limit.
func TestGroupsAreCompletedOneAfterTheOther(t *testing.T) {
	var waiting []PendingLoad
	add := func(group string, vms, started int) {
		for i := range vms {
			waiting = append(waiting, PendingLoad{VM: fmt.Sprintf("%s-%d", group, i), Group: group, Started: i < started})
		}
	}
	add("a", 4, 0)
	add("b", 2, 1)
	add("c", 4, 0)
	weight := map[string]float64{"a": 1, "b": 1, "c": 5}
	got := strings.Join(NextToLoad(waiting, weight, 6), " ")
	if want := "b-1 c-0 c-1 c-2 c-3"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if got := NextToLoad(waiting, weight, 1); len(got) != 0 {
		t.Errorf("one VM loads already, but %v may start", got)
	}
}
