package gateway

import (
	"testing"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
)

// TestHomesRestrictRequests: requests of a route or team with homes go to upstreams in these regions only, and
// both restrictions hold. An empty or unknown home allows none.
func TestHomesRestrictRequests(t *testing.T) {
	for _, c := range []struct {
		route, team catalog.Homes
		want        string
	}{
		{nil, nil, "ab"},
		{catalog.Homes{"north"}, nil, "a"},
		{nil, catalog.Homes{"south"}, "b"},
		{catalog.Homes{"north", "south"}, catalog.Homes{"south"}, "b"},
		{catalog.Homes{"north"}, catalog.Homes{"south"}, ""},
		{catalog.Homes{}, nil, ""},
		{nil, catalog.Homes{"nowhere", ""}, ""},
	} {
		now := time.Now()
		tt, call := newWarmupTable(t, now)
		tt.regions = regionsByDomain{"x": "north", "y": "south"}
		tt.rebuild(catalogOf(tt), warmupSnapshot(now))
		call.Route, call.TeamHomes = &catalog.Route{Homes: c.route}, c.team
		chosen := make(map[string]int)
		for range 12 {
			// The sends stay in progress, so that one head alone can't take them.
			if s, _, reason := tt.choose(now, call, nil, 0, false, func(error) {}); reason == admitted {
				chosen[s.vm.ID]++
			}
		}
		got := ""
		for _, id := range []string{"a", "b"} {
			if chosen[id] > 0 {
				got += id
			}
		}
		if got != c.want {
			t.Errorf("route %v, team %v: requests went to %q, expected %q", c.route, c.team, got, c.want)
		}
	}
}

// TestUnknownRegionIsNoHome: an upstream whose region is not known runs no restricted requests.
func TestUnknownRegionIsNoHome(t *testing.T) {
	now := time.Now()
	tt, call := newWarmupTable(t, now)
	tt.rebuild(catalogOf(tt), warmupSnapshot(now))
	call.TeamHomes = catalog.Homes{""}
	if chosen := countChosen(tt, now, now.Add(time.Second), call); len(chosen) > 0 {
		t.Errorf("requests went to %v", chosen)
	}
}
