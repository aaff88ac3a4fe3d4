package ctl

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// grid is command output in rows and columns.
type grid struct {
	header []string
	rows   [][]string
}

func (g *grid) add(cells ...string) { g.rows = append(g.rows, cells) }

// print writes the grid in the format of --output. JSON output is the value that the
// grid was made from.
func (a *app) print(g grid, value any) error {
	switch format(a.output) {
	case formatJSON:
		encoder := json.NewEncoder(a.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(value), "print")
	case formatCSV:
		return printCSV(a.out, g)
	}
	return printTable(a.out, g)
}

func printCSV(out io.Writer, g grid) error {
	w := csv.NewWriter(out)
	if err := w.Write(g.header); err != nil {
		return errors.Wrap(err, "print")
	}
	return errors.Wrap(w.WriteAll(g.rows), "print")
}

// printTable prints the grid with aligned columns, and "-" for an empty cell.
func printTable(out io.Writer, g grid) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, strings.ToUpper(strings.Join(g.header, "\t")))
	for _, row := range g.rows {
		printed := make([]string, len(row))
		for i, cell := range row {
			printed[i] = cell
			if cell == "" {
				printed[i] = "-"
			}
		}
		_, _ = fmt.Fprintln(w, strings.Join(printed, "\t"))
	}
	return errors.Wrap(w.Flush(), "print")
}
