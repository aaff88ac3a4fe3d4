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

// drainRetryInterval is the pause between attempts to store a pending drain order.
const drainRetryInterval = 2 * time.Second

// Drain implements OperatorService. While the platform is unreachable, the processes of this
// failure domain exchange the order as an item and apply it; it is stored later.
func (h operatorHandler) Drain(ctx context.Context, r *connect.Request[marbleroadv1.DrainRequest]) (*connect.Response[marbleroadv1.DrainResponse], error) {
	if err := table.CheckName(r.Msg.GetVm()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	k := h.k
	order := view.Drain{VM: r.Msg.GetVm(), Drain: r.Msg.GetDrain(), Author: r.Msg.GetAuthor()}
	if k.storeDrain(ctx, order) {
		return connect.NewResponse(&marbleroadv1.DrainResponse{Stored: true}), nil
	}
	k.publishDrain(order)
	k.parts.Log.Emit(event.DrainHeld).Str("vm", order.VM).Send()
	k.startWorker(context.Background(), func(context.Context) { k.storeWhenReachable(order) })
	return connect.NewResponse(&marbleroadv1.DrainResponse{}), nil
}

// storeDrain writes the order to the VMs sheet and reports whether it is stored.
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

// publishDrain adds the order as an item that peers of this failure domain exchange. The item of a
// stored order replaces that of the pending one and has no effect of its own.
func (k *Control) publishDrain(order view.Drain) {
	key := view.DrainKey(k.config.FailureDomain, order.VM)
	value, err := json.Marshal(order)
	if err != nil {
		return
	}
	old, _ := k.items.Get(key)
	k.adopt(item.Item{Key: key, Version: old.Version + 1, Value: value})
}

// storeWhenReachable stores a pending order once the platform is reachable, unless a newer
// order for the VM has arrived. It then marks the order's item as stored, so that only the
// table has an effect.
func (k *Control) storeWhenReachable(order view.Drain) {
	key := view.DrainKey(k.config.FailureDomain, order.VM)
	pending, _ := k.items.Get(key)
	for k.isRunning() {
		now, _ := k.items.Get(key)
		if now.Version != pending.Version {
			return
		}
		if k.storeDrain(context.Background(), order) {
			order.Stored = true
			k.publishDrain(order)
			return
		}
		time.Sleep(drainRetryInterval)
	}
}
