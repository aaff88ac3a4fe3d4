package cluster

import (
	"cmp"
	"slices"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/fairshare"
)

// addTeams adds the work of a member's teams to the sums of a hub, and returns the sums. It changes neither the
// member's state nor the array of its list.
func addTeams(sums, member []*marbleroadv1.TeamWork) []*marbleroadv1.TeamWork {
	for _, w := range member {
		i := slices.IndexFunc(sums, func(known *marbleroadv1.TeamWork) bool { return known.GetTeam() == w.GetTeam() })
		if i < 0 {
			sums = append(sums, &marbleroadv1.TeamWork{Team: w.GetTeam(), Asked: w.GetAsked(), Admitted: w.GetAdmitted()})
			continue
		}
		sums[i].Asked += w.GetAsked()
		sums[i].Admitted += w.GetAdmitted()
	}
	return sums
}

// topTeams returns the teams that ask for the most work, at most fairshare.MaxListed.
func topTeams(sums []*marbleroadv1.TeamWork) []*marbleroadv1.TeamWork {
	if len(sums) <= fairshare.MaxListed {
		return sums
	}
	slices.SortFunc(sums, func(a, b *marbleroadv1.TeamWork) int {
		return cmp.Or(cmp.Compare(b.GetAsked(), a.GetAsked()), cmp.Compare(a.GetTeam(), b.GetTeam()))
	})
	return slices.Clip(sums[:fairshare.MaxListed])
}
