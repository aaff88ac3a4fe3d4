package control

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"

	marbleroadv1 "github.com/marbleroad/marbleroad/api/marbleroad/v1"
	"github.com/marbleroad/marbleroad/internal/event"
	"github.com/marbleroad/marbleroad/internal/item"
	"github.com/marbleroad/marbleroad/internal/table"
	"github.com/marbleroad/marbleroad/internal/view"
)

// drainRetry is the pause between tries to store a held drain order.
const drainRetry = 2 * time.Second

// Drain implements OperatorService. While the platform is away the order is
// held by this failure domain's processes and stored later.
func (h operatorHandler) Drain(ctx context.Context, r *connect.Request[marbleroadv1.DrainRequest]) (*connect.Response[marbleroadv1.DrainResponse], error) {
	if err := table.CheckName(r.Msg.GetVm()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	k := h.k
	order := view.Drain{VM: r.Msg.GetVm(), Drain: r.Msg.GetDrain(), Author: r.Msg.GetAuthor()}
	if k.storeDrain(ctx, order) {
		return connect.NewResponse(&marbleroadv1.DrainResponse{Stored: true}), nil
	}
	k.holdDrain(order)
	k.parts.Log.Emit(event.DrainPending).Str("vm", order.VM).Send()
	k.work(context.Background(), func(context.Context) { k.storeLater(order) })
	return connect.NewResponse(&marbleroadv1.DrainResponse{}), nil
}

func (k *Control) storeDrain(ctx context.Context, order view.Drain) bool {
	text := "no"
	if order.Drain {
		text = "yes"
	}
	edit := &marbleroadv1.RowEdit{
		Sheet: string(table.VMs),
		Name:  order.VM,
		Cells: []*marbleroadv1.Cell{{Column: "drain", Text: text}},
		Force: true,
	}
	row, err := parseEdit(edit, nil)
	if err != nil {
		return false
	}
	request := &marbleroadv1.ApplyRequest{ChangeId: newChangeID(), Author: order.Author}
	res := k.applyEdit(ctx, request, checkedEdit{message: edit, row: row})
	switch res.GetOutcome() {
	case marbleroadv1.Outcome_OUTCOME_ACCEPTED, marbleroadv1.Outcome_OUTCOME_UNCHANGED:
		return true
	}
	return false
}

// holdDrain puts the order among the items that peers of this failure domain
// pass on.
func (k *Control) holdDrain(order view.Drain) {
	key := view.DrainKey(k.config.FailureDomain, order.VM)
	value, err := json.Marshal(order)
	if err != nil {
		return
	}
	old, _ := k.items.Get(key)
	k.adopt(item.Item{Key: key, Version: old.Version + 1, Value: value})
}

// storeLater stores a held order when the platform answers again, unless a
// newer order for the VM has come.
func (k *Control) storeLater(order view.Drain) {
	key := view.DrainKey(k.config.FailureDomain, order.VM)
	held, _ := k.items.Get(key)
	for k.running() {
		now, _ := k.items.Get(key)
		if now.Version != held.Version {
			return
		}
		if k.storeDrain(context.Background(), order) {
			order.Stored = true
			k.holdDrain(order)
			return
		}
		time.Sleep(drainRetry)
	}
}
