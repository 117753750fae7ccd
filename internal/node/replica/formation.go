package replica

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"slices"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// joinOrFoundFormation joins the formation that other cores are in or, with all
// cores present and blank, founds the first one.
func (r *Replica) joinOrFoundFormation(ctx context.Context, state paxos.State) {
	others := r.otherCores()
	present := make(map[string]*wire.RecoverResponse, len(others))
	for _, core := range others {
		present[core] = nil
	}
	for core, resp := range r.probeCores(ctx, others) {
		present[core] = resp
		if record, ok := state.JoinProbed(resp); ok {
			r.commitUnlessVoting(ctx, record, fmt.Sprintf("joins the formation %s", resp.Formation))
			return
		}
		if r.excludedFrom(state, resp) {
			r.reportReplaced("the formation " + resp.Formation + " has other cores")
			return
		}
	}
	if _, ok := state.FoundFormation("", r.cfg.Voters, present, 0, nil); !ok {
		r.reportWaiting(ctx, events.FormationWaiting, fmt.Sprintf("a first formation of %d blank cores; %d others are known", r.cfg.Voters, len(others)))
		return
	}
	r.foundFormation(ctx, state, others, present)
}

// otherCores returns the names of all known cores but this one.
func (r *Replica) otherCores() []string {
	var names []string
	for _, process := range r.peers.Cores() {
		if process.Name != r.cfg.Self {
			names = append(names, process.Name)
		}
	}
	return names
}

// excludedFrom reports whether a blank core is not a voter of a formation that
// exists, and someone is to be notified of that.
func (r *Replica) excludedFrom(state paxos.State, probe *wire.RecoverResponse) bool {
	if r.cfg.OnReplaced == nil || state.Formation != "" {
		return false
	}
	return probe.Ok && len(probe.Voters) > 0 && !slices.Contains(probe.Voters, r.cfg.Self)
}

// foundFormation founds the first formation, from the highest agreed state that
// any process still has, and invites the other cores.
func (r *Replica) foundFormation(ctx context.Context, state paxos.State, others []string, present map[string]*wire.RecoverResponse) {
	version, snapshot, missing := r.survivingState(ctx)
	if missing != "" {
		r.reportWaiting(ctx, events.FormationWaiting, missing)
		return
	}
	id := r.newFormationID()
	record, ok := state.FoundFormation(id, r.cfg.Voters, present, version, snapshot)
	if !ok || !r.commitUnlessVoting(ctx, record, "waits for the other cores to join") {
		return
	}
	joined := record.(paxos.FormationJoined)
	r.events.Emit(events.FormationStarted, "formation", id, "voters", fmt.Sprint(joined.Voters), "epoch", version)
	invitation := &wire.FoundRequest{Formation: id, Voters: joined.Voters, Founder: r.cfg.Self}
	callAll(ctx, r, others, r.cfg.CallTimeout, 0, func(ctx context.Context, core string) (*wire.FoundResponse, error) {
		return callVoter(ctx, r, core, invitation, r.Found, wireconnect.PeerClient.Found)
	})
}

// newFormationID returns the founder's name and the time in hexadecimal
// nanoseconds.
func (r *Replica) newFormationID() string {
	now := binary.BigEndian.AppendUint64(nil, uint64(r.clock.Now().UnixNano()))
	return fmt.Sprintf("%s-%s", r.cfg.Self, hex.EncodeToString(now))
}
