package replica

import (
	"context"
	"fmt"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// firstIncarnation is the incarnation of a core that has never voted; a later one
// means that the core has lost its disk. It must equal the constant in package paxos.
const firstIncarnation = 1

// probeCores asks cores for their formation and the incarnations that they have
// recorded.
func (r *Replica) probeCores(ctx context.Context, cores []string) map[string]*wire.RecoverResponse {
	req := &wire.RecoverRequest{Core: r.cfg.Self, Probe: true}
	return collectResponses(ctx, r, cores, r.cfg.CallTimeout, 0, func(ctx context.Context, core string) (*wire.RecoverResponse, error) {
		return callProcess(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
}

// recoverState makes one attempt to turn a core that has joined a formation into a
// voting one, both at its first start and after the loss of its disk. It determines
// the core's next disk incarnation, announces it to the other voters and, once they
// have synced it, merges their responses. After the loss of a disk, a recovery quorum
// of the voters suffices (see paxos.State.RecoveryQuorum). Maintenance repeats the
// attempt until the core votes.
func (r *Replica) recoverState(ctx context.Context, state paxos.State) {
	probes := r.probeCores(ctx, state.OtherVoters())
	for _, resp := range probes {
		if _, ok := state.JoinProbedFormation(resp); ok {
			r.joinProbedFormation(ctx, state, resp)
			return
		}
		if r.excludedFrom(state, resp) {
			r.reportExcluded(resp)
			return
		}
	}
	waitEvent := r.recoveryWaitEvent(probes)
	incarnation, missing := state.NextIncarnation(probes, r.incarnationSalt)
	if missing != "" {
		r.reportMissing(ctx, waitEvent, missing)
		return
	}
	if !r.recordIncarnation(ctx, state, incarnation) {
		return
	}
	responses := r.announceIncarnation(ctx, state, incarnation, probes)
	missing, err := r.completeRecovery(ctx, state, incarnation, responses)
	if err != nil {
		if apierror.From(err).Code == apierror.DiskFull {
			r.reportWaiting(ctx, events.DiskFull, "the disk is full: the recovered state does not fit")
		}
		return
	}
	if missing != "" {
		r.reportMissing(ctx, waitEvent, missing)
		return
	}
	if incarnation > firstIncarnation {
		r.events.Emit(events.RecoveryComplete, "core", r.cfg.Self, "life", incarnation)
	} else {
		r.events.Emit(events.FormationComplete, "core", r.cfg.Self, "formation", state.Formation)
	}
}

// recoveryWaitEvent returns the event to log while recoverState waits for other cores:
// that of a recovery if another core has recorded an incarnation of this one, and that
// of a first formation otherwise.
func (r *Replica) recoveryWaitEvent(probes map[string]*wire.RecoverResponse) events.Event {
	for _, resp := range probes {
		if resp.Lives[r.cfg.Self] > 0 {
			return events.RecoveryWaiting
		}
	}
	return events.FormationWaiting
}

func (r *Replica) reportMissing(ctx context.Context, event events.Event, missing string) {
	r.reportWaiting(ctx, event, fmt.Sprintf("waiting for %s; the core votes once enough other cores have answered", missing))
}

// recordIncarnation persists the incarnation before it is announced, and reports
// whether that succeeded.
func (r *Replica) recordIncarnation(ctx context.Context, state paxos.State, incarnation uint64) bool {
	if incarnation == state.AnnouncedIncarnation {
		return true
	}
	record := paxos.IncarnationRecorded{Core: r.cfg.Self, Incarnation: incarnation}
	committed := r.commitUnlessVoting(ctx, "announcing its disk incarnation", func(current paxos.State) (paxos.Record, bool) {
		return record, current.Formation == state.Formation
	})
	if !committed {
		return false
	}
	if incarnation > firstIncarnation {
		r.events.Emit(events.RecoveryStarted, "core", r.cfg.Self, "life", incarnation)
	}
	return true
}

func (r *Replica) announceIncarnation(ctx context.Context, state paxos.State, incarnation uint64, probes map[string]*wire.RecoverResponse) map[string]*wire.RecoverResponse {
	req := &wire.RecoverRequest{Formation: state.Formation, Core: r.cfg.Self, Life: incarnation}
	sources, required := state.RecoverySources(incarnation, probes)
	return collectResponses(ctx, r, sources, r.cfg.RecoveryTimeout, required, func(ctx context.Context, core string) (*wire.RecoverResponse, error) {
		return callProcess(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
}

// completeRecovery merges the responses and commits the result. If more responses are
// needed, missing describes the first voter that is still needed.
func (r *Replica) completeRecovery(ctx context.Context, state paxos.State, incarnation uint64, responses map[string]*wire.RecoverResponse) (missing string, err error) {
	return callOwner(ctx, r, func(o *owner, reply func(string, error)) {
		if o.consensus.Formation != state.Formation || o.consensus.Incarnation() != 0 {
			reply("", nil)
			return
		}
		record, missing := o.consensus.CompleteRecovery(incarnation, responses)
		if missing != "" {
			reply(missing, nil)
			return
		}
		commitAndReply(o, []paxos.Record{record}, purposeVote, "", nil, reply)
	})
}

// commitUnlessVoting commits the record that decide returns for the current state,
// unless the core already votes, and reports whether it did. The current state may be
// later than the one in which the caller probed the other cores. After the commit,
// waitReason is the reason why the core does not vote yet.
func (r *Replica) commitUnlessVoting(ctx context.Context, waitReason string, decide func(paxos.State) (paxos.Record, bool)) bool {
	committed, err := callOwner(ctx, r, func(o *owner, reply func(bool, error)) {
		record, ok := decide(o.consensus)
		if !ok || o.consensus.Incarnation() != 0 {
			reply(false, nil)
			return
		}
		o.waiting.reason = waitReason
		commitAndReply(o, []paxos.Record{record}, purposeVote, true, nil, reply)
	})
	return err == nil && committed
}
