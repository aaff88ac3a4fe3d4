package ctl

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/spf13/cobra"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/table"
)

// changeFlags holds the flags that are common to all commands that change the table.
type changeFlags struct {
	change string
	base   int64
	force  bool
	dryRun bool
}

// register adds the flags to the command. withBase adds --base, for the commands that edit
// a single row.
func (f *changeFlags) register(c *cobra.Command, withBase bool) {
	c.Flags().StringVar(&f.change, "change", "", "change ID; give the ID of an earlier attempt to query its outcome")
	c.Flags().BoolVar(&f.force, "force", false, "use the rows' current versions as the base")
	c.Flags().BoolVar(&f.dryRun, "dry-run", false, "validate the change without applying it")
	if withBase {
		c.Flags().Int64Var(&f.base, "base", -1, "version that the edit is based on; by default the current one")
	}
}

// applyEdits sends the edits and prints the outcome of each.
func (a *app) applyEdits(c *cobra.Command, f *changeFlags, edits []*marbleroadv1.RowEdit) error {
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
	return a.printResults(f, edits, resp.Msg.GetResults())
}

// setBase sets the base version of a single-row edit: the one given with --base, or
// else the row's current version.
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
	if found := rowsNamed(rows, edits[0].GetName()); len(found) == 1 {
		edits[0].BaseVersion = found[0].Version
	}
	return nil
}

var outcomeNames = map[marbleroadv1.Outcome]string{
	marbleroadv1.Outcome_OUTCOME_UNSPECIFIED: "checked",
	marbleroadv1.Outcome_OUTCOME_ACCEPTED:    "accepted",
	marbleroadv1.Outcome_OUTCOME_UNCHANGED:   "unchanged",
	marbleroadv1.Outcome_OUTCOME_CONFLICT:    "conflict",
	marbleroadv1.Outcome_OUTCOME_INVALID:     "invalid",
	marbleroadv1.Outcome_OUTCOME_NOT_STORED:  "not stored",
	marbleroadv1.Outcome_OUTCOME_UNKNOWN:     "unknown",
}

// printResults prints the result of each edit and returns the error that selects the
// exit code.
func (a *app) printResults(f *changeFlags, edits []*marbleroadv1.RowEdit, results []*marbleroadv1.RowResult) error {
	g := grid{header: []string{"sheet", nameColumn, "outcome", versionColumn, "message"}}
	var latest error
	for i, r := range results {
		text := r.GetMessage()
		if r.GetOutcome() == marbleroadv1.Outcome_OUTCOME_CONFLICT && i < len(edits) {
			text += ": " + describeConflict(edits[i], r)
		}
		g.add(r.GetSheet(), r.GetName(), outcomeNames[r.GetOutcome()], strconv.FormatUint(r.GetVersion(), 10), text)
		latest = outcomeError(latest, r.GetOutcome())
	}
	if err := a.print(g, results); err != nil {
		return err
	}
	return errors.Wrapf(latest, "change %s", f.change)
}

// outcomeError returns the error for an outcome, or the previous results' error if the
// outcome is a success. A row that was not stored does not replace a previous error.
func outcomeError(previous error, o marbleroadv1.Outcome) error {
	switch o {
	case marbleroadv1.Outcome_OUTCOME_CONFLICT:
		return errConflict
	case marbleroadv1.Outcome_OUTCOME_INVALID:
		return errInvalid
	case marbleroadv1.Outcome_OUTCOME_UNKNOWN:
		return errUnknown
	case marbleroadv1.Outcome_OUTCOME_NOT_STORED:
		if previous == nil {
			return errors.New("not all edits were stored")
		}
	}
	return previous
}

// describeConflict returns, for an edit that conflicts with a newer version of the row,
// each differing cell with the edit's value and the stored one, and the author of the
// stored version.
func describeConflict(e *marbleroadv1.RowEdit, r *marbleroadv1.RowResult) string {
	var current table.Row
	if err := json.Unmarshal(r.GetCurrent(), &current); err != nil || current.Deleted {
		return "the row is deleted now"
	}
	s, err := table.Lookup(current.Sheet)
	if err != nil {
		return ""
	}
	var parts []string
	stored := current.Cells()
	for _, cell := range e.GetCells() {
		for i, col := range s.Columns {
			if col.Name == cell.GetColumn() && stored[i] != cell.GetText() {
				parts = append(parts, fmt.Sprintf("%s: yours %q, now %q", col.Name, cell.GetText(), stored[i]))
			}
		}
	}
	if n := len(current.Changes); n > 0 {
		parts = append(parts, "by "+current.Changes[n-1].Author)
	}
	return strings.Join(parts, ", ")
}
