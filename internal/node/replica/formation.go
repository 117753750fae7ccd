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

// joinOrFoundFormation joins the formation of the other cores. If there is none and
// all cores are reachable and blank, it founds the first one.
func (r *Replica) joinOrFoundFormation(ctx context.Context, state paxos.State) {
	others := r.otherCores()
	probes := make(map[string]*wire.RecoverResponse, len(others))
	for _, core := range others {
		probes[core] = nil
	}
	for core, resp := range r.probeCores(ctx, others) {
		probes[core] = resp
		if _, ok := state.JoinProbedFormation(resp); ok {
			r.joinProbedFormation(ctx, state, resp)
			return
		}
		if r.excludedFrom(state, resp) {
			r.reportExcluded(resp)
			return
		}
	}
	if _, ok := state.FoundFormation("", r.cfg.VoterCount, probes, 0, nil); !ok {
		r.reportWaiting(ctx, events.FormationWaiting, fmt.Sprintf("waiting for %d blank cores to found the first formation; %d other cores are known", r.cfg.VoterCount, len(others)))
		return
	}
	r.foundFormation(ctx, others, probes)
}

// joinProbedFormation joins the formation reported in the response to a probe,
// unless the core has joined another one since it sent the probe.
func (r *Replica) joinProbedFormation(ctx context.Context, probing paxos.State, resp *wire.RecoverResponse) {
	r.commitUnlessVoting(ctx, fmt.Sprintf("joining formation %s", resp.Formation), func(state paxos.State) (paxos.Record, bool) {
		if state.Formation != probing.Formation {
			return nil, false
		}
		return state.JoinProbedFormation(resp)
	})
}

func (r *Replica) reportExcluded(resp *wire.RecoverResponse) {
	r.reportReplaced("formation " + resp.Formation + " does not include this core")
}

// otherCores returns the names of all known cores except this one.
func (r *Replica) otherCores() []string {
	var names []string
	for _, process := range r.peers.Cores() {
		if process.Name != r.cfg.Self {
			names = append(names, process.Name)
		}
	}
	return names
}

// excludedFrom reports whether this core is not a voter of the formation in a probe's
// response and OnReplaced is to be called for it. A blank core is excluded from any
// formation that does not list it. A core that has joined another formation is
// excluded only if it knows of no announced incarnation there and the responding core
// already votes.
func (r *Replica) excludedFrom(state paxos.State, probe *wire.RecoverResponse) bool {
	if r.cfg.OnReplaced == nil || !probe.Ok || len(probe.Voters) == 0 || slices.Contains(probe.Voters, r.cfg.Self) {
		return false
	}
	if state.Formation == "" {
		return true
	}
	neverAnnounced := state.AnnouncedIncarnation == 0 && len(state.Incarnations) == 0
	return neverAnnounced && probe.Voting && probe.Formation != state.Formation
}

// foundFormation founds the first formation and invites the other cores. The
// formation starts from the latest agreed state that any front still holds.
func (r *Replica) foundFormation(ctx context.Context, others []string, probes map[string]*wire.RecoverResponse) {
	version, snapshot, missing := r.survivingState(ctx)
	if missing != "" {
		r.reportWaiting(ctx, events.FormationWaiting, missing)
		return
	}
	id := r.newFormationID()
	var joined paxos.FormationJoined
	committed := r.commitUnlessVoting(ctx, "waiting for the other cores to join the formation", func(state paxos.State) (paxos.Record, bool) {
		record, ok := state.FoundFormation(id, r.cfg.VoterCount, probes, version, snapshot)
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
	collectResponses(ctx, r, others, r.cfg.CallTimeout, 0, func(ctx context.Context, core string) (*wire.FoundResponse, error) {
		return callProcess(ctx, r, core, invitation, r.Found, wireconnect.PeerClient.Found)
	})
}

// newFormationID returns an ID of the founder's name and the current time in
// nanoseconds, as 16 hexadecimal digits.
func (r *Replica) newFormationID() string {
	now := binary.BigEndian.AppendUint64(nil, uint64(r.clock.Now().UnixNano()))
	return fmt.Sprintf("%s-%s", r.cfg.Self, hex.EncodeToString(now))
}
