package paxos

import (
	"errors"
	"fmt"
)

// ErrEmptyRecord is returned for a record of zero bytes, which lacks the kind.
var ErrEmptyRecord = errors.New("decode record: no bytes, expected at least the record kind")

// UnknownRecordKindError is returned for a record whose kind this version does
// not support.
type UnknownRecordKindError struct {
	Kind byte
}

func (e *UnknownRecordKindError) Error() string {
	return fmt.Sprintf("decode record: unknown kind %d, this version supports kinds %d to %d", e.Kind, kindFormationJoined, kindRecoveryCompleted)
}

// LearnedValueCountError is returned for a Learned record that does not hold
// exactly one value.
type LearnedValueCountError struct {
	Count int
}

func (e *LearnedValueCountError) Error() string {
	return fmt.Sprintf("decode Learned record: got %d chosen values, expected exactly 1", e.Count)
}

// SlotGapError is returned for a list of chosen values whose slots are not
// consecutive.
type SlotGapError struct {
	Slot     uint64 // the slot of the value in the list
	Expected uint64
}

func (e *SlotGapError) Error() string {
	return fmt.Sprintf("chosen values are not consecutive: got slot %d, expected slot %d", e.Slot, e.Expected)
}
