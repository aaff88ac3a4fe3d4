// Command plots runs the policy simulations and draws the plots of
// docs/POLICY.md.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/marbleroad/marbleroad/test/policy/bench"
)

const (
	seed = 7
	// admissionLength is the simulated time of each point of the admission plot.
	admissionLength = 120 * time.Second
	width           = 7 * vg.Inch
	height          = 4 * vg.Inch
)

// main draws each plot into the folder that the argument names.
func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: plots FOLDER")
		os.Exit(2)
	}
	for name, draw := range map[string]func() (*plot.Plot, error){
		"admission.svg": admission,
		"limits.svg":    limits,
		"routing.svg":   routing,
		"groups.svg":    groups,
	} {
		p, err := draw()
		if err == nil {
			err = p.Save(width, height, filepath.Join(os.Args[1], name))
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "plots:", name, err)
			os.Exit(1)
		}
	}
}

// admission draws the goodput of the small and the urgent team over the load.
func admission() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Requests that meet their deadline while two large teams overload the service"
	p.X.Label.Text = "demand as a multiple of the capacity"
	p.Y.Label.Text = "fraction of the team's requests"
	p.Y.Min, p.Y.Max = 0, 1.05
	p.Legend.Top = false
	p.Legend.Left = true
	service := bench.Service{Slots: 32, Queue: 64, Mean: 200 * time.Millisecond}
	var lines []any
	for _, policy := range []bench.Policy{bench.PriorityOrder, bench.FirstCome} {
		small, urgent := plotter.XYs{}, plotter.XYs{}
		for _, load := range []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 3, 4} {
			got := bench.Admission(policy, service, bench.OverloadTeams(service, load), admissionLength, seed)
			small = append(small, plotter.XY{X: load, Y: got["small"].Goodput()})
			urgent = append(urgent, plotter.XY{X: load, Y: got["urgent"].Goodput()})
		}
		lines = append(lines, string(policy)+", small team", small, string(policy)+", urgent team", urgent)
	}
	return p, plotutil.AddLinePoints(p, lines...)
}

// bars draws grouped bars: one group per label and one bar per series in it.
func bars(p *plot.Plot, labels []string, series []string, value func(series, label string) float64) error {
	const barWidth = 12
	for i, name := range series {
		values := make(plotter.Values, len(labels))
		for j, label := range labels {
			values[j] = value(name, label)
		}
		b, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		b.Color = plotutil.Color(i)
		b.LineStyle.Width = 0
		b.Offset = vg.Points(barWidth * (float64(i) - float64(len(series)-1)/2))
		p.Add(b)
		p.Legend.Add(name, b)
	}
	p.Legend.Top = true
	p.NominalX(labels...)
	const margin = 0.6
	p.X.Min, p.X.Max = -margin, float64(len(labels)-1)+margin
	return nil
}

// limits draws, for each scenario, the worst 10 s with water-filled shares and how much of the limit
// water-filled and equal shares use.
func limits() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "A limit over 8 entries: maximum admitted in 10 s"
	p.Y.Label.Text = "multiple of the limit"
	scenarios := bench.LimitScenarios(bench.LagPlanned)
	series := []string{"water-filled: worst 10 s", "water-filled: used", "equal shares: used"}
	p.Y.Max = 1.6
	return p, bars(p, bench.Names(scenarios), series, func(name, label string) float64 {
		r := bench.Limits(scenarios[label], name != series[2], seed)
		if name == series[0] {
			return r.WorstWindow
		}
		return r.Used
	})
}

// routing draws the mean time to the first token of each policy. Bars end at maxShown; the label of
// the axis gives the value of pure affinity, which exceeds it.
func routing() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Mean time to the first token"
	p.Y.Label.Text = "milliseconds (pure affinity reaches 5062)"
	cases := bench.RoutingCases()
	var series []string
	for _, r := range bench.Routers {
		series = append(series, string(r))
	}
	const maxShown = 700
	p.Y.Max = 1000
	return p, bars(p, bench.Names(cases), series, func(name, label string) float64 {
		r := bench.Routing(bench.Router(name), cases[label], bench.RoutingLoad, seed)
		return min(float64(r.Mean)/float64(time.Millisecond), maxShown)
	})
}

// groups draws the daily cost of each rule as a multiple of the cost of decisions by weights.
func groups() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Weighted cost of a day's failures, relative to decisions by weights"
	p.Y.Label.Text = "multiple"
	p.Y.Max = 3.6
	deployments := bench.Deployments()
	costs := make(map[string]map[bench.Rule]float64)
	var labels, series []string
	for _, d := range deployments {
		labels = append(labels, d.Name)
		costs[d.Name] = bench.DailyCosts(d)
	}
	for _, r := range bench.Rules {
		series = append(series, string(r))
	}
	return p, bars(p, labels, series, func(name, label string) float64 {
		return costs[label][bench.Rule(name)] / costs[label][bench.ByWeights]
	})
}
