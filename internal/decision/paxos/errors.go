package paxos

import (
	"errors"
	"fmt"
)

// ErrEmptyRecord is returned for a record without a byte, which names no kind.
var ErrEmptyRecord = errors.New("empty record")

// UnknownKindError is returned for a record of a kind that this version does
// not know.
type UnknownKindError struct {
	Kind byte
}

func (e *UnknownKindError) Error() string { return fmt.Sprintf("record of unknown kind %d", e.Kind) }

// LearnedCountError is returned for a Learned record that does not hold exactly
// one value.
type LearnedCountError struct {
	Count int
}

func (e *LearnedCountError) Error() string {
	return fmt.Sprintf("a learned record of %d epochs", e.Count)
}

// SlotGapError is returned for a list of chosen values that are not those of
// consecutive slots.
type SlotGapError struct {
	Slot     uint64 // the slot found
	Expected uint64
}

func (e *SlotGapError) Error() string {
	return fmt.Sprintf("epoch %d where %d was due", e.Slot, e.Expected)
}
