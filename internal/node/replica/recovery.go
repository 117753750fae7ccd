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

// firstIncarnation is announced by a core that has never voted; any later one
// means that its disk was lost. It is that of package paxos.
const firstIncarnation = 1

// probeCores requests from cores their formation and the incarnations they know.
func (r *Replica) probeCores(ctx context.Context, cores []string) map[string]*wire.RecoverResponse {
	req := &wire.RecoverRequest{Core: r.cfg.Self, Probe: true}
	return callAll(ctx, r, cores, r.cfg.CallTimeout, 0, func(ctx context.Context, core string) (*wire.RecoverResponse, error) {
		return callVoter(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
}

// recoverState brings a core into its formation, the first time as after the loss of
// its disk. It recovers the core from the other voters, or from those that can be
// reached where they suffice (paxos.State.RecoveryQuorum): it finds its next disk
// incarnation, announces it, and merges what each of them syncs and answers. It is
// one attempt, which maintenance repeats until the core votes.
func (r *Replica) recoverState(ctx context.Context, state paxos.State) {
	probes := r.probeCores(ctx, state.OtherVoters())
	for _, resp := range probes {
		if _, ok := state.JoinProbedFormation(resp); ok {
			r.joinProbed(ctx, state, resp)
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
	answers := r.announceIncarnation(ctx, state, incarnation, probes)
	missing, err := r.completeRecovery(ctx, state, incarnation, answers)
	if err != nil {
		if apierror.From(err).Code == apierror.DiskFull {
			r.reportWaiting(ctx, events.DiskFull, "the rebuilt state does not fit on the disk")
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

// recoveryWaitEvent is the event under which a wait is logged: of a recovery
// when another core knows an earlier incarnation of this one, and otherwise of a
// first formation.
func (r *Replica) recoveryWaitEvent(probes map[string]*wire.RecoverResponse) events.Event {
	for _, resp := range probes {
		if resp.Lives[r.cfg.Self] > 0 {
			return events.RecoveryWaiting
		}
	}
	return events.FormationWaiting
}

func (r *Replica) reportMissing(ctx context.Context, event events.Event, missing string) {
	r.reportWaiting(ctx, event, fmt.Sprintf("the core enters its formation once enough others answer; it waits for %s", missing))
}

// recordIncarnation syncs the incarnation that is to be announced, and reports
// whether it did.
func (r *Replica) recordIncarnation(ctx context.Context, state paxos.State, incarnation uint64) bool {
	if incarnation == state.AnnouncedIncarnation {
		return true
	}
	record := paxos.IncarnationRecorded{Core: r.cfg.Self, Incarnation: incarnation}
	committed := r.commitUnlessVoting(ctx, "announces its disk life", func(current paxos.State) (paxos.Record, bool) {
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
	sources, enough := state.RecoverySources(incarnation, probes)
	return callAll(ctx, r, sources, r.cfg.RecoveryTimeout, enough, func(ctx context.Context, core string) (*wire.RecoverResponse, error) {
		return callVoter(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
}

// completeRecovery commits the merged answers, or returns the first voter that
// is waited for.
func (r *Replica) completeRecovery(ctx context.Context, state paxos.State, incarnation uint64, answers map[string]*wire.RecoverResponse) (missing string, err error) {
	return callOwner(ctx, r, func(o *owner, reply func(string, error)) {
		if o.state.Formation != state.Formation || o.state.Incarnation() != 0 {
			reply("", nil)
			return
		}
		record, missing := o.state.CompleteRecovery(incarnation, answers)
		if missing != "" {
			reply(missing, nil)
			return
		}
		commitAndReply(o, []paxos.Record{record}, forVote, "", nil, reply)
	})
}

// commitUnlessVoting commits what decide returns for the state of a core that doesn't
// vote yet, and reports whether it did. The state may be newer than the one in which
// other cores were asked. Waiting is what the core waits for from then on.
func (r *Replica) commitUnlessVoting(ctx context.Context, waiting string, decide func(paxos.State) (paxos.Record, bool)) bool {
	committed, err := callOwner(ctx, r, func(o *owner, reply func(bool, error)) {
		record, ok := decide(o.state)
		if !ok || o.state.Incarnation() != 0 {
			reply(false, nil)
			return
		}
		o.waiting.reason = waiting
		commitAndReply(o, []paxos.Record{record}, forVote, true, nil, reply)
	})
	return err == nil && committed
}
