// Package inspect serves the state of one marbleroad-node to operators: the
// configuration in force, the upstream VMs, the groups and the other nodes, with the age
// of each part. It never exposes keys.
package inspect

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/fairshare"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// Path is the path at which a node's admin listener serves its View.
const Path = "/view"

// View is the state that one node holds at one moment.
type View struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure_domain"`
	Ready         bool   `json:"ready"`
	// NotReady is the reason why the node is not ready.
	NotReady string `json:"not_ready,omitempty"`
	// CutOff reports whether the node reaches no upstream VM and forwards requests to other nodes.
	CutOff        bool          `json:"cut_off,omitempty"`
	Configuration Configuration `json:"configuration"`
	// ListAge is the time since the list of VMs was last known to be current.
	// ListRevision is the platform's revision that the list reflects, in the era StoreEra.
	ListAge      time.Duration `json:"list_age_ns"`
	ListRevision uint64        `json:"list_revision"`
	StoreEra     uint64        `json:"store_era,omitempty"`
	// Evacuated lists the failure domains to whose upstream VMs no requests are sent.
	Evacuated []string `json:"evacuated,omitempty"`
	// Directing lists the failure domains whose groups the node manages.
	Directing []string `json:"directing"`
	// DirectorDown reports whether the node's director is down after a panic, so that the node manages no groups.
	DirectorDown bool    `json:"director_down,omitempty"`
	Nodes        []Node  `json:"nodes"`
	Groups       []Group `json:"groups"`
	Upstreams    []VM    `json:"upstreams"`
	// Suspects lists the requests during which upstream VMs terminated, those in quarantine first.
	Suspects []Suspect `json:"suspects"`
	// FairShares describes the shares of teams; nil if they are off.
	FairShares *fairshare.Report `json:"fair_shares,omitempty"`
}

// Suspect is a request, or a trait that requests share, during which upstream VMs terminated since it was last served.
type Suspect struct {
	// Fingerprint identifies the request as in the log events 5008 and 5012, or the trait as in 5013.
	Fingerprint string `json:"fingerprint"`
	// Trait describes the trait; empty for a request.
	Trait        string `json:"trait,omitempty"`
	Terminations int    `json:"ends"`
	// LastTermination is the time since the latest termination.
	LastTermination time.Duration `json:"last_end_ns"`
	// Quarantined reports whether the request is refused. Remaining is the time until the
	// quarantine, or else the suspicion, expires.
	Quarantined bool          `json:"quarantined"`
	Remaining   time.Duration `json:"left_ns"`
}

// Configuration is the operators' configuration in force.
type Configuration struct {
	Version uint64 `json:"version"`
	// VerifiedAge is the time since it was last known to be the newest.
	VerifiedAge time.Duration `json:"proven_age_ns"`
	Routes      []Route       `json:"routes"`
	Services    []string      `json:"services"`
	Teams       []string      `json:"teams"`
}

// Route is one route of the configuration.
type Route struct {
	Name     string        `json:"name"`
	Host     string        `json:"host"`
	Prefix   string        `json:"prefix"`
	Kind     string        `json:"kind"`
	Priority int           `json:"priority"`
	Timeout  time.Duration `json:"timeout_ns"`
	Services []string      `json:"services"`
}

// Node is another live node.
type Node struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	// Age is the time since the node was last seen.
	Age       time.Duration `json:"age_ns"`
	Directing []string      `json:"directing"`
	Stopping  bool          `json:"stopping"`
	// CutOff and DirectorDown are as in View.
	CutOff       bool `json:"cut_off,omitempty"`
	DirectorDown bool `json:"director_down,omitempty"`
}

// Group is a group of VMs, as its VMs report it in the list; Size, Running and
// ExclusionReason are what this node knows.
type Group struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
	Service    string `json:"service"`
	Model      string `json:"model"`
	// Size is the number of VMs that the model needs.
	Size    int      `json:"size"`
	Members []string `json:"members"`
	// State is the state that the head reports.
	State string `json:"state"`
	// Running is the number of requests that all nodes have in flight at the group, as far
	// as this node knows.
	Running int `json:"running"`
	// ExclusionReason is the reason why this node sends the group no requests; empty if it does.
	ExclusionReason string `json:"shunned,omitempty"`
}

// VM is an upstream VM.
type VM struct {
	ID            string   `json:"id"`
	Address       string   `json:"address"`
	Service       string   `json:"service"`
	FailureDomain string   `json:"failure_domain"`
	Fabric        string   `json:"fabric"`
	Draining      bool     `json:"draining"`
	Group         string   `json:"group"`
	Rank          int      `json:"rank"`
	State         string   `json:"state"`
	Staged        []string `json:"staged"`
	// Condition is the condition that the VM reports; empty if the VM is healthy.
	Condition string `json:"condition,omitempty"`
}

// Sources holds the components that a View is built from.
type Sources struct {
	Node          string
	FailureDomain string
	// Ready reports whether the node is ready, and if not, the reason.
	Ready func() (bool, string)
	// CutOff reports whether the node reaches no upstream VM.
	CutOff       func() bool
	CatalogCache *catalog.Cache
	Directory    *fleet.Directory
	Cluster      *cluster.Cluster
	Directing    func() []string
	// DirectorDown reports whether the director is down after a panic.
	DirectorDown func() bool
	// Load returns the number of requests that all nodes have in flight at a group's head,
	// as far as this node knows, and the reason why this node sends no requests there. The
	// reason is empty if it sends them.
	Load func(vm, group string) (running int, exclusionReason string)
	// Condition returns the condition that a VM reports.
	Condition func(vm *fleet.VM) string
	// Suspects records the requests during which upstreams terminated.
	Suspects *quarantine.Table
	// FairShares returns the shares of teams; nil if they are off.
	FairShares func(now time.Time) *fairshare.Report
}

// Handler returns a handler that serves the View as JSON.
func Handler(s Sources) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.view(clock.Now())); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
}

// view builds the View at the given time.
func (s Sources) view(now time.Time) View {
	v := View{Node: s.Node, FailureDomain: s.FailureDomain, Directing: s.Directing(), FairShares: s.FairShares(now)}
	v.Ready, v.NotReady = s.Ready()
	v.CutOff, v.DirectorDown = s.CutOff(), s.DirectorDown()
	for _, r := range s.Suspects.Suspects(now) {
		v.Suspects = append(v.Suspects, Suspect{Fingerprint: r.Fingerprint.String(), Trait: r.Trait.String(), Terminations: len(r.Terminations), LastTermination: now.Sub(r.Terminations[len(r.Terminations)-1].At),
			Quarantined: !r.QuarantinedAt.IsZero(), Remaining: r.ExpiresAt().Sub(now)})
	}
	for _, p := range s.Cluster.Live(now) {
		v.Nodes = append(v.Nodes, Node{ID: p.ID, FailureDomain: p.FailureDomain, Age: now.Sub(p.LastSeen),
			Directing: p.State.GetDirecting(), Stopping: p.State.GetStopping(), CutOff: p.State.GetCutOff(), DirectorDown: p.State.GetDirectorDown()})
	}
	current := s.CatalogCache.Catalog()
	if current != nil {
		v.Configuration = configuration(current)
		v.Configuration.VerifiedAge = s.CatalogCache.VerifiedAge(now)
	}
	if list := s.Directory.Snapshot(); list != nil {
		v.ListAge = now.Sub(list.VerifiedAt)
		v.StoreEra, v.ListRevision = platform.SplitRevision(list.Revision)
		v.Evacuated = slices.Sorted(maps.Keys(list.Evacuated))
		v.Upstreams = s.upstreams(list)
		v.Groups = s.groups(list, current)
	}
	return v
}

// configuration converts the catalog to the View's Configuration, except for VerifiedAge,
// which the catalog does not hold.
func configuration(c *catalog.Catalog) Configuration {
	out := Configuration{Version: c.Version(), Teams: c.Teams()}
	for name := range c.Services() {
		out.Services = append(out.Services, name)
	}
	sort.Strings(out.Services)
	for _, r := range c.Routes() {
		route := Route{Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind.String(), Priority: r.Priority, Timeout: r.Timeout}
		for _, t := range r.Targets {
			route.Services = append(route.Services, t.Service)
		}
		out.Routes = append(out.Routes, route)
	}
	return out
}

// upstreams returns the listed VMs, sorted by ID.
func (s Sources) upstreams(list *fleet.Snapshot) []VM {
	out := make([]VM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		out = append(out, VM{ID: vm.ID, Address: vm.Address, Service: vm.Service, FailureDomain: vm.FailureDomain, Fabric: vm.Fabric,
			Draining: vm.Draining, Group: vm.Group, Rank: vm.Rank, State: vm.State.String(), Staged: vm.Staged, Condition: s.Condition(vm)})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

// groups returns the listed groups, sorted by name.
func (s Sources) groups(list *fleet.Snapshot, current *catalog.Catalog) []Group {
	out := make([]Group, 0, len(list.Groups))
	for name, reported := range list.Groups {
		group := Group{Name: name, Generation: reported.Generation, Service: reported.Service, Model: reported.Model, State: "head not listed"}
		for _, vm := range reported.Members {
			if vm != nil {
				group.Members = append(group.Members, vm.ID)
			}
		}
		if head := reported.Head(); head != nil {
			group.State = head.State.String()
			group.Running, group.ExclusionReason = s.Load(head.ID, name)
		}
		group.Size = modelSize(current, reported)
		out = append(out, group)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

// modelSize returns the number of VMs that the group's model needs, or zero if the
// configuration does not have the model.
func modelSize(current *catalog.Catalog, g *fleet.Group) int {
	if current == nil {
		return 0
	}
	service := current.Service(g.Service)
	if service == nil || service.Engine == nil {
		return 0
	}
	m, _ := service.Engine.Model(g.Model)
	return m.Size
}
