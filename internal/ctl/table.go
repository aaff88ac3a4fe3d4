package ctl

import (
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/table"
)

// Columns that every sheet has in addition to its own.
const (
	nameColumn    = "name"
	versionColumn = "version"
)

func (a *app) tableCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "table",
		Short: "Read and change the operators' table.",
		Long:  "Read and change the operators' table.\n\n" + sheetHelp(),
	}
	c.AddCommand(a.getCommand(), a.setCommand(), a.applyCommand(), a.diffCommand(), a.historyCommand(), a.deleteCommand())
	return c
}

// sheetHelp describes each sheet and its columns for the help text.
func sheetHelp() string {
	var b strings.Builder
	for _, s := range table.Sheets {
		_, _ = fmt.Fprintf(&b, "%s: %s\n", s.Name, s.Doc)
		for _, col := range s.Columns {
			_, _ = fmt.Fprintf(&b, "  %-16s %s", col.Name, col.Doc)
			if col.Default != "" {
				_, _ = fmt.Fprintf(&b, " Default %s.", col.Default)
			}
			b.WriteByte('\n')
		}
	}
	return b.String()
}

func (a *app) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "get [SHEET [NAME]]",
		Short:   "Print a sheet, or one row of it; without arguments, print all sheets.",
		Example: "  marbleroadctl table get teams -o csv > teams.csv",
		Args:    cobra.MaximumNArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			sheets := table.Sheets
			if len(args) > 0 {
				s, err := table.Lookup(table.SheetName(args[0]))
				if err != nil {
					return errors.Mark(err, errUsage)
				}
				sheets = []*table.Sheet{s}
			}
			for i, s := range sheets {
				if i > 0 {
					_, _ = fmt.Fprintln(a.out)
				}
				rows, err := a.rows(c, s, false)
				if err != nil {
					return err
				}
				if len(args) == 2 {
					rows = rowsNamed(rows, args[1])
				}
				if len(sheets) > 1 && format(a.output) == formatTable {
					_, _ = fmt.Fprintln(a.out, "# "+string(s.Name))
				}
				if err := a.print(sheetGrid(s, rows), rows); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// rowsNamed returns the row with the given name as a slice of one, or nil.
func rowsNamed(rows []*table.Row, name string) []*table.Row {
	for _, r := range rows {
		if r.Name == name {
			return []*table.Row{r}
		}
	}
	return nil
}

// sheetGrid returns the rows with their names, versions and cells. Its CSV output can be
// applied again.
func sheetGrid(s *table.Sheet, rows []*table.Row) grid {
	g := grid{header: []string{nameColumn, versionColumn}}
	for _, c := range s.Columns {
		g.header = append(g.header, c.Name)
	}
	for _, r := range rows {
		g.add(append([]string{r.Name, strconv.FormatUint(r.Version, 10)}, r.Cells()...)...)
	}
	return g
}

// rows fetches the rows of a sheet from the control daemon, including deleted rows if deleted is true.
func (a *app) rows(c *cobra.Command, s *table.Sheet, deleted bool) ([]*table.Row, error) {
	client, err := a.client()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.context(c)
	defer cancel()
	resp, err := client.GetTable(ctx, connect.NewRequest(&marbleroadv1.GetTableRequest{Sheet: string(s.Name), IncludeDeleted: deleted}))
	if err != nil {
		return nil, err
	}
	out := []*table.Row{}
	for _, it := range resp.Msg.GetRows() {
		row, err := table.Decode(it.GetValue())
		if err != nil {
			return nil, err
		}
		out = append(out, row)
	}
	return out, nil
}

func (a *app) setCommand() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:     "set SHEET NAME COLUMN=TEXT...",
		Short:   "Change cells of one row, or add the row.",
		Example: "  marbleroadctl table set teams airport-ops weight=4 max_priority=9",
		Args:    cobra.MinimumNArgs(3),
		RunE: func(c *cobra.Command, args []string) error {
			edit := &marbleroadv1.RowEdit{Sheet: args[0], Name: args[1]}
			for _, pair := range args[2:] {
				column, text, ok := strings.Cut(pair, "=")
				if !ok {
					return errors.Wrapf(errUsage, "%q is not COLUMN=TEXT", pair)
				}
				edit.Cells = append(edit.Cells, &marbleroadv1.Cell{Column: column, Text: text})
			}
			return a.applyEdits(c, &f, []*marbleroadv1.RowEdit{edit})
		},
	}
	f.register(c, true)
	return c
}

func (a *app) deleteCommand() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "delete SHEET NAME",
		Short: "Delete one row.",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return a.applyEdits(c, &f, []*marbleroadv1.RowEdit{{Sheet: args[0], Name: args[1], Delete: true}})
		},
	}
	f.register(c, true)
	return c
}

func (a *app) applyCommand() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "apply SHEET FILE",
		Short: "Apply a sheet from a CSV file (- for standard input).",
		Long: `Apply a sheet from a CSV file (- for standard input).

The first line names the columns: "name", then any of the sheet's. With a
"version" column, as "table get -o csv" prints it, each row is changed only if
it is still at that version; an empty version means a new row. Rows that the
file does not have stay as they are. All errors are reported at once, and a
sheet with errors changes nothing.`,
		Example: "  marbleroadctl table apply teams teams.csv",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			edits, err := a.readSheet(args[0], args[1], &f)
			if err != nil {
				return err
			}
			return a.applyEdits(c, &f, edits)
		},
	}
	f.register(c, false)
	return c
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff SHEET FILE",
		Short:   "Show what applying a CSV file would change; exit code 1 if there is a difference.",
		Example: "  marbleroadctl table diff teams teams.csv",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			var f changeFlags
			edits, err := a.readSheet(args[0], args[1], &f)
			if err != nil {
				return err
			}
			s, err := table.Lookup(table.SheetName(args[0]))
			if err != nil {
				return err
			}
			rows, err := a.rows(c, s, false)
			if err != nil {
				return err
			}
			g := diff(s, rows, edits)
			if err := a.print(g, g.rows); err != nil {
				return err
			}
			if len(g.rows) > 0 {
				return errors.New("the sheet differs")
			}
			return nil
		},
	}
}

// diff returns the cells that the edits would change, with the current and the new value, and one
// more line for each row that they would add.
func diff(s *table.Sheet, rows []*table.Row, edits []*marbleroadv1.RowEdit) grid {
	g := grid{header: []string{nameColumn, "column", "now", "file"}}
	for _, e := range edits {
		current := s.NewRow(e.GetName())
		if found := rowsNamed(rows, e.GetName()); len(found) == 1 {
			current = found[0]
		} else {
			g.add(e.GetName(), "", "", "new row")
		}
		now := current.Cells()
		for _, cell := range e.GetCells() {
			for i, col := range s.Columns {
				text := cell.GetText()
				if text == "" {
					text = col.Default
				}
				if col.Name == cell.GetColumn() && now[i] != text {
					g.add(e.GetName(), col.Name, now[i], text)
				}
			}
		}
	}
	return g
}

func (a *app) historyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "history SHEET NAME",
		Short:   "Print the latest changes of one row, also of a deleted one.",
		Example: "  marbleroadctl table history teams airport-ops",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := table.Lookup(table.SheetName(args[0]))
			if err != nil {
				return errors.Mark(err, errUsage)
			}
			rows, err := a.rows(c, s, true)
			if err != nil {
				return err
			}
			found := rowsNamed(rows, args[1])
			if len(found) == 0 {
				return errors.Newf("there is no row %s in sheet %s", args[1], args[0])
			}
			g := grid{header: []string{versionColumn, "at", "author", "change", "cells"}}
			for _, ch := range found[0].Changes {
				cells := strings.Join(ch.Cells, " ")
				if ch.Deleted {
					cells = "deleted"
				}
				g.add(strconv.FormatUint(ch.Version, 10), ch.At.Format("2006-01-02T15:04:05Z07:00"), ch.Author, ch.ID, cells)
			}
			return a.print(g, found[0].Changes)
		},
	}
}
