package control

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/platform"
	"github.com/marbleroad/marbleroad/internal/table"
)

const (
	// maxEdits bounds the edits of one change.
	maxEdits = 5000
	// maxParallelWrites is the number of rows of one change that are written concurrently.
	maxParallelWrites = 8
)

// Apply implements OperatorService. All edits are checked before any is written, so a change
// with an invalid edit has no effect. After that, each row is written separately: a conflict
// at one row does not undo the others.
func (h operatorHandler) Apply(ctx context.Context, r *connect.Request[marbleroadv1.ApplyRequest]) (*connect.Response[marbleroadv1.ApplyResponse], error) {
	m := r.Msg
	if m.GetChangeId() == "" || len(m.GetEdits()) > maxEdits {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Newf("a change ID and at most %d edits are needed", maxEdits))
	}
	edits, results, ok := h.k.checkEdits(m.GetEdits())
	if !ok || m.GetDryRun() {
		if !ok {
			h.k.parts.Log.Emit(event.ChangeInvalid).Str("author", m.GetAuthor()).Str("change", m.GetChangeId()).Send()
		}
		return connect.NewResponse(&marbleroadv1.ApplyResponse{Results: results}), nil
	}
	var group sync.WaitGroup
	slots := make(chan struct{}, maxParallelWrites)
	for i, e := range edits {
		group.Add(1)
		slots <- struct{}{}
		go func() {
			defer group.Done()
			results[i] = h.k.applyEdit(ctx, m, e)
			<-slots
		}()
	}
	group.Wait()
	return connect.NewResponse(&marbleroadv1.ApplyResponse{Results: results}), nil
}

// checkedEdit is a valid edit with the row that results from it according to the items of this
// process. When the edit is written, it is applied to the row as stored instead.
type checkedEdit struct {
	message *marbleroadv1.RowEdit
	row     *table.Row
}

func rowResult(e *marbleroadv1.RowEdit, outcome marbleroadv1.Outcome, message string) *marbleroadv1.RowResult {
	return &marbleroadv1.RowResult{Sheet: e.GetSheet(), Name: e.GetName(), Outcome: outcome, Message: message}
}

// checkEdits parses and validates all edits. Its results hold the validation errors of each
// edit; the last value is false if there are any.
func (k *Control) checkEdits(edits []*marbleroadv1.RowEdit) ([]checkedEdit, []*marbleroadv1.RowResult, bool) {
	out := make([]checkedEdit, len(edits))
	results := make([]*marbleroadv1.RowResult, len(edits))
	after := k.tableAfter(edits, out, results)
	ok := true
	for i, e := range edits {
		if results[i] == nil && !e.GetDelete() {
			if err := table.CheckReferences(out[i].row, after); err != nil {
				results[i] = rowResult(e, marbleroadv1.Outcome_OUTCOME_INVALID, err.Error())
			}
		}
		if results[i] != nil {
			ok = false
			continue
		}
		results[i] = rowResult(e, marbleroadv1.Outcome_OUTCOME_UNSPECIFIED, "")
	}
	return out, results, ok
}

// tableAfter parses the edits into out, records validation errors in results and returns the
// table as it would be after all edits.
func (k *Control) tableAfter(edits []*marbleroadv1.RowEdit, out []checkedEdit, results []*marbleroadv1.RowResult) map[string]*table.Row {
	after := make(map[string]*table.Row)
	for _, it := range k.items.List(item.TablePrefix) {
		row, err := table.Decode(it.Value)
		if err == nil && !row.Deleted {
			after[it.Key] = row
		}
	}
	seen := make(map[string]bool)
	for i, e := range edits {
		key := table.Key(table.SheetName(e.GetSheet()), e.GetName())
		row, err := parseEdit(e, after[key])
		if err == nil && seen[key] {
			err = errors.New("the row stands twice in this change")
		}
		seen[key] = true
		if err != nil {
			results[i] = rowResult(e, marbleroadv1.Outcome_OUTCOME_INVALID, err.Error())
			continue
		}
		out[i] = checkedEdit{message: e, row: row}
		delete(after, key)
		if !e.GetDelete() {
			after[key] = row
		}
	}
	return after
}

// parseEdit builds the row that results from the edit. Columns that the edit does not name keep
// their cell, or take the default in a new row.
func parseEdit(e *marbleroadv1.RowEdit, current *table.Row) (*table.Row, error) {
	sheet, err := table.Lookup(table.SheetName(e.GetSheet()))
	if err != nil {
		return nil, err
	}
	if err := table.CheckName(e.GetName()); err != nil {
		return nil, err
	}
	row := sheet.NewRow(e.GetName())
	if current != nil {
		row, err = current.Copy()
		if err != nil {
			return nil, err
		}
	}
	if e.GetDelete() {
		return row, nil
	}
	var validationErr error
	for _, c := range e.GetCells() {
		if err := sheet.Set(row, c.GetColumn(), c.GetText()); err != nil {
			validationErr = joinErrors(validationErr, err)
		}
	}
	if validationErr == nil {
		validationErr = sheet.Check(row)
	}
	return row, validationErr
}

func joinErrors(a, b error) error {
	if a == nil {
		return b
	}
	return errors.Newf("%s; %s", a.Error(), b.Error())
}

// maxEditAttempts bounds how often an edit is attempted when other writers change the row in
// between.
const maxEditAttempts = 5

// applyEdit writes one row by a conditional update.
func (k *Control) applyEdit(ctx context.Context, m *marbleroadv1.ApplyRequest, e checkedEdit) *marbleroadv1.RowResult {
	for range maxEditAttempts {
		res, retry := k.attemptEdit(ctx, m, e)
		if !retry {
			k.logResult(m, res)
			return res
		}
	}
	return rowResult(e.message, marbleroadv1.Outcome_OUTCOME_NOT_STORED, "other writers were faster each time; try again")
}

// logResult logs an accepted edit or a conflict; it logs no other outcome.
func (k *Control) logResult(m *marbleroadv1.ApplyRequest, r *marbleroadv1.RowResult) {
	kind := event.ChangeAccepted
	switch r.GetOutcome() {
	case marbleroadv1.Outcome_OUTCOME_ACCEPTED:
	case marbleroadv1.Outcome_OUTCOME_CONFLICT:
		kind = event.ChangeConflict
	default:
		return
	}
	k.parts.Log.Emit(kind).Str("author", m.GetAuthor()).Str("change", m.GetChangeId()).
		Str("sheet", r.GetSheet()).Str("row", r.GetName()).Uint64("version", r.GetVersion()).Send()
}

// attemptEdit makes one attempt to write the edit. retry is true when the stored object changed
// in between and the edit must be checked against the new one.
func (k *Control) attemptEdit(ctx context.Context, m *marbleroadv1.ApplyRequest, e checkedEdit) (res *marbleroadv1.RowResult, retry bool) {
	key := e.row.Key()
	current, base, err := k.readRow(ctx, key)
	if err != nil {
		return rowResult(e.message, marbleroadv1.Outcome_OUTCOME_NOT_STORED, "the platform does not answer: nothing was changed"), false
	}
	if current != nil && current.HasChange(m.GetChangeId()) {
		return acceptedResult(e, current), false
	}
	if res := checkConflict(e, current); res != nil {
		return res, false
	}
	// Cells that the edit does not name are taken from the row as stored.
	next, err := parseEdit(e.message, liveRow(current))
	if err != nil {
		return rowResult(e.message, marbleroadv1.Outcome_OUTCOME_INVALID, err.Error()), false
	}
	next.Changes = nil
	next.Version = 0
	if current != nil {
		next.Changes = current.Changes
		next.Version = current.Version
		next.Deleted = current.Deleted
	}
	if current != nil && next.Deleted == e.message.GetDelete() && equalCells(next, current) {
		return unchangedResult(e, current), false
	}
	next.Deleted = e.message.GetDelete()
	next.Record(m.GetChangeId(), m.GetAuthor(), time.Now())
	it, err := next.Item()
	if err != nil {
		return rowResult(e.message, marbleroadv1.Outcome_OUTCOME_INVALID, err.Error()), false
	}
	_, err = k.parts.Platform.Put(ctx, key, it.Value, base)
	k.recordPlatformCall(err)
	switch {
	case err == nil:
		k.adopt(it)
		return acceptedResult(e, next), false
	case errors.Is(err, platform.ErrConflict):
		return nil, true
	case errors.Is(err, platform.ErrUnknown):
		return k.confirmEdit(ctx, m, e)
	}
	return rowResult(e.message, marbleroadv1.Outcome_OUTCOME_NOT_STORED, "the platform refused the write: nothing was changed"), false
}

// confirmEdit reads the row back after the response of a write was lost, and looks for the
// change's ID.
func (k *Control) confirmEdit(ctx context.Context, m *marbleroadv1.ApplyRequest, e checkedEdit) (*marbleroadv1.RowResult, bool) {
	current, _, err := k.readRow(ctx, e.row.Key())
	if err != nil {
		return rowResult(e.message, marbleroadv1.Outcome_OUTCOME_UNKNOWN,
			"the platform's answer was lost; apply the same change again (--change "+m.GetChangeId()+") to learn what came of it"), false
	}
	if current != nil && current.HasChange(m.GetChangeId()) {
		k.parts.Log.Emit(event.WriteResolved).Str("key", e.row.Key()).Send()
		return acceptedResult(e, current), false
	}
	return nil, true
}

// readRow reads a row and its stored version. The row is nil when none is stored.
func (k *Control) readRow(ctx context.Context, key string) (*table.Row, uint64, error) {
	object, err := k.parts.Platform.Get(ctx, key)
	k.recordPlatformCall(err)
	if errors.Is(err, platform.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	k.adoptObjects([]platform.Object{object})
	row, err := table.Decode(object.Value)
	return row, object.Version, err
}

// liveRow returns the row unless it is deleted.
func liveRow(r *table.Row) *table.Row {
	if r == nil || r.Deleted {
		return nil
	}
	return r
}

// checkConflict returns a conflict when the row has changed since the version that the edit is
// based on, and nil otherwise.
func checkConflict(e checkedEdit, current *table.Row) *marbleroadv1.RowResult {
	version := uint64(0)
	if current != nil && !current.Deleted {
		version = current.Version
	}
	base := e.message.GetBaseVersion()
	if e.message.GetForce() || base == version || (current != nil && base == current.Version) {
		return nil
	}
	res := rowResult(e.message, marbleroadv1.Outcome_OUTCOME_CONFLICT, "the row has changed since")
	res.Version = version
	if current != nil {
		res.Current, _ = json.Marshal(current)
	}
	return res
}

func acceptedResult(e checkedEdit, row *table.Row) *marbleroadv1.RowResult {
	res := rowResult(e.message, marbleroadv1.Outcome_OUTCOME_ACCEPTED, "")
	res.Version = row.Version
	return res
}

func unchangedResult(e checkedEdit, row *table.Row) *marbleroadv1.RowResult {
	res := rowResult(e.message, marbleroadv1.Outcome_OUTCOME_UNCHANGED, "")
	res.Version = row.Version
	return res
}

func equalCells(a, b *table.Row) bool {
	x, y := a.Cells(), b.Cells()
	if len(x) != len(y) {
		return false
	}
	for i := range x {
		if x[i] != y[i] {
			return false
		}
	}
	return true
}
