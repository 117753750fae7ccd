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
		if _, ok := state.JoinProbedFormation(resp); ok {
			r.joinProbed(ctx, state, resp)
			return
		}
		if r.excludedFrom(state, resp) {
			r.reportExcluded(resp)
			return
		}
	}
	if _, ok := state.FoundFormation("", r.cfg.Voters, present, 0, nil); !ok {
		r.reportWaiting(ctx, events.FormationWaiting, fmt.Sprintf("a first formation of %d blank cores; %d others are known", r.cfg.Voters, len(others)))
		return
	}
	r.foundFormation(ctx, others, present)
}

// joinProbed joins the formation of a probe's answer, unless the core has joined one
// since the state in which it sent the probe.
func (r *Replica) joinProbed(ctx context.Context, probing paxos.State, resp *wire.RecoverResponse) {
	r.commitUnlessVoting(ctx, fmt.Sprintf("joins the formation %s", resp.Formation), func(state paxos.State) (paxos.Record, bool) {
		if state.Formation != probing.Formation {
			return nil, false
		}
		return state.JoinProbedFormation(resp)
	})
}

func (r *Replica) reportExcluded(resp *wire.RecoverResponse) {
	r.reportReplaced("the formation " + resp.Formation + " has other cores")
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

// excludedFrom reports whether a core is not a voter of a formation that exists, and
// someone is to be notified of that. A blank core isn't if it is not named; one that
// waits in another formation and never announced itself there, once that one votes.
func (r *Replica) excludedFrom(state paxos.State, probe *wire.RecoverResponse) bool {
	if r.cfg.OnReplaced == nil || !probe.Ok || len(probe.Voters) == 0 || slices.Contains(probe.Voters, r.cfg.Self) {
		return false
	}
	if state.Formation == "" {
		return true
	}
	neverEntered := state.AnnouncedIncarnation == 0 && len(state.Incarnations) == 0
	return neverEntered && probe.Voting && probe.Formation != state.Formation
}

// foundFormation founds the first formation, from the highest agreed state that
// any process still has, and invites the other cores.
func (r *Replica) foundFormation(ctx context.Context, others []string, present map[string]*wire.RecoverResponse) {
	version, snapshot, missing := r.survivingState(ctx)
	if missing != "" {
		r.reportWaiting(ctx, events.FormationWaiting, missing)
		return
	}
	id := r.newFormationID()
	var joined paxos.FormationJoined
	committed := r.commitUnlessVoting(ctx, "waits for the other cores to join", func(state paxos.State) (paxos.Record, bool) {
		record, ok := state.FoundFormation(id, r.cfg.Voters, present, version, snapshot)
		if ok {
			joined = record.(paxos.FormationJoined)
		}
		return record, ok
	})
	if !committed {
		return
	}
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
