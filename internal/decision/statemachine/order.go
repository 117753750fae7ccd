package statemachine

import (
	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Order holds the fields that all operators' commands share.
//
// OrderID makes retries idempotent: an order with the id and Digest of an accepted
// one is a replay, and one with the same id and another digest is rejected. An
// empty Digest is computed from the content. An order without an id that changes
// the sheet takes its digest as its id. Replays of other orders without an id are
// not detected, since evacuating a zone, restoring it and evacuating it again must
// count as three orders.
//
// Base is the version of the sheet that the order was built on. For an order on a zone
// or the roster it is a version of the state that the sender has read, or 0 to apply the
// order whatever was accepted since. If Revision is set, it is the operator's own number for the resulting sheet and must exceed the
// current revision; the order is then built on BaseRevision, and Base is ignored.
type Order struct {
	OrderID  string `json:"order_id,omitempty"`
	Operator string `json:"operator,omitempty"`
	Digest   string `json:"digest,omitempty"`
	Base     uint64 `json:"base,omitempty"`

	Revision     uint64 `json:"revision,omitempty"`
	BaseRevision uint64 `json:"base_revision,omitempty"`

	// ReceivedAtMS is the time of arrival in Unix milliseconds.
	ReceivedAtMS int64 `json:"at_ms,omitempty"`
}

// orderCommand is a command that an operator may send.
type orderCommand interface {
	Command
	// order returns the command's Order with its digest and id filled in.
	order() Order
	// byOperator reports whether the command comes from an operator rather than
	// from a replica.
	byOperator() bool
	// withOrder returns a copy of the command with the given Order.
	withOrder(order Order) Command
}

// OrderOf returns the Order of a command with its digest filled in. The second
// result is false if the command does not come from an operator.
func OrderOf(command Command) (Order, bool) {
	c, ok := command.(orderCommand)
	if !ok {
		return Order{}, false
	}
	return c.order(), c.byOperator()
}

// withOrderDigest returns the command with its order's digest and id filled in.
func withOrderDigest(command orderCommand) Command {
	return command.withOrder(command.order())
}

// checkReplay returns the earlier result of an order that has already been
// accepted, or a rejection if its id belongs to another accepted order. The second
// result is false if the order has no id or the id is not in the history.
func (s State) checkReplay(order Order) (Result, bool) {
	if order.OrderID == "" {
		return Result{}, false
	}
	earlier, ok := s.AppliedOrder(order.OrderID)
	if !ok {
		return Result{}, false
	}
	if earlier.Digest != order.Digest {
		return s.result(apierror.OrderIDReused, "order %s was sent before to %s, and accepted at epoch %d",
			strictjson.Excerpt(order.OrderID), earlier.Verb, earlier.Version), true
	}
	return Result{Code: apierror.OK, Version: earlier.Version, SheetVersion: earlier.SheetVersion}, true
}

// checkSheetOrder returns the result of an order on the sheet that is not to be
// applied regardless of its content: a replay, or an order whose base or revision
// is rejected. The second result is false if the order is to be applied.
func (s State) checkSheetOrder(order Order) (Result, bool) {
	if result, replayed := s.checkReplay(order); replayed {
		return result, true
	}
	if order.Revision > 0 {
		return s.checkRevision(order)
	}
	return s.checkBase(order)
}

// checkBase rejects an order whose base is not the current sheet version.
func (s State) checkBase(order Order) (Result, bool) {
	if order.Base == s.SheetVersion {
		return Result{}, false
	}
	changeVersion := s.sheetVersionAfter(order.Base)
	rejection := s.result(apierror.BaseConflict, "base %d was taken by epoch %d; the sheet is at %d", order.Base, changeVersion, s.SheetVersion)
	if order.Base > s.SheetVersion {
		rejection = s.result(apierror.BaseConflict, "base %d is above the sheet's epoch %d", order.Base, s.SheetVersion)
	}
	rejection.Version = changeVersion
	return rejection, true
}

// checkRevision rejects an order whose base revision is not the current one or
// whose new revision does not exceed it.
func (s State) checkRevision(order Order) (Result, bool) {
	switch {
	case order.BaseRevision != s.Revision:
		return s.result(apierror.BaseConflict, "base revision %d is not the sheet's; it is at %d", order.BaseRevision, s.Revision), true
	case order.Revision <= s.Revision:
		return s.result(apierror.InvalidSheet, "revision %d is not above the sheet's revision %d", order.Revision, s.Revision), true
	}
	return Result{}, false
}

// recordAccepted adds an order to the history of a state that already contains
// the order's change, and returns its result.
func (s State) recordAccepted(order Order, verb, summary string) (State, Result) {
	s = s.withRecord(Record{
		Version:      s.Version,
		SheetVersion: s.SheetVersion,
		Operator:     order.Operator,
		Verb:         verb,
		OrderID:      order.OrderID,
		Digest:       order.Digest,
		ReceivedAtMS: order.ReceivedAtMS,
		Summary:      summary,
	})
	return s, s.result(apierror.OK, "")
}
