package gateway

import (
	"maps"
	"slices"
	"strings"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/event"
)

// regionsByDomain maps failure domains to their regions.
type regionsByDomain map[string]string

// knows reports whether any failure domain is in the region.
func (r regionsByDomain) knows(region string) bool {
	for _, known := range r {
		if known == region {
			return true
		}
	}
	return false
}

// inHomes returns the targets in regions that the homes of the call's route and team both allow.
func (tt *targetTable) inHomes(c *Call, all []*target) []*target {
	var routeHomes catalog.Homes
	if c.Route != nil {
		routeHomes = c.Route.Homes
	}
	if routeHomes == nil && c.TeamHomes == nil {
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(t *target) bool {
		region := tt.regions[t.vm.FailureDomain]
		return !routeHomes.Allow(region) || !c.TeamHomes.Allow(region)
	})
}

// reportInvalidHomes logs the homes in a new catalog that no upstream can be in: their requests are rejected.
func (s *Server) reportInvalidHomes(c *catalog.Catalog) {
	if s.homesCheckedFor.Swap(c.Version()) == c.Version() {
		return
	}
	report := func(kind, name string, homes catalog.Homes) {
		if homes == nil || slices.ContainsFunc(homes, s.config.Regions.knows) {
			return
		}
		s.log.Emit(event.HomesInvalid).Str("of", kind).Str("name", name).Str("homes", strings.Join(homes, " ")).
			Strs("regions", slices.Compact(slices.Sorted(maps.Values(s.config.Regions)))).Uint64("catalog", c.Version()).Send()
	}
	for _, r := range c.Routes() {
		report("route", r.Name, r.Homes)
	}
	teams := c.TeamHomes()
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		report("team", name, teams[name])
	}
}
