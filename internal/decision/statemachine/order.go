package statemachine

import (
	"stepwick/internal/apierror"
	"stepwick/internal/decision/strictjson"
)

// Order is the part that the commands of operators have in common.
//
// OrderID identifies the order when it is sent again, and Digest distinguishes
// it from another order under the same id; Digest is computed from the content where it is
// empty. An order that changes the sheet and has no id takes its digest as its
// id. Other orders without an id are not recognised when they are sent again:
// they are idempotent, and to evacuate a zone, restore it and evacuate it again
// is three orders.
//
// Base is the version of the sheet that the order was built on. An order with a
// Revision numbers the sheet that it makes, by a number of the operator's own
// choice above the current one; it is built on BaseRevision, and Base does not
// count.
type Order struct {
	OrderID  string `json:"order_id,omitempty"`
	Operator string `json:"operator,omitempty"`
	Digest   string `json:"digest,omitempty"`
	Base     uint64 `json:"base,omitempty"`

	Revision     uint64 `json:"revision,omitempty"`
	BaseRevision uint64 `json:"base_revision,omitempty"`

	// AtMS is when the order arrived, in Unix milliseconds.
	AtMS int64 `json:"at_ms,omitempty"`
}

// orderCommand is a command that an operator may send.
type orderCommand interface {
	Command
	// order returns the order part with its digest and id.
	order() Order
	// byOperator reports whether an operator sent the command, rather than a
	// replica of its own accord.
	byOperator() bool
	// withOrder returns the command with another order part.
	withOrder(order Order) Command
}

// OrderOf returns the order part of an operator's command, with its digest;
// false for commands that no operator sent.
func OrderOf(command Command) (Order, bool) {
	c, ok := command.(orderCommand)
	if !ok {
		return Order{}, false
	}
	return c.order(), c.byOperator()
}

// withOrderDigest returns the command with the digest of its order filled in.
func withOrderDigest(command orderCommand) Command {
	return command.withOrder(command.order())
}

// checkReplay returns the earlier result of an order that was accepted before,
// or the rejection of another order under its id; false if the id is new.
func (s State) checkReplay(order Order) (Result, bool) {
	if order.OrderID == "" {
		return Result{}, false
	}
	earlier, known := s.AppliedOrder(order.OrderID)
	if !known {
		return Result{}, false
	}
	if earlier.Digest != order.Digest {
		return s.result(apierror.OrderIDReused, "order %s was sent before to %s, and accepted at epoch %d",
			strictjson.Excerpt(order.OrderID), earlier.Verb, earlier.Version), true
	}
	return Result{Code: apierror.OK, Version: earlier.Version, SheetVersion: earlier.SheetVersion}, true
}

// checkSheetOrder returns the result of an order on the sheet that is decided
// without its content: one that was accepted before, or whose base has changed.
func (s State) checkSheetOrder(order Order) (Result, bool) {
	if result, known := s.checkReplay(order); known {
		return result, true
	}
	if order.Revision > 0 {
		return s.checkRevision(order)
	}
	return s.checkBase(order)
}

// checkBase rejects an order that was not built on the current sheet.
func (s State) checkBase(order Order) (Result, bool) {
	if order.Base == s.SheetVersion {
		return Result{}, false
	}
	changedAt := s.sheetVersionAfter(order.Base)
	moved := s.result(apierror.BaseMoved, "base %d was taken by epoch %d; the sheet is at %d", order.Base, changedAt, s.SheetVersion)
	if order.Base > s.SheetVersion {
		moved = s.result(apierror.BaseMoved, "base %d is not the sheet's; it is at %d", order.Base, s.SheetVersion)
	}
	moved.Version = changedAt
	return moved, true
}

// checkRevision rejects an order that numbers its sheet and was not built on
// the current revision, or whose number is not above it.
func (s State) checkRevision(order Order) (Result, bool) {
	switch {
	case order.BaseRevision != s.Revision:
		return s.result(apierror.BaseMoved, "base revision %d is not the sheet's; it is at %d", order.BaseRevision, s.Revision), true
	case order.Revision <= s.Revision:
		return s.result(apierror.InvalidSheet, "revision %d is not above the sheet's, %d", order.Revision, s.Revision), true
	}
	return Result{}, false
}

// accepted records an order whose change is in the state already.
func (s State) accepted(order Order, verb, summary string) (State, Result) {
	s = s.withRecord(Record{
		Version:      s.Version,
		SheetVersion: s.SheetVersion,
		Operator:     order.Operator,
		Verb:         verb,
		OrderID:      order.OrderID,
		Digest:       order.Digest,
		AtMS:         order.AtMS,
		Summary:      summary,
	})
	return s, s.result(apierror.OK, "")
}
