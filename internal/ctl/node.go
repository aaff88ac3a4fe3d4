package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/marbleroad/marbleroad/internal/inspect"
)

// nodeCommand shows what one marbleroad-node knows. The platform keeps its
// configuration, so there is nothing to change here.
func (a *app) nodeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "node",
		Short: "Show what one marbleroad-node knows: status, groups, upstreams, configuration.",
		Long: `Show what one marbleroad-node knows, with the age of each fact. Nodes may differ for
a moment; ask several. The platform keeps the configuration of these nodes: change it
there. "marbleroadctl explain --log" leads from a request to its cause.`,
	}
	c.PersistentFlags().StringVar(&a.node, "node", os.Getenv(envNode), "gateway.admin address of a node, an IP number and port (or "+envNode+")")
	c.AddCommand(
		a.viewCommand("status", "The node, its duties and the other nodes that it hears.", nodeStatus),
		a.viewCommand("groups", "Model groups: members, state, requests there, and why one is shunned.", nodeGroups),
		a.viewCommand("upstreams", "Upstream VMs with their place in a group and the copies on their hosts.", nodeUpstreams),
		a.viewCommand("configuration", "The routes in force.", nodeRoutes),
	)
	return c
}

func (a *app) viewCommand(use, short string, show func(inspect.View) (grid, any)) *cobra.Command {
	return &cobra.Command{
		Use:     use,
		Short:   short,
		Example: "  marbleroadctl node " + use + " --node 10.1.0.40:7355",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			v, err := a.view(c)
			if err != nil {
				return err
			}
			g, value := show(v)
			return a.print(g, value)
		},
	}
}

func (a *app) view(c *cobra.Command) (inspect.View, error) {
	var v inspect.View
	if a.node == "" {
		return v, errors.Wrapf(errUsage, "no node: give --node or set %s", envNode)
	}
	ctx, cancel := a.context(c)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+a.node+inspect.Path, nil)
	if err != nil {
		return v, errors.Mark(errors.Wrap(err, "address of the node"), errUsage)
	}
	resp, err := http.DefaultClient.Do(req)
	if errors.Is(err, context.DeadlineExceeded) {
		return v, errors.Newf("%s did not answer within %s", a.node, a.timeout)
	}
	if err != nil {
		return v, errors.Wrap(err, "ask the node")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, errors.Newf("%s answered %s to %s: is it the gateway.admin address of a marbleroad-node?", a.node, resp.Status, inspect.Path)
	}
	return v, errors.Wrap(json.NewDecoder(resp.Body).Decode(&v), "read the node's answer")
}

func nodeStatus(v inspect.View) (grid, any) {
	g := grid{header: []string{"node", "failure domain", "ready", "heard", "directing", "configuration", "list"}}
	ready := "yes"
	if !v.Ready {
		ready = "no: " + v.NotReady
	}
	g.add(v.Node, v.FailureDomain, ready, "this node", strings.Join(v.Directing, " "),
		fmt.Sprintf("%d, proven %s ago", v.Configuration.Version, rounded(v.Configuration.ProvenAge)),
		fmt.Sprintf("%d, proven %s ago", v.ListRevision, rounded(v.ListAge)))
	for _, n := range v.Nodes {
		state := ""
		if n.Stopping {
			state = "no: shutting down"
		}
		g.add(n.ID, n.FailureDomain, state, rounded(n.Age)+" ago", strings.Join(n.Directing, " "), "", "")
	}
	return g, v
}

func nodeGroups(v inspect.View) (grid, any) {
	g := grid{header: []string{"group", "generation", "service", "model", "listed", "state", "running", "shunned", "members"}}
	for _, one := range v.Groups {
		g.add(one.Name, strconv.FormatUint(one.Generation, 10), one.Service, one.Model, fmt.Sprintf("%d of %d", len(one.Members), one.Size),
			one.State, strconv.Itoa(one.Running), one.Shunned, strings.Join(one.Members, " "))
	}
	return g, v.Groups
}

func nodeUpstreams(v inspect.View) (grid, any) {
	g := grid{header: []string{"vm", "address", "service", "failure domain", "fabric", "state", "group", "rank", "staged"}}
	for _, vm := range v.Upstreams {
		state, rank := vm.State, strconv.Itoa(vm.Rank)
		if vm.Draining {
			state += ", draining"
		}
		if vm.Group == "" {
			rank = ""
		}
		g.add(vm.ID, vm.Address, vm.Service, vm.FailureDomain, vm.Fabric, state, vm.Group, rank, strings.Join(vm.Staged, " "))
	}
	return g, v.Upstreams
}

func nodeRoutes(v inspect.View) (grid, any) {
	g := grid{header: []string{"route", "host", "prefix", "kind", "priority", "timeout", "services"}}
	for _, r := range v.Configuration.Routes {
		g.add(r.Name, r.Host, r.Prefix, r.Kind, strconv.Itoa(r.Priority), r.Timeout.String(), strings.Join(r.Services, " "))
	}
	return g, v.Configuration
}

// rounded is a duration for a person.
func rounded(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
