package ctl

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/spf13/cobra"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/table"
)

// Columns that every sheet has besides its own.
const (
	nameColumn    = "name"
	versionColumn = "version"
)

// changeFlags are common to the commands that change the table.
type changeFlags struct {
	change string
	base   int64
	force  bool
	dryRun bool
}

func (f *changeFlags) add(c *cobra.Command, withBase bool) {
	c.Flags().StringVar(&f.change, "change", "", "change ID; give the ID of an earlier try to learn what came of it")
	c.Flags().BoolVar(&f.force, "force", false, "take the rows' present versions as the base")
	c.Flags().BoolVar(&f.dryRun, "dry-run", false, "check only")
	if withBase {
		c.Flags().Int64Var(&f.base, "base", -1, "version that the edit is based on; by default the present one")
	}
}

func (a *app) tableCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "table",
		Short: "Read and change the operators' table.",
		Long:  "Read and change the operators' table.\n\n" + sheetHelp(),
	}
	c.AddCommand(a.getCommand(), a.setCommand(), a.applyCommand(), a.diffCommand(), a.historyCommand(), a.deleteCommand())
	return c
}

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
		Short:   "Print a sheet, or one row; without a sheet, the rows of all.",
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
					rows = only(rows, args[1])
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

func only(rows []*table.Row, name string) []*table.Row {
	for _, r := range rows {
		if r.Name == name {
			return []*table.Row{r}
		}
	}
	return nil
}

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

// rows reads a sheet from the control daemon.
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
		Short:   "Change cells of one row, or add it.",
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
			return a.change(c, &f, []*marbleroadv1.RowEdit{edit})
		},
	}
	f.add(c, true)
	return c
}

func (a *app) deleteCommand() *cobra.Command {
	var f changeFlags
	c := &cobra.Command{
		Use:   "delete SHEET NAME",
		Short: "Delete one row.",
		Args:  cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			return a.change(c, &f, []*marbleroadv1.RowEdit{{Sheet: args[0], Name: args[1], Delete: true}})
		},
	}
	f.add(c, true)
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
file does not have stay as they are. All faults are reported at once, and a
sheet with faults changes nothing.`,
		Example: "  marbleroadctl table apply teams teams.csv",
		Args:    cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			edits, err := a.readSheet(args[0], args[1], &f)
			if err != nil {
				return err
			}
			return a.change(c, &f, edits)
		},
	}
	f.add(c, false)
	return c
}

func (a *app) readSheet(sheet, path string, f *changeFlags) ([]*marbleroadv1.RowEdit, error) {
	in := a.in
	if path != "-" {
		file, err := os.Open(path)
		if err != nil {
			return nil, errors.Wrap(err, "read sheet")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	s, err := table.Lookup(table.SheetName(sheet))
	if err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return parseSheet(s, in, f.force)
}

// parseSheet reads the CSV form. Faults name the line and the column; all are
// reported at once.
func parseSheet(s *table.Sheet, in io.Reader, force bool) ([]*marbleroadv1.RowEdit, error) {
	r := csv.NewReader(in)
	r.Comment = '#'
	r.TrimLeadingSpace = true
	header, err := r.Read()
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read the header line"), errInvalid)
	}
	var faults []string
	faults = append(faults, checkHeader(s, header)...)
	var edits []*marbleroadv1.RowEdit
	for {
		record, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			faults = append(faults, err.Error())
			break
		}
		line, _ := r.FieldPos(0)
		edit, found := parseRecord(s, header, record, line, force)
		faults = append(faults, found...)
		edits = append(edits, edit)
	}
	if len(faults) > 0 {
		return nil, errors.Mark(errors.Newf("%s", strings.Join(faults, "\n")), errInvalid)
	}
	return edits, nil
}

func checkHeader(s *table.Sheet, header []string) []string {
	var faults []string
	hasName := false
	for _, column := range header {
		switch {
		case column == nameColumn:
			hasName = true
		case column == versionColumn:
		case !hasColumn(s, column):
			faults = append(faults, fmt.Sprintf("line 1, column %s: sheet %s has no such column", column, s.Name))
		}
	}
	if !hasName {
		faults = append(faults, "line 1: there is no column name")
	}
	return faults
}

func hasColumn(s *table.Sheet, name string) bool {
	for _, c := range s.Columns {
		if c.Name == name {
			return true
		}
	}
	return false
}

func parseRecord(s *table.Sheet, header, record []string, line int, force bool) (*marbleroadv1.RowEdit, []string) {
	edit := &marbleroadv1.RowEdit{Sheet: string(s.Name), Force: force || !contains(header, versionColumn)}
	row := s.NewRow("")
	var faults []string
	fault := func(column string, err error) {
		faults = append(faults, fmt.Sprintf("line %d, column %s: %v", line, column, err))
	}
	for i, column := range header {
		text := record[i]
		switch {
		case column == nameColumn:
			edit.Name = text
			if err := table.CheckName(text); err != nil {
				fault(column, err)
			}
		case column == versionColumn:
			version, err := parseVersion(text)
			if err != nil {
				fault(column, err)
			}
			edit.BaseVersion = version
		case hasColumn(s, column):
			if err := s.Set(row, column, text); err != nil {
				fault(column, errors.UnwrapAll(err))
				faults[len(faults)-1] = fmt.Sprintf("line %d, %v", line, err)
			}
			edit.Cells = append(edit.Cells, &marbleroadv1.Cell{Column: column, Text: text})
		}
	}
	return edit, faults
}

func parseVersion(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, errors.Newf("%q is not a version", text)
	}
	return v, nil
}

func contains(all []string, one string) bool {
	for _, s := range all {
		if s == one {
			return true
		}
	}
	return false
}

// change sends edits and prints what came of each.
func (a *app) change(c *cobra.Command, f *changeFlags, edits []*marbleroadv1.RowEdit) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	for _, e := range edits {
		e.Force = e.GetForce() || f.force
	}
	if err := a.setBase(c, f, edits); err != nil {
		return err
	}
	if f.change == "" {
		f.change = ulid.Make().String()
	}
	ctx, cancel := a.context(c)
	defer cancel()
	resp, err := client.Apply(ctx, connect.NewRequest(&marbleroadv1.ApplyRequest{
		ChangeId: f.change,
		Author:   a.author,
		Edits:    edits,
		DryRun:   f.dryRun,
	}))
	if err != nil {
		return errors.Wrapf(err, "change %s", f.change)
	}
	return a.report(f, edits, resp.Msg.GetResults())
}

// setBase takes the version given with --base, or the present one, for edits
// of single rows.
func (a *app) setBase(c *cobra.Command, f *changeFlags, edits []*marbleroadv1.RowEdit) error {
	if len(edits) != 1 || edits[0].GetForce() || c.Flags().Lookup("base") == nil {
		return nil
	}
	if f.base >= 0 {
		edits[0].BaseVersion = uint64(f.base)
		return nil
	}
	s, err := table.Lookup(table.SheetName(edits[0].GetSheet()))
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	rows, err := a.rows(c, s, false)
	if err != nil {
		return err
	}
	if found := only(rows, edits[0].GetName()); len(found) == 1 {
		edits[0].BaseVersion = found[0].Version
	}
	return nil
}

var outcomeWords = map[marbleroadv1.Outcome]string{
	marbleroadv1.Outcome_OUTCOME_UNSPECIFIED: "checked",
	marbleroadv1.Outcome_OUTCOME_ACCEPTED:    "accepted",
	marbleroadv1.Outcome_OUTCOME_UNCHANGED:   "unchanged",
	marbleroadv1.Outcome_OUTCOME_CONFLICT:    "conflict",
	marbleroadv1.Outcome_OUTCOME_INVALID:     "invalid",
	marbleroadv1.Outcome_OUTCOME_NOT_STORED:  "not stored",
	marbleroadv1.Outcome_OUTCOME_UNKNOWN:     "unknown",
}

func (a *app) report(f *changeFlags, edits []*marbleroadv1.RowEdit, results []*marbleroadv1.RowResult) error {
	g := grid{header: []string{"sheet", nameColumn, "outcome", versionColumn, "message"}}
	var worst error
	for i, r := range results {
		text := r.GetMessage()
		if r.GetOutcome() == marbleroadv1.Outcome_OUTCOME_CONFLICT && i < len(edits) {
			text += ": " + bothValues(edits[i], r)
		}
		g.add(r.GetSheet(), r.GetName(), outcomeWords[r.GetOutcome()], strconv.FormatUint(r.GetVersion(), 10), text)
		worst = worse(worst, r.GetOutcome())
	}
	if err := a.print(g, results); err != nil {
		return err
	}
	return errors.Wrapf(worst, "change %s", f.change)
}

func worse(worst error, o marbleroadv1.Outcome) error {
	switch o {
	case marbleroadv1.Outcome_OUTCOME_CONFLICT:
		return errConflict
	case marbleroadv1.Outcome_OUTCOME_INVALID:
		return errInvalid
	case marbleroadv1.Outcome_OUTCOME_UNKNOWN:
		return errUnknown
	case marbleroadv1.Outcome_OUTCOME_NOT_STORED:
		if worst == nil {
			return errors.New("not everything was stored")
		}
	}
	return worst
}

// bothValues shows the cells of a lost race: ours and theirs.
func bothValues(e *marbleroadv1.RowEdit, r *marbleroadv1.RowResult) string {
	var current table.Row
	if err := json.Unmarshal(r.GetCurrent(), &current); err != nil || current.Deleted {
		return "the row is deleted now"
	}
	s, err := table.Lookup(current.Sheet)
	if err != nil {
		return ""
	}
	var parts []string
	theirs := current.Cells()
	for _, cell := range e.GetCells() {
		for i, col := range s.Columns {
			if col.Name == cell.GetColumn() && theirs[i] != cell.GetText() {
				parts = append(parts, fmt.Sprintf("%s: yours %q, now %q", col.Name, cell.GetText(), theirs[i]))
			}
		}
	}
	if n := len(current.Changes); n > 0 {
		parts = append(parts, "by "+current.Changes[n-1].Author)
	}
	return strings.Join(parts, ", ")
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "diff SHEET FILE",
		Short:   "Show what applying a CSV file would change; exit code 1 if anything.",
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

func diff(s *table.Sheet, rows []*table.Row, edits []*marbleroadv1.RowEdit) grid {
	g := grid{header: []string{nameColumn, "column", "now", "file"}}
	for _, e := range edits {
		current := s.NewRow(e.GetName())
		if found := only(rows, e.GetName()); len(found) == 1 {
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
		Short:   "Print the latest changes of one row, deleted or not.",
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
			found := only(rows, args[1])
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
