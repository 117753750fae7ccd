package statemachine

import (
	"fmt"

	"stepwick/internal/decision/sheet"
)

// PutSheet replaces the sheet.
type PutSheet struct {
	Order
	Sheet *sheet.Sheet `json:"sheet"`
}

// PatchSheet changes individual cells of the sheet.
type PatchSheet struct {
	Order
	Changes []sheet.Change `json:"changes"`
}

// MergeSheet removes rows from the sheet, then adds or replaces rows by name.
type MergeSheet struct {
	Order
	Upsert *sheet.Sheet  `json:"upsert,omitempty"`
	Remove sheet.Removal `json:"remove"`
}

// Verb implements Command.
func (PutSheet) Verb() string { return sheet.VerbPut }

// Verb implements Command.
func (PatchSheet) Verb() string { return sheet.VerbPatch }

// Verb implements Command.
func (MergeSheet) Verb() string { return sheet.VerbMerge }

// Apply replaces the sheet if the order's base is current and the new sheet is
// valid.
func (c PutSheet) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	order := c.order()
	if result, decided := state.checkSheetOrder(order); decided {
		return state, result
	}
	if apiErr := c.Sheet.Check(); apiErr != nil {
		return state, state.rejection(apiErr)
	}
	summary := fmt.Sprintf("%d services, %d tenants", len(c.Sheet.Services), len(c.Sheet.Tenants))
	return state.withSheet(c.Sheet, order).recordAccepted(order, c.Verb(), summary)
}

// Apply changes the cells if the order's base is current and the resulting sheet
// is valid.
func (c PatchSheet) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	order := c.order()
	if result, decided := state.checkSheetOrder(order); decided {
		return state, result
	}
	patched, apiErr := state.Sheet.Patch(c.Changes)
	if apiErr != nil {
		return state, state.rejection(apiErr)
	}
	return state.withSheet(patched, order).recordAccepted(order, c.Verb(), sheet.Summarize(c.Changes))
}

// Apply merges the rows if the order's base is current and the resulting sheet is
// valid.
func (c MergeSheet) Apply(state State, version uint64) (State, Result) {
	state.Version = version
	order := c.order()
	if result, decided := state.checkSheetOrder(order); decided {
		return state, result
	}
	merged := state.Sheet.Merge(c.Upsert, c.Remove)
	if apiErr := merged.Check(); apiErr != nil {
		return state, state.rejection(apiErr)
	}
	summary := fmt.Sprintf("%d routes, %d services, %d tenants", len(merged.Routes), len(merged.Services), len(merged.Tenants))
	return state.withSheet(merged, order).recordAccepted(order, c.Verb(), summary)
}

// withSheet returns the state with a new sheet, whose version is the state's.
func (s State) withSheet(current *sheet.Sheet, order Order) State {
	s.Sheet = current
	s.SheetVersion = s.Version
	if order.Revision > 0 {
		s.Revision = order.Revision
	}
	return s
}

func (c PutSheet) order() Order {
	return c.withDigest(sheet.VerbPut, func() any { return c.Sheet })
}

func (c PatchSheet) order() Order {
	return c.withDigest(sheet.VerbPatch, func() any { return c.Changes })
}

func (c MergeSheet) order() Order {
	return c.withDigest(sheet.VerbMerge, func() any {
		// Stored digests cover these field names, so they must not be renamed.
		return struct {
			Upsert *sheet.Sheet
			Remove sheet.Removal
		}{c.Upsert, c.Remove}
	})
}

func (PutSheet) byOperator() bool   { return true }
func (PatchSheet) byOperator() bool { return true }
func (MergeSheet) byOperator() bool { return true }

func (c PutSheet) withOrder(order Order) Command {
	c.Order = order
	return c
}

func (c PatchSheet) withOrder(order Order) Command {
	c.Order = order
	return c
}

func (c MergeSheet) withOrder(order Order) Command {
	c.Order = order
	return c
}
