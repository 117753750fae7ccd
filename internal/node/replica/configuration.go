package replica

import (
	"slices"

	"github.com/pkg/errors"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// Limits of the commands and results kept of the last versions, for the feed and
// for proposals that wait for theirs.
const (
	maxRecentVersions = 256
	maxRecentBytes    = 32 << 20
)

// configuration is the replicated state machine: the learned commands, applied
// in the order of their slots. A command's slot is the version that it makes.
type configuration struct {
	state statemachine.State // after the last applied command
	// recent holds the last commands, and results their results, index by index.
	recent  []*wire.Chosen
	results []statemachine.Result
}

// apply applies the command of the next version.
func (c *configuration) apply(chosen *wire.Chosen) statemachine.Result {
	next, result := c.state.Step(chosen.Epoch, chosen.Command)
	c.state = next
	c.results = append(c.results, result)
	c.recent = append(c.recent, chosen)
	if drop := c.excess(); drop > 0 {
		c.results = slices.Clone(c.results[drop:])
		c.recent = slices.Clone(c.recent[drop:])
	}
	return result
}

// excess returns how many of the oldest commands are over the limits. The last
// command is kept whatever its size.
func (c *configuration) excess() int {
	first := len(c.recent)
	size := 0
	for first > 0 && len(c.recent)-first < maxRecentVersions {
		size += len(c.recent[first-1].Command)
		if size > maxRecentBytes && first < len(c.recent) {
			break
		}
		first--
	}
	return first
}

// find returns the first version after the given one whose command matches, with
// its result, if it is still kept.
func (c *configuration) find(after uint64, match func(command []byte) bool) (version uint64, result statemachine.Result, found bool) {
	for version := after + 1; version <= c.state.Version; version++ {
		age := c.state.Version - version
		if age >= uint64(len(c.recent)) {
			continue
		}
		index := uint64(len(c.recent)) - 1 - age
		if match(c.recent[index].Command) {
			return version, c.results[index], true
		}
	}
	return 0, statemachine.Result{}, false
}

// snapshotState decodes the state machine in the snapshot of the agreement; the
// empty one when there is none. It returns a *SnapshotVersionError when that is
// of another version than the snapshot's slot.
func snapshotState(state paxos.State) (statemachine.State, error) {
	if state.SnapshotSlot == 0 {
		return statemachine.State{}, nil
	}
	decoded, err := statemachine.DecodeState(state.Snapshot)
	if err != nil {
		return statemachine.State{}, errors.Wrapf(err, "the snapshot of epoch %d", state.SnapshotSlot)
	}
	if decoded.Version != state.SnapshotSlot {
		return statemachine.State{}, &SnapshotVersionError{Version: decoded.Version, Stored: state.SnapshotSlot}
	}
	return decoded, nil
}
