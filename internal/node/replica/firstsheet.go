package replica

import (
	"context"
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

const (
	// firstSheetOrderID is both the id and the operator of the order.
	firstSheetOrderID = "first-sheet"
	// firstSheetTimeout bounds one attempt to propose the sheet.
	firstSheetTimeout = 5 * time.Second
)

// proposeFirstSheet proposes the configured sheet if the formation never had one.
// Done reports that no further attempt is needed: a sheet exists, the proposal has a
// result, or the configured sheet is invalid.
func (r *Replica) proposeFirstSheet(ctx context.Context) (done bool) {
	current, err := r.machineState(ctx)
	if err != nil {
		return false
	}
	if current.SheetVersion > 0 {
		return true
	}
	first, apiErr := sheet.ParseSheet(r.cfg.FirstSheet, r.cfg.MaxSheetBytes)
	if apiErr != nil {
		r.events.Emit(events.OrderRejected, "order", firstSheetOrderID, "code", apiErr.Code, "detail", apiErr.Detail)
		return true
	}
	order := statemachine.Order{OrderID: firstSheetOrderID, Operator: firstSheetOrderID, ReceivedAtMS: r.clock.Now().UnixMilli()}
	ctx, cancel := context.WithTimeout(ctx, firstSheetTimeout)
	defer cancel()
	_, result, err := r.Propose(ctx, statemachine.Encode(statemachine.PutSheet{Order: order, Sheet: first}))
	if err != nil {
		return false
	}
	r.events.Emit(events.FirstSheetOffered, "core", r.cfg.Self, "epoch", result.Version, "code", result.Code)
	return true
}
