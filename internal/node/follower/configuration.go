package follower

import (
	"context"

	"connectrpc.com/connect"

	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// configuration is the newest configuration that the front has received. Its
// version never decreases.
type configuration struct {
	state    statemachine.State
	received bool // false while state is still the zero value
	fetching bool // a call of Fetch is in flight
}

// Fetch returns the configuration to a process that has an older version. A front
// retains no commands, so it returns a snapshot, whereas a core's replica returns
// the missing commands. The error is always nil.
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

// fetch catches up with another process: it requests the commands after the current
// version, to which the process may answer with a snapshot. At most one call is in
// flight.
func (f *Follower) fetch(address string) {
	if f.configuration.fetching {
		return
	}
	f.configuration.fetching = true
	currentVersion := f.configuration.state.Version
	if !f.configuration.received {
		currentVersion = 0
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, snapshotTimeout)
		defer cancel()
		resp, err := f.peers.Client(address).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{After: currentVersion}))
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

// applySnapshot replaces the configuration by a snapshot with a higher version.
func (f *Follower) applySnapshot(version uint64, data []byte) {
	if len(data) == 0 || (f.configuration.received && version <= f.configuration.state.Version) {
		return
	}
	state, err := statemachine.DecodeState(data)
	if err != nil {
		f.log.Emit(events.SnapshotCorrupt, "epoch", version, "error", err)
		return
	}
	f.adopt(state)
}

// applyChosen applies a chosen command if it is the next one. A command that leaves
// a gap is ignored; the caller detects the gap by the version that the sender has
// learned, and fetches.
func (f *Follower) applyChosen(chosen *wire.Chosen) {
	if chosen.Epoch != f.configuration.state.Version+1 {
		return
	}
	state, _ := f.configuration.state.Step(chosen.Epoch, chosen.Command)
	f.adopt(state)
}

// adopt installs a newer configuration. The view is published before the version is
// confirmed to any process, so that the front already serves with every version
// that it confirms.
func (f *Follower) adopt(state statemachine.State) {
	previous := f.configuration.state
	f.configuration.state = state
	f.configuration.received = true
	f.holder.SetRoster(state.Roster, state.PriorRoster)
	f.publish()
	f.holder.AdvanceTo(state.Version)
	f.logConfiguration(previous, state)
	f.updateAuthority()
	f.renewAll()
	f.pingSmallRoster()
}
