package ctl

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/marbleroad/marbleroad/internal/httpcheck"
	"github.com/marbleroad/marbleroad/internal/inspect"
	"github.com/marbleroad/marbleroad/internal/jsonbody"
	"github.com/marbleroad/marbleroad/internal/quarantine"
)

const (
	// maxViewBytes bounds a node's view, in bytes: that of 12,000 upstream VMs, 1,000 nodes and some thousand routes has a
	// few megabytes.
	maxViewBytes = 32 << 20
	// maxNodeHeaderBytes bounds the header of a node's response, which has a few hundred bytes.
	maxNodeHeaderBytes = 64 << 10
)

// nodeClient returns a client of a node's admin listener.
func nodeClient() *http.Client {
	return &http.Client{Transport: httpcheck.NewTransport(&http.Transport{
		Proxy:                  http.ProxyFromEnvironment,
		MaxResponseHeaderBytes: maxNodeHeaderBytes,
		DisableCompression:     true,
		DisableKeepAlives:      true,
	})}
}

// nodeCommand returns the command that shows the state of one marbleroad-node. The
// node's configuration is stored on the platform, so no command here changes it.
func (a *app) nodeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "node",
		Short: "Show the state of one marbleroad-node: status, groups, upstreams, configuration, quarantine.",
		Long: `Show the state of one marbleroad-node, with the age of each part. Nodes may differ for
a moment; query several. The configuration of these nodes is stored on the platform:
change it there. Use "marbleroadctl explain --log" to see what happened to a request.`,
	}
	c.PersistentFlags().StringVar(&a.node, "node", os.Getenv(envNode), "gateway.admin address of a node, an IP address and port (or "+envNode+")")
	c.AddCommand(
		a.nodeStatusCommand("status", "The node, the failure domains whose groups it manages, the other live nodes, and the shares of teams if they are on."),
		a.viewCommand("groups", "Model groups: members, state, running requests, and why a group gets no requests.", nodeGroups),
		a.viewCommand("upstreams", "Upstream VMs with their rank in a group and the model copies staged on their hosts.", nodeUpstreams),
		a.viewCommand("configuration", "The routes in force.", nodeRoutes),
		a.viewCommand("quarantine", "Requests, and traits that requests share, during which upstream VMs terminated, by fingerprint.", nodeSuspects),
		a.releaseCommand(),
	)
	return c
}

// viewCommand returns a command that prints one part of the node's view.
func (a *app) viewCommand(use, short string, toGrid func(inspect.View) (grid, any)) *cobra.Command {
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
			g, value := toGrid(v)
			return a.print(g, value)
		},
	}
}

// view fetches the node's view from its admin listener.
func (a *app) view(c *cobra.Command) (inspect.View, error) {
	var v inspect.View
	resp, cancel, err := a.callNode(c, http.MethodGet, inspect.Path)
	if err != nil {
		return v, err
	}
	defer cancel()
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, errors.Newf("%s answered %s to %s: is it the gateway.admin address of a marbleroad-node?", a.node, resp.Status, inspect.Path)
	}
	return v, errors.Wrap(jsonbody.Decode(resp.Body, maxViewBytes, &v), "decode the node's response")
}

func nodeStatus(v inspect.View) (grid, any) {
	g := grid{header: []string{"node", "failure domain", "ready", "heard", "directing", "configuration", "list", "evacuated"}}
	ready := "yes"
	switch {
	case !v.Ready:
		ready = "no: " + v.NotReady
	case v.CutOff:
		ready = "yes, cut off from upstreams"
	}
	g.add(v.Node, v.FailureDomain, ready, "this node", directing(v.DirectorDown, v.Directing),
		fmt.Sprintf("%d, proven %s ago", v.Configuration.Version, rounded(v.Configuration.VerifiedAge)),
		fmt.Sprintf("%d, proven %s ago", v.ListRevision, rounded(v.ListAge)), strings.Join(v.Evacuated, " "))
	for _, n := range v.Nodes {
		state := ""
		switch {
		case n.Stopping:
			state = "no: shutting down"
		case n.CutOff:
			state = "cut off from upstreams"
		}
		g.add(n.ID, n.FailureDomain, state, rounded(n.Age)+" ago", directing(n.DirectorDown, n.Directing), "", "", "")
	}
	return g, v
}

// directing describes a node's director in the status.
func directing(down bool, domains []string) string {
	if down {
		return "none: the director is down after a panic (4045)"
	}
	return strings.Join(domains, " ")
}

func nodeGroups(v inspect.View) (grid, any) {
	g := grid{header: []string{"group", "generation", "service", "model", "listed", "state", "running", "shunned", "members"}}
	for _, group := range v.Groups {
		g.add(group.Name, strconv.FormatUint(group.Generation, 10), group.Service, group.Model, fmt.Sprintf("%d of %d", len(group.Members), group.Size),
			group.State, strconv.Itoa(group.Running), group.ExclusionReason, strings.Join(group.Members, " "))
	}
	return g, v.Groups
}

func nodeUpstreams(v inspect.View) (grid, any) {
	g := grid{header: []string{"vm", "address", "service", "failure domain", "fabric", "state", "group", "rank", "staged", "condition"}}
	for _, vm := range v.Upstreams {
		state, rank := vm.State, strconv.Itoa(vm.Rank)
		if vm.Draining {
			state += ", draining"
		}
		if vm.Group == "" {
			rank = ""
		}
		g.add(vm.ID, vm.Address, vm.Service, vm.FailureDomain, vm.Fabric, state, vm.Group, rank, strings.Join(vm.Staged, " "), vm.Condition)
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

func nodeSuspects(v inspect.View) (grid, any) {
	g := grid{header: []string{"fingerprint", "ends", "last end", "state", "for another", "trait"}}
	for _, s := range v.Suspects {
		state := "suspect"
		if s.Quarantined {
			state = "in quarantine"
		}
		g.add(s.Fingerprint, strconv.Itoa(s.Terminations), rounded(s.LastTermination)+" ago", state, s.Remaining.Round(time.Second).String(), s.Trait)
	}
	return g, v.Suspects
}

// releaseCommand returns the command that releases a request from quarantine.
func (a *app) releaseCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "release FINGERPRINT",
		Short:   "Release a request or a trait from quarantine at all nodes, once the crash that it causes is fixed.",
		Example: "  marbleroadctl node release f3a4f860b4ef0563 --node 10.1.0.40:7355",
		Args:    cobra.ExactArgs(1),
		RunE:    func(c *cobra.Command, args []string) error { return a.release(c, args[0]) },
	}
}

func (a *app) release(c *cobra.Command, fingerprint string) error {
	if _, err := quarantine.ParseFingerprint(fingerprint); err != nil {
		return errors.Mark(err, errUsage)
	}
	query := url.Values{inspect.FingerprintParameter: {fingerprint}}
	resp, cancel, err := a.callNode(c, http.MethodPost, inspect.ReleasePath+"?"+query.Encode())
	if err != nil {
		return err
	}
	defer cancel()
	defer func() { _ = resp.Body.Close() }()
	switch resp.StatusCode {
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return errors.Newf("%s has no terminations on record for %s: list the fingerprints with \"marbleroadctl node quarantine\"", a.node, fingerprint)
	}
	return errors.Newf("%s answered %s", a.node, resp.Status)
}

// callNode sends a request to the node's admin listener. The caller must close the
// response's body and then call the cancel function.
func (a *app) callNode(c *cobra.Command, method, path string) (*http.Response, context.CancelFunc, error) {
	if a.node == "" {
		return nil, nil, errors.Wrapf(errUsage, "no node: give --node or set %s", envNode)
	}
	ctx, cancel := a.context(c)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+a.node+path, nil)
	if err != nil {
		cancel()
		return nil, nil, errors.Mark(errors.Wrap(err, "build the request to the node"), errUsage)
	}
	resp, err := nodeClient().Do(req)
	if err == nil {
		return resp, cancel, nil
	}
	cancel()
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, nil, errors.Newf("%s did not answer within %s", a.node, a.timeout)
	}
	return nil, nil, errors.Wrap(err, "call the node")
}

// rounded formats a duration for display, to the millisecond.
func rounded(d time.Duration) string {
	return d.Round(time.Millisecond).String()
}
