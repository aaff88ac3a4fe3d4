package ctl

import (
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/fairshare"
)

// nodeStatusCommand returns the command that prints the state of a node and, as a table, the shares of teams if
// they are on. Other formats hold the shares in the view, or leave them out.
func (a *app) nodeStatusCommand(use, short string) *cobra.Command {
	c := a.viewCommand(use, short, nodeStatus)
	c.RunE = func(c *cobra.Command, _ []string) error {
		v, err := a.view(c)
		if err != nil {
			return err
		}
		g, value := nodeStatus(v)
		if err := a.print(g, value); err != nil || v.FairShares == nil || format(a.output) != formatTable {
			return err
		}
		for _, g := range shareGrids(v.FairShares) {
			_, _ = fmt.Fprintln(a.out)
			if err := printTable(a.out, g); err != nil {
				return err
			}
		}
		return nil
	}
	return c
}

// shareGrids returns the shares of teams by model, the reserves, and the refusals by team and route.
func shareGrids(r *fairshare.Report) []grid {
	shares := grid{header: []string{"service", "model", "refused", "team", "weight", "asked", "admitted", "share"}}
	for _, m := range r.Models {
		for _, t := range m.Teams {
			share := "not limited"
			if t.Share != nil {
				share = groups(*t.Share)
			}
			shares.add(m.Service, m.Model, percent(m.Rejected), t.Team, strconv.FormatFloat(t.Weight, 'g', -1, 64), groups(t.Asked), groups(t.Admitted), share)
		}
	}
	reserves := grid{header: []string{"route", "reserve", "in force"}}
	for _, route := range r.Reserves {
		inForce := "yes"
		if !route.InForce {
			inForce = "no: the configuration does not have the route"
		}
		reserves.add(route.Route, percent(route.Fraction), inForce)
	}
	refusals := grid{header: []string{"team", "route", "refused for its share"}}
	for _, f := range r.Refusals {
		refusals.add(f.Team, f.Route, strconv.FormatUint(f.Count, 10))
	}
	return []grid{shares, reserves, refusals}
}

// groups formats work in busy groups, percent a fraction.
func groups(work float64) string      { return strconv.FormatFloat(work, 'f', 2, 64) }
func percent(fraction float64) string { return strconv.FormatFloat(100*fraction, 'f', 0, 64) + " %" }

// refusedByShare reports whether the line is of a request that was refused for the share of its team.
func (l logLine) refusedByShare() bool {
	return l.event == event.RequestRefused.ID && l.fields["decided_by"] == "fair_shares"
}

// explainShares prints, if one of the request's lines says that it was refused for its team's share, how many
// requests of the same model were refused for that among the given lines, by team and route, with the latest
// share, reserve and weight.
func explainShares(out io.Writer, requestLines, around []logLine) {
	var refused *logLine
	for i, l := range requestLines {
		if l.refusedByShare() {
			refused = &requestLines[i]
		}
	}
	if refused == nil {
		return
	}
	counts := make(map[string]int)
	latest := make(map[string]logLine)
	for _, l := range around {
		if l.refusedByShare() && l.fields["service"] == refused.fields["service"] && l.fields["model"] == refused.fields["model"] {
			pair := fmt.Sprintf("team %v route %v", l.fields["team"], l.fields["route"])
			counts[pair]++
			latest[pair] = l
		}
	}
	pairs := make([]string, 0, len(counts))
	for pair := range counts {
		pairs = append(pairs, pair)
	}
	sort.Slice(pairs, func(i, k int) bool {
		if counts[pairs[i]] != counts[pairs[k]] {
			return counts[pairs[i]] > counts[pairs[k]]
		}
		return pairs[i] < pairs[k]
	})
	_, _ = fmt.Fprintf(out, "requests of model %v refused for the share of their team:\n", refused.fields["model"])
	for _, pair := range pairs {
		var fields []string
		for _, name := range []string{"weight", "reserve", "share", "used", "asked"} {
			fields = append(fields, fmt.Sprintf("%s=%v", name, latest[pair].fields[name]))
		}
		_, _ = fmt.Fprintf(out, "  %s: %d, last with %s\n", pair, counts[pair], strings.Join(fields, " "))
	}
}
