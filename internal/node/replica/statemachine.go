package replica

import (
	"slices"

	"github.com/pkg/errors"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Limits of the most recent commands and results, which are retained for the feed
// and for proposals that wait for their result.
const (
	maxRecentVersions = 256
	maxRecentBytes    = 32 << 20
)

// stateMachine applies the learned commands in the order of their slots. The command
// of a slot results in the version with the same number.
type stateMachine struct {
	state statemachine.State // after the last applied command
	// recent holds the most recent commands, and results[i] is the result of recent[i].
	recent  []*wire.Chosen
	results []statemachine.Result
}

// apply applies the command of the next slot.
func (m *stateMachine) apply(chosen *wire.Chosen) statemachine.Result {
	next, result := m.state.Step(chosen.Epoch, chosen.Command)
	m.state = next
	m.results = append(m.results, result)
	m.recent = append(m.recent, chosen)
	if drop := m.excessCount(); drop > 0 {
		m.results = slices.Clone(m.results[drop:])
		m.recent = slices.Clone(m.recent[drop:])
	}
	return result
}

// excessCount returns the number of oldest commands that exceed the limits. The last
// command is retained whatever its size.
func (m *stateMachine) excessCount() int {
	first := len(m.recent)
	size := 0
	for first > 0 && len(m.recent)-first < maxRecentVersions {
		size += len(m.recent[first-1].Command)
		if size > maxRecentBytes && first < len(m.recent) {
			break
		}
		first--
	}
	return first
}

// findCommand returns the first version after the given one whose command matches,
// and the command's result. Commands that are no longer retained are skipped.
func (m *stateMachine) findCommand(after uint64, match func(command []byte) bool) (version uint64, result statemachine.Result, found bool) {
	for version := after + 1; version <= m.state.Version; version++ {
		age := m.state.Version - version
		if age >= uint64(len(m.recent)) {
			continue
		}
		index := uint64(len(m.recent)) - 1 - age
		if match(m.recent[index].Command) {
			return version, m.results[index], true
		}
	}
	return 0, statemachine.Result{}, false
}

// decodeSnapshot decodes the state machine's state from the snapshot in a consensus
// state. Without a snapshot it returns the zero State. It returns a
// *SnapshotVersionError if the decoded version differs from the snapshot's slot.
func decodeSnapshot(state paxos.State) (statemachine.State, error) {
	if state.SnapshotSlot == 0 {
		return statemachine.State{}, nil
	}
	decoded, err := statemachine.DecodeState(state.Snapshot)
	if err != nil {
		return statemachine.State{}, errors.Wrapf(err, "decode snapshot at epoch %d", state.SnapshotSlot)
	}
	if decoded.Version != state.SnapshotSlot {
		return statemachine.State{}, &SnapshotVersionError{Version: decoded.Version, Slot: state.SnapshotSlot}
	}
	return decoded, nil
}
