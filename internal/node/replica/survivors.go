package replica

import (
	"context"
	"fmt"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// foundingSlotGap is the number of slots that a formation leaves free after the
// state that it is founded from.
const foundingSlotGap = 1000

// survivingState returns the highest agreed state that any process still has
// after the loss of every core's disk, or else the reason why it can't be found
// yet.
//
// An acknowledged version was confirmed by more than half of its roster, so more
// than half must answer and have a state. The new formation leaves a gap of
// versions, so that none of the old formation, which a process out of reach may
// have though it was never acknowledged, is assigned to another content.
func (r *Replica) survivingState(ctx context.Context) (version uint64, snapshot []byte, missing string) {
	answers := r.fetchFromFronts(ctx)
	highest := highestState(answers)
	present := 0
	for name := range highest.Roster {
		if answer := answers[name]; answer != nil && answer.SnapshotEpoch > 0 {
			present++
		}
	}
	if count := len(highest.Roster); count > 0 && present <= count/2 {
		return 0, nil, fmt.Sprintf("all cores are blank, though epoch %d is still held: %d of the %d members of its roster must answer from memory", highest.Version, count/2+1, count)
	}
	if highest.Version == 0 {
		return 0, nil, ""
	}
	noop := statemachine.Encode(statemachine.Noop{})
	for range foundingSlotGap {
		highest, _ = highest.Step(highest.Version+1, noop)
	}
	return highest.Version, highest.Encode(), ""
}

// fetchFromFronts returns the state of each front that answers, by its name.
func (r *Replica) fetchFromFronts(ctx context.Context) map[string]*wire.FetchResponse {
	var fronts []string
	for _, process := range r.peers.Processes() {
		if process.Front && process.Name != r.cfg.Self {
			fronts = append(fronts, process.Name)
		}
	}
	return callAll(ctx, r, fronts, r.cfg.CallTimeout, 0, func(ctx context.Context, name string) (*wire.FetchResponse, error) {
		return callVoter(ctx, r, name, &wire.FetchRequest{}, r.Fetch, wireconnect.PeerClient.Fetch)
	})
}

func highestState(answers map[string]*wire.FetchResponse) statemachine.State {
	var highest statemachine.State
	for _, resp := range answers {
		if len(resp.Snapshot) == 0 || resp.SnapshotEpoch <= highest.Version {
			continue
		}
		state, err := statemachine.DecodeState(resp.Snapshot)
		if err == nil && state.Version == resp.SnapshotEpoch {
			highest = state
		}
	}
	return highest
}
