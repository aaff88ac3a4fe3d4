package cluster

import (
	"fmt"
	"testing"
	"time"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/fairshare"
)

// TestHubAddsUpTeams: a hub passes on the sums of the teams that ask for the most work at all its members, not the
// largest entries of single members, and does not change the states that it received.
func TestHubAddsUpTeams(t *testing.T) {
	state := func(node string, first, count int, asked float64) *marbleroadv1.NodeState {
		d := &marbleroadv1.ModelDemand{Service: "s", Model: "m"}
		for i := range count {
			d.Teams = append(d.Teams, &marbleroadv1.TeamWork{Team: fmt.Sprint("t", first+i), Asked: asked, Admitted: asked / 2})
		}
		return &marbleroadv1.NodeState{Node: node, Demand: []*marbleroadv1.ModelDemand{d}}
	}
	first, second := state("b", 0, 6, 1), state("c", 6, 6, 3)
	now := time.Now()
	sum := aggregate(state("a", 0, 4, 2.5), []receivedState{{first, now}, {second, now}}, nil, "", now, time.Second)
	teams := sum.GetDemand()[0].GetTeams()
	if len(teams) != fairshare.MaxListed {
		t.Fatalf("%d teams in the sum", len(teams))
	}
	asked := make(map[string]float64)
	for _, w := range teams {
		asked[w.GetTeam()] = w.GetAsked()
		if w.GetAdmitted() != w.GetAsked()/2 {
			t.Errorf("%s: admitted %.2f of %.2f", w.GetTeam(), w.GetAdmitted(), w.GetAsked())
		}
	}
	if asked["t0"] != 3.5 || asked["t6"] != 3 || asked["t4"] != 0 {
		t.Errorf("sums: %v", asked)
	}
	if first.GetDemand()[0].GetTeams()[0].GetAsked() != 1 {
		t.Error("the hub changed a member's state")
	}
}
