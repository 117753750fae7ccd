package replica

import (
	"context"
	"fmt"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// foundingSlotGap is the number of slots that a new formation skips after the state
// from which it is founded.
const foundingSlotGap = 1000

// survivingState returns the latest agreed state that any front still holds, for a
// formation founded after every core has lost its disk. Version is zero if there is no
// such state. If the state can't be determined yet, missing describes what is needed.
//
// An acknowledged version was confirmed by a majority of its roster. Therefore a
// majority of the roster must respond with a state. An unreachable process may hold
// later versions of the old formation that were never acknowledged. The new formation
// skips foundingSlotGap versions, so that it does not reuse the numbers of those
// versions for other contents.
func (r *Replica) survivingState(ctx context.Context) (version uint64, snapshot []byte, missing string) {
	responses := r.fetchFromFronts(ctx)
	highest := latestState(responses)
	present := 0
	for name := range highest.Roster {
		if response := responses[name]; response != nil && response.SnapshotEpoch > 0 {
			present++
		}
	}
	if count := len(highest.Roster); count > 0 && present <= count/2 {
		return 0, nil, fmt.Sprintf("all cores are blank, but a front still holds epoch %d: %d of the %d members of its roster must answer with their state", highest.Version, count/2+1, count)
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

// fetchFromFronts returns the responses of all reachable fronts to a Fetch, by name.
func (r *Replica) fetchFromFronts(ctx context.Context) map[string]*wire.FetchResponse {
	var fronts []string
	for _, process := range r.peers.Processes() {
		if process.Front && process.Name != r.cfg.Self {
			fronts = append(fronts, process.Name)
		}
	}
	return collectResponses(ctx, r, fronts, r.cfg.CallTimeout, 0, func(ctx context.Context, name string) (*wire.FetchResponse, error) {
		return callProcess(ctx, r, name, &wire.FetchRequest{}, r.Fetch, wireconnect.PeerClient.Fetch)
	})
}

func latestState(responses map[string]*wire.FetchResponse) statemachine.State {
	var highest statemachine.State
	for _, resp := range responses {
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
