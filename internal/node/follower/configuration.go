package follower

import (
	"context"

	"connectrpc.com/connect"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// configuration is the latest configuration that the front has learned. Its
// version never falls.
type configuration struct {
	state    statemachine.State
	learned  bool // state was received; the zero state otherwise
	fetching bool // a call of Fetch is in flight
}

// Fetch returns the complete configuration to a process whose version is lower. A
// front retains no commands, so it answers with a snapshot where a core's replica
// answers with the commands that are missing.
func (f *Follower) Fetch(_ context.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	state := f.View().State
	if state.Version <= req.After {
		return &wire.FetchResponse{Learned: state.Version}, nil
	}
	return &wire.FetchResponse{
		SnapshotEpoch: state.Version,
		Snapshot:      state.Encode(),
		Learned:       state.Version,
	}, nil
}

// fetch catches up with another process: it requests the commands after the
// current version, or a snapshot.
func (f *Follower) fetch(address string) {
	if f.configuration.fetching {
		return
	}
	f.configuration.fetching = true
	after := f.configuration.state.Version
	if !f.configuration.learned {
		after = 0
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, snapshotTimeout)
		defer cancel()
		resp, err := f.peers.Client(address).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{After: after}))
		f.post(func() {
			f.configuration.fetching = false
			if err != nil {
				return
			}
			f.applySnapshot(resp.Msg.SnapshotEpoch, resp.Msg.Snapshot)
			for _, chosen := range resp.Msg.Chosen {
				f.applyChosen(chosen)
			}
		})
	}()
}

// applySnapshot adopts a complete configuration that is newer than the current
// one.
func (f *Follower) applySnapshot(version uint64, data []byte) {
	if len(data) == 0 || (f.configuration.learned && version <= f.configuration.state.Version) {
		return
	}
	state, err := statemachine.DecodeState(data)
	if err != nil {
		f.log.Emit(events.SnapshotCorrupt, "epoch", version, "error", err)
		return
	}
	f.adopt(state)
}

// applyChosen applies the next command. One that leaves a gap is ignored; the
// caller finds out by the version that it learned from, and fetches.
func (f *Follower) applyChosen(chosen *wire.Chosen) {
	if chosen.Epoch != f.configuration.state.Version+1 {
		return
	}
	state, _ := f.configuration.state.Step(chosen.Epoch, chosen.Command)
	f.adopt(state)
}

// adopt replaces the configuration by a newer one. The view is published before
// the version is confirmed to anyone, so that a confirmed version is in force.
func (f *Follower) adopt(state statemachine.State) {
	previous := f.configuration.state
	f.configuration.state = state
	f.configuration.learned = true
	f.holder.SetRoster(state.Roster, state.PriorRoster)
	f.publish()
	f.holder.AdvanceTo(state.Version)
	f.logConfiguration(previous, state)
	f.updateAuthority()
	f.renewAll()
	f.pingSmallRoster()
}
