package replica

import (
	"context"
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

const (
	// firstSheetOrder is the id and the operator of the order.
	firstSheetOrder = "first-sheet"
	// firstSheetTimeout is the timeout of one attempt to propose it.
	firstSheetTimeout = 5 * time.Second
)

// proposeFirstSheet proposes the configured sheet to a formation that never had
// one. It reports whether that is done: a sheet exists, or the configured one is
// invalid.
func (r *Replica) proposeFirstSheet(ctx context.Context) (done bool) {
	current, err := r.appliedState(ctx)
	if err != nil {
		return false
	}
	if current.SheetVersion > 0 {
		return true
	}
	first, apiErr := sheet.ParseSheet(r.cfg.FirstSheet, r.cfg.MaxSheetBytes)
	if apiErr != nil {
		r.events.Emit(events.OrderRejected, "order", firstSheetOrder, "code", apiErr.Code, "detail", apiErr.Detail)
		return true
	}
	order := statemachine.Order{OrderID: firstSheetOrder, Operator: firstSheetOrder, ReceivedAtMS: r.clock.Now().UnixMilli()}
	ctx, cancel := context.WithTimeout(ctx, firstSheetTimeout)
	defer cancel()
	_, result, err := r.Propose(ctx, statemachine.Encode(statemachine.PutSheet{Order: order, Sheet: first}))
	if err != nil {
		return false
	}
	r.events.Emit(events.FirstSheetOffered, "core", r.cfg.Self, "epoch", result.Version, "code", result.Code)
	return true
}
