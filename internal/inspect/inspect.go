// Package inspect is what operators see of one node of marbleroad-node: the
// configuration in force, the upstream VMs, the groups and the other nodes, each with
// the age of what is known. It never holds keys.
package inspect

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"github.com/marbleroad/marbleroad/internal/catalog"
	"github.com/marbleroad/marbleroad/internal/clock"
	"github.com/marbleroad/marbleroad/internal/cluster"
	"github.com/marbleroad/marbleroad/internal/fleet"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

// Path is where a node's admin listener serves its View.
const Path = "/view"

// View is one node's view at one moment.
type View struct {
	Node          string        `json:"node"`
	FailureDomain string        `json:"failure_domain"`
	Ready         bool          `json:"ready"`
	NotReady      string        `json:"not_ready,omitempty"`
	Configuration Configuration `json:"configuration"`
	// ListAge is how long ago the list of VMs was last proven, ListRevision the
	// platform's revision that it reflects.
	ListAge      time.Duration `json:"list_age_ns"`
	ListRevision uint64        `json:"list_revision"`
	// Directing are the failure domains whose groups the node manages.
	Directing []string `json:"directing"`
	Nodes     []Node   `json:"nodes"`
	Groups    []Group  `json:"groups"`
	Upstreams []VM     `json:"upstreams"`
	// Suspects are the requests under which upstream VMs ended, those in quarantine first.
	Suspects []Suspect `json:"suspects"`
}

// Suspect is a request under which upstream VMs ended since it was last answered.
type Suspect struct {
	// Fingerprint is as in the logs (5008, 5012).
	Fingerprint string `json:"fingerprint"`
	Ends        int    `json:"ends"`
	// LastEnd is how long ago the newest of them ended.
	LastEnd time.Duration `json:"last_end_ns"`
	// Quarantined is true when it is refused; Left is how long that, or the suspicion, goes on.
	Quarantined bool          `json:"quarantined"`
	Left        time.Duration `json:"left_ns"`
}

// Configuration is the operators' configuration in force.
type Configuration struct {
	Version uint64 `json:"version"`
	// ProvenAge is how long ago it was last known to be the newest.
	ProvenAge time.Duration `json:"proven_age_ns"`
	Routes    []Route       `json:"routes"`
	Services  []string      `json:"services"`
	Teams     []string      `json:"teams"`
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

// Node is another node that was heard lately.
type Node struct {
	ID            string        `json:"id"`
	FailureDomain string        `json:"failure_domain"`
	Age           time.Duration `json:"age_ns"`
	Directing     []string      `json:"directing"`
	Stopping      bool          `json:"stopping"`
}

// Group is a group as its VMs report it.
type Group struct {
	Name       string `json:"name"`
	Generation uint64 `json:"generation"`
	Service    string `json:"service"`
	Model      string `json:"model"`
	// Size is how many VMs the model takes.
	Size    int      `json:"size"`
	Members []string `json:"members"`
	// State is the head's.
	State string `json:"state"`
	// Running is how many requests all nodes have there, as far as known.
	Running int `json:"running"`
	// Shunned says why this node sends no requests there; empty when it does.
	Shunned string `json:"shunned,omitempty"`
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
	// Condition is what the VM said of its own condition; empty when nothing ails it.
	Condition string `json:"condition,omitempty"`
}

// Sources are where a view comes from.
type Sources struct {
	Node          string
	FailureDomain string
	Ready         func() (bool, string)
	Keeper        *catalog.Cache
	Directory     *fleet.Directory
	Cluster       *cluster.Cluster
	Directing     func() []string
	// Load tells the requests at a head and why none are sent there.
	Load func(vm, group string) (running int, shunned string)
	// Condition tells what a VM said of its own condition.
	Condition func(vm *fleet.VM) string
	// Suspects knows the requests under which upstreams ended.
	Suspects *quarantine.Table
}

// Handler serves the view as JSON.
func Handler(s Sources) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.view(clock.Now())); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
	})
}

func (s Sources) view(now time.Time) View {
	v := View{Node: s.Node, FailureDomain: s.FailureDomain, Directing: s.Directing()}
	v.Ready, v.NotReady = s.Ready()
	for _, r := range s.Suspects.Suspects(now) {
		v.Suspects = append(v.Suspects, Suspect{Fingerprint: r.Fingerprint.String(), Ends: len(r.Terminations), LastEnd: now.Sub(r.Terminations[len(r.Terminations)-1].At),
			Quarantined: !r.QuarantinedAt.IsZero(), Left: r.ExpiresAt().Sub(now)})
	}
	for _, p := range s.Cluster.Live(now) {
		v.Nodes = append(v.Nodes, Node{ID: p.ID, FailureDomain: p.FailureDomain, Age: now.Sub(p.LastSeen),
			Directing: p.State.GetDirecting(), Stopping: p.State.GetStopping()})
	}
	current := s.Keeper.Catalog()
	if current != nil {
		v.Configuration = configuration(current)
		v.Configuration.ProvenAge = s.Keeper.VerifiedAge(now)
	}
	if list := s.Directory.Snapshot(); list != nil {
		v.ListAge, v.ListRevision = now.Sub(list.VerifiedAt), list.Revision
		v.Upstreams = s.upstreams(list)
		v.Groups = s.groups(list, current)
	}
	return v
}

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

func (s Sources) upstreams(list *fleet.Snapshot) []VM {
	out := make([]VM, 0, len(list.VMs))
	for _, vm := range list.VMs {
		out = append(out, VM{ID: vm.ID, Address: vm.Address, Service: vm.Service, FailureDomain: vm.FailureDomain, Fabric: vm.Fabric,
			Draining: vm.Draining, Group: vm.Group, Rank: vm.Rank, State: vm.State.String(), Staged: vm.Staged, Condition: s.Condition(vm)})
	}
	sort.Slice(out, func(i, k int) bool { return out[i].ID < out[k].ID })
	return out
}

func (s Sources) groups(list *fleet.Snapshot, current *catalog.Catalog) []Group {
	out := make([]Group, 0, len(list.Groups))
	for name, g := range list.Groups {
		one := Group{Name: name, Generation: g.Generation, Service: g.Service, Model: g.Model, State: "head not listed"}
		for _, vm := range g.Members {
			if vm != nil {
				one.Members = append(one.Members, vm.ID)
			}
		}
		if head := g.Head(); head != nil {
			one.State = head.State.String()
			one.Running, one.Shunned = s.Load(head.ID, name)
		}
		one.Size = size(current, g)
		out = append(out, one)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Name < out[k].Name })
	return out
}

// size is how many VMs the group's model takes; zero when the configuration does not
// have it.
func size(current *catalog.Catalog, g *fleet.Group) int {
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
