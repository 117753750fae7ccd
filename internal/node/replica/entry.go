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

func (r *Replica) probeCores(ctx context.Context, cores []string) map[string]*wire.RecoverResponse {
	req := &wire.RecoverRequest{Core: r.cfg.Self, Probe: true}
	return callAll(ctx, r, cores, r.cfg.CallTimeout, 0, func(ctx context.Context, core string) (*wire.RecoverResponse, error) {
		return callVoter(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
}

// recoverState rebuilds the core from the other voters, or from those that can be
// reached where they suffice: it learns which disk life is next, announces it,
// and merges what each of them syncs and answers.
func (r *Replica) recoverState(ctx context.Context, state paxos.State) {
	others := state.Others()
	probes := r.probeCores(ctx, others)
	for _, resp := range probes {
		if record, ok := state.JoinProbed(resp); ok {
			r.commitUnlessVoting(ctx, record, fmt.Sprintf("joins the formation %s", resp.Formation))
			return
		}
	}
	life, waiting := state.NextIncarnation(probes, r.incarnationSalt)
	event := events.FormationWaits
	for _, resp := range probes {
		if resp.Lives[r.cfg.Self] > 0 {
			event = events.RecoveryWaits
		}
	}
	if waiting != "" {
		r.reportWaiting(ctx, event, fmt.Sprintf("the core enters its formation once enough others answer; it waits for %s", waiting))
		return
	}
	if life != state.AnnouncedIncarnation && !r.commitUnlessVoting(ctx, paxos.IncarnationRecorded{Core: r.cfg.Self, Incarnation: life}, "announces its disk life") {
		return
	}
	if life > 1 && life != state.AnnouncedIncarnation {
		r.events.Emit(events.RecoveryBegun, "core", r.cfg.Self, "life", life)
	}
	req := &wire.RecoverRequest{Formation: state.Formation, Core: r.cfg.Self, Life: life}
	sources, enough := state.RecoverySources(life, probes)
	answers := callAll(ctx, r, sources, r.cfg.RecoveryTimeout, enough, func(ctx context.Context, core string) (*wire.RecoverResponse, error) {
		return callVoter(ctx, r, core, req, r.Recover, wireconnect.PeerClient.Recover)
	})
	entered, err := callOwner(ctx, r, func(o *owner, reply func(string, error)) {
		if o.state.Formation != state.Formation || o.state.Incarnation() != 0 {
			reply("", nil)
			return
		}
		record, waiting := o.state.CompleteRecovery(life, answers)
		if waiting != "" {
			reply(waiting, nil)
			return
		}
		commitAndReply(o, []paxos.Record{record}, forVote, "", nil, reply)
	})
	switch {
	case err != nil && apierror.From(err).Code == apierror.DiskFull:
		r.reportWaiting(ctx, events.DiskFull, "the rebuilt state does not fit on the disk")
	case err != nil:
	case entered != "":
		r.reportWaiting(ctx, event, fmt.Sprintf("the core enters its formation once enough others answer; it waits for %s", entered))
	case life > 1:
		r.events.Emit(events.RecoveryComplete, "core", r.cfg.Self, "life", life)
	default:
		r.events.Emit(events.FormationComplete, "core", r.cfg.Self, "formation", state.Formation)
	}
}
