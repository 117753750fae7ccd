package follower

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// Fetch answers a process that is behind with the whole state.
func (f *Follower) Fetch(ctx context.Context, req *wire.FetchRequest) (*wire.FetchResponse, error) {
	state := f.View().State
	if state.Version <= req.After {
		return &wire.FetchResponse{Learned: state.Version}, nil
	}
	return &wire.FetchResponse{SnapshotEpoch: state.Version, Snapshot: state.Encode(), Learned: state.Version}, nil
}

// judge publishes until when the node rules.
func (f *Follower) judge() {
	f.settleTime()
	verdict := f.holder.Authority(f.clock.Now())
	if f.left || !f.timed.Load() {
		verdict = lease.Authority{Source: f.ruledBy}
	}
	until := time.Time{}
	if verdict.Granted {
		until = verdict.Until
	}
	f.lapse.Store(&until)
	f.pinged.Store(&standing{version: f.state.Version, unconfirmed: f.holder.Unconfirmed()})
	f.noticeVerdict(verdict)
	if verdict.Granted != f.ruling {
		f.ruling = verdict.Granted
		f.publish()
	}
}

// fetch closes a gap: changes after the held version, or a snapshot.
func (f *Follower) fetch(address string) {
	if f.fetching {
		return
	}
	f.fetching = true
	after := f.state.Version
	if !f.held {
		after = 0
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, largeTimeout)
		defer cancel()
		resp, err := f.peers.Client(address).Fetch(ctx, connect.NewRequest(&wire.FetchRequest{After: after}))
		f.post(func() {
			f.fetching = false
			if err != nil {
				return
			}
			f.takeSnapshot(resp.Msg.SnapshotEpoch, resp.Msg.Snapshot)
			for _, chosen := range resp.Msg.Chosen {
				f.takeChosen(chosen)
			}
		})
	}()
}

// takeSnapshot takes a whole state if it is newer than the held one.
func (f *Follower) takeSnapshot(version uint64, data []byte) {
	if len(data) == 0 || (f.held && version <= f.state.Version) {
		return
	}
	state, err := sheet.DecodeState(data)
	if err != nil {
		f.log.Emit(events.SnapshotBad, "epoch", version, "error", err)
		return
	}
	f.rule(state)
}

// takeChosen applies the next command; one that leaves a gap is fetched.
func (f *Follower) takeChosen(chosen *wire.Chosen) {
	if chosen.Epoch != f.state.Version+1 {
		return
	}
	state, _ := f.state.Step(chosen.Epoch, chosen.Command)
	f.rule(state)
}

// rule takes up a newer state: it is published before it is confirmed.
func (f *Follower) rule(state sheet.State) {
	old := f.state
	f.state, f.held = state, true
	f.holder.SetRoster(state.Roster, state.PriorRoster)
	f.publish()
	f.holder.AdvanceTo(state.Version)
	f.noticeState(old, state)
	f.judge()
	f.renewAll()
	f.spread()
}
