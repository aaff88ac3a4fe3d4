package placement

import "github.com/marbleroad/marbleroad/internal/catalog"

// VM is a free VM, which is in no group that may still serve, or a member of an
// open group.
type VM struct {
	ID     string
	Fabric string
	// Last is the model of the VM's last group; joining it again is fastest.
	Last string
	// Staged are the models of which the host holds a copy.
	Staged []string
	// Staging is the model that is being copied to the host; empty if none.
	// Meanwhile the VM can only join a group of the model of its last group, which
	// needs no copy.
	Staging string
}

// Group is an open group of this failure domain.
type Group struct {
	Name    string
	Model   string
	Fabric  string
	Members []VM
	// Protected is true within the time in which the change that formed the group pays for itself.
	// Only packing uses it.
	Protected bool
}

// Input holds everything that Decide depends on.
type Input struct {
	// Free holds the VMs that are in no group that may still serve.
	Free []VM
	// Open are the groups that serve. Their VMs may get copies of other models,
	// and a group may be dissolved for a model that is supplied worse.
	Open   []Group
	Models []catalog.Model
	// Groups counts the open and forming groups of each model in all failure
	// domains.
	Groups map[string]int
	// Demand is the requested work for each model, in the number of groups that
	// it would keep busy; empty while unknown.
	Demand map[string]float64
	// SurgeDemand is at least Demand, and above it during a surge of a model. It decides which groups free VMs
	// form, which copies hosts get and which models keep their groups. Groups are dissolved for a model by
	// Demand, since a surge is over before a dissolution helps. Empty means that Demand decides everything.
	SurgeDemand map[string]float64
	// UnmetDemand is the part of SurgeDemand that is refused; it is only logged.
	UnmetDemand map[string]float64
	// LoadBudget is how many loads from the weight store may start now. UrgentLoadBudget
	// also includes the loads that other failure domains leave unused.
	LoadBudget       int
	UrgentLoadBudget int
	// ReservedFor maps a fabric domain to the model for which groups there were
	// dissolved; free VMs are reserved for it.
	ReservedFor map[string]string
	// JoinUnstaged allows groups of VMs that still have to load. It is meant
	// for the time before the first requests, when loads are fast.
	JoinUnstaged bool
	// Packing plans each fabric domain as a whole while the demand is known.
	Packing bool
	// Returning counts, by fabric domain, the VMs that are expected to become free within
	// returnTime: those of groups that close, and listed ones that do not respond. Only packing
	// uses it.
	Returning map[string]int
}

// Formation is one new group.
type Formation struct {
	Model string
	// Members are the VMs by rank.
	Members []string
	// Loads is how many of them have to load the weights.
	Loads int
}

// Staging copies a model onto one host.
type Staging struct {
	VM    string
	Model string
}

// Decision is what to do now.
type Decision struct {
	Formations []Formation
	Stagings   []Staging
	// Dissolutions are the open groups to dissolve so that their VMs form a group
	// of the model DissolvedFor; all are in the fabric domain DissolvedIn.
	Dissolutions []string
	DissolvedFor string
	DissolvedIn  string
	// DissolvedCount is how many groups are formed of their VMs; 0 counts as 1.
	DissolvedCount int
	// Change describes the dissolutions as a change of a packing; nil without packing.
	Change *Change
}

// GroupsAfter returns the number of groups of each model once the decision is carried out.
// Groups for which others are dissolved count as formed.
func (d Decision) GroupsAfter(in Input) map[string]int {
	out := make(map[string]int, len(in.Groups))
	for model, n := range in.Groups {
		out[model] = n
	}
	for _, f := range d.Formations {
		out[f.Model]++
	}
	for _, name := range d.Dissolutions {
		for _, g := range in.Open {
			if g.Name == name {
				out[g.Model]--
			}
		}
	}
	if len(d.Dissolutions) > 0 {
		out[d.DissolvedFor] += max(d.DissolvedCount, 1)
	}
	return out
}
