package ctl

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
)

func (a *app) statusCommand() *cobra.Command {
	var watch time.Duration
	var all bool
	c := &cobra.Command{
		Use:   "status",
		Short: "Show groups, VMs, nodes and the table in force.",
		Long: `Show groups, VMs, nodes and the table in force in the failure domain of the
control daemon that is queried. With --all, show every failure domain that it
knows; each is queried at one of its own control daemons.`,
		Example: "  marbleroadctl status --all\n  marbleroadctl status --watch 2s",
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			for {
				if err := a.status(c, all); err != nil || watch <= 0 {
					return err
				}
				time.Sleep(watch)
				_, _ = fmt.Fprintln(a.out)
			}
		},
	}
	c.Flags().BoolVar(&all, "all", false, "show every failure domain")
	c.Flags().DurationVar(&watch, "watch", 0, "print again at this interval")
	c.Flags().Lookup("watch").NoOptDefVal = "2s"
	return c
}

// status prints the status of the failure domain of the control daemon that --control names, and with
// all that of the other failure domains as well.
func (a *app) status(c *cobra.Command, all bool) error {
	first, err := a.fetchStatus(c, a.control)
	if err != nil {
		return err
	}
	statuses := []*marbleroadv1.StatusResponse{first}
	if all {
		statuses = append(statuses, a.otherDomains(c, first)...)
	}
	for i, m := range statuses {
		if i > 0 {
			_, _ = fmt.Fprintln(a.out)
		}
		if err := a.printStatus(m); err != nil {
			return err
		}
	}
	return nil
}

// fetchStatus fetches the status of a failure domain from the control daemon at the address.
func (a *app) fetchStatus(c *cobra.Command, address string) (*marbleroadv1.StatusResponse, error) {
	client, err := a.clientFor(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.context(c)
	defer cancel()
	resp, err := client.Status(ctx, connect.NewRequest(&marbleroadv1.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// otherDomains fetches the status of each other failure domain from the first of its
// control daemons that responds, and prints a line for each daemon that does not.
func (a *app) otherDomains(c *cobra.Command, first *marbleroadv1.StatusResponse) []*marbleroadv1.StatusResponse {
	var out []*marbleroadv1.StatusResponse
	responded := map[string]bool{first.GetFailureDomain(): true}
	for _, n := range first.GetNodes() {
		domain := n.GetFailureDomain()
		if responded[domain] {
			continue
		}
		m, err := a.fetchStatus(c, n.GetAddress())
		if err != nil {
			_, _ = fmt.Fprintf(a.out, "failure domain %s: %s does not answer\n", domain, n.GetId())
			continue
		}
		responded[domain] = true
		out = append(out, m)
	}
	return out
}

func (a *app) printStatus(m *marbleroadv1.StatusResponse) error {
	if format(a.output) != formatTable {
		return a.print(groupGrid(m), m)
	}
	a.printStatusHead(m)
	if err := a.print(groupGrid(m), m); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(a.out)
	return a.print(nodeGrid(m), m)
}

// printStatusHead prints the totals of a failure domain above the tables.
func (a *app) printStatusHead(m *marbleroadv1.StatusResponse) {
	platform := "answers"
	if !m.GetPlatformReachable() {
		platform = "DOES NOT ANSWER; known state stays in force"
	}
	_, _ = fmt.Fprintf(a.out, "failure domain %s, as seen by %s\n", m.GetFailureDomain(), m.GetNodeId())
	_, _ = fmt.Fprintf(a.out, "table in force: %016x, %d rows; platform %s\n", m.GetTableDigest(), m.GetTableRows(), platform)
	_, _ = fmt.Fprintf(a.out, "VMs stranded now: %d, spare: %d; since this daemon's start: %.0f group seconds down, %.0f VM seconds stranded\n\n",
		m.GetStrandedVms(), m.GetSpareVms(), m.GetGroupDownSeconds(), m.GetStrandedVmSeconds())
}

func groupGrid(m *marbleroadv1.StatusResponse) grid {
	g := grid{header: []string{"group", "service", "fabric", "generation", "vms", "serving", "why not", "missing", "stranded", "down"}}
	for _, s := range m.GetGroups() {
		serving := "no"
		down := time.Duration(s.GetDownSeconds() * float64(time.Second)).Round(time.Second).String()
		if s.GetServing() {
			serving, down = "yes", ""
		}
		g.add(s.GetGroup(), s.GetService(), s.GetFabric(), strconv.FormatUint(s.GetGeneration(), 10),
			strconv.Itoa(int(s.GetSize())), serving, s.GetReason(), strings.Join(s.GetMissing(), " "),
			strconv.Itoa(int(s.GetStranded())), down)
	}
	return g
}

func nodeGrid(m *marbleroadv1.StatusResponse) grid {
	g := grid{header: []string{"node", "failure domain", "address", "alive", "table"}}
	for _, n := range m.GetNodes() {
		state, digest := "no news", ""
		if n.GetAlive() {
			state = "yes"
		}
		if n.GetTableDigest() != 0 {
			digest = fmt.Sprintf("%016x", n.GetTableDigest())
		}
		g.add(n.GetId(), n.GetFailureDomain(), n.GetAddress(), state, digest)
	}
	return g
}

// drainCommand returns the drain command, or the undrain command if drain is false.
func (a *app) drainCommand(drain bool) *cobra.Command {
	use, short := "drain VM", "Send the VM no new requests; its group is formed again without it."
	if !drain {
		use, short = "undrain VM", "Let the VM take requests again."
	}
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			client, err := a.client()
			if err != nil {
				return err
			}
			ctx, cancel := a.context(c)
			defer cancel()
			resp, err := client.Drain(ctx, connect.NewRequest(&marbleroadv1.DrainRequest{Vm: args[0], Drain: drain, Author: a.author}))
			if err != nil {
				return err
			}
			if resp.Msg.GetStored() {
				_, _ = fmt.Fprintln(a.out, "accepted")
				return nil
			}
			_, _ = fmt.Fprintln(a.out, "in force in this failure domain; it will be stored once the platform responds")
			return nil
		},
	}
}

func (a *app) explainCommand() *cobra.Command {
	var logs []string
	around := 3 * time.Second
	c := &cobra.Command{
		Use:   "explain REQUEST-ID",
		Short: "Show the decisions made about a request: one of an entry's latest, or any from log files.",
		Example: "  marbleroadctl explain 01JE3W1S6ZQ0V8M2C7R5T9XKPA\n" +
			"  marbleroadctl explain --log node-1.log --log node-2.log 9e33aa67e537dfd5",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if len(logs) > 0 {
				return explainLogs(a.out, logs, args[0], around)
			}
			return a.explainLive(c, args[0])
		},
	}
	c.Flags().StringArrayVar(&logs, "log", nil, "log file of a node; repeat the flag for more files. No daemon is queried")
	c.Flags().DurationVar(&around, "around", around, "show events of its upstreams this long before and after the request")
	return c
}

// explainLive queries the control daemon for the steps of a recent request.
func (a *app) explainLive(c *cobra.Command, id string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	ctx, cancel := a.context(c)
	defer cancel()
	resp, err := client.Explain(ctx, connect.NewRequest(&marbleroadv1.ExplainRequest{RequestId: id}))
	if err != nil {
		return err
	}
	if !resp.Msg.GetFound() {
		return errors.Newf("no entry has a record of request %s", id)
	}
	g := grid{header: []string{"step"}}
	for _, s := range resp.Msg.GetSteps() {
		g.add(s)
	}
	return a.print(g, resp.Msg)
}
