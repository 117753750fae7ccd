package replica

import (
	"context"
	"fmt"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// tip is the core that was found to have learned most.
type tip struct {
	core    string
	learned uint64
}

// majorityLostGrace is how long after its start a core looks for a majority before it
// says that there is none.
const majorityLostGrace = 2 * time.Second

// runMaintenance brings the core into its formation, and afterwards looks at the others
// regularly: it fetches what it missed and finishes what was left open.
func (r *Replica) runMaintenance(ctx context.Context) {
	var watch openSlot
	offered, heard, begun := false, true, r.clock.Now()
	for {
		wait := r.cfg.PollInterval
		state, err := r.currentState(ctx)
		if err != nil {
			return
		}
		switch state.Standing() {
		case wire.Standing_STANDING_BLANK:
			wait = formationInterval
			r.joinOrFoundFormation(ctx, state)
		case wire.Standing_STANDING_AMNESIAC:
			wait = formationInterval
			r.recoverState(ctx, state)
		default:
			target, top, count, life := r.readVoters(ctx, state)
			if life > state.Incarnation() && r.cfg.OnReplaced != nil {
				r.reportReplaced(fmt.Sprintf("another process has the name in disk life %d, later than %d here", life, state.Incarnation()))
				return
			}
			r.quorumReached.Store(count >= state.Quorum())
			if now := count >= state.Quorum(); now != heard && (now || r.clock.Now().Sub(begun) >= majorityLostGrace) && ctx.Err() == nil {
				heard = now
				if heard {
					r.events.Emit(events.MajorityRegained, "core", r.cfg.Self)
				} else {
					r.events.Emit(events.MajorityLost, "core", r.cfg.Self, "answered", count)
				}
			}
			if top.learned > state.Learned() {
				_ = r.catchUp(ctx, top.core)
			} else if watch.stale(state.Learned(), target) {
				r.completeSlotsLater(ctx, target)
			}
			if !offered && len(r.cfg.FirstSheet) > 0 && heard {
				offered = r.proposeFirstSheet(ctx)
			}
		}
		select {
		case <-ctx.Done():
			return
		case from := <-r.fetchFrom:
			_ = r.catchUp(ctx, from)
		case <-r.clock.After(wait):
		}
	}
}

// openSlot counts looks at which the same slot was accepted somewhere and
// learned nowhere: its proposer is gone.
type openSlot struct {
	learned, target uint64
	looks           int
}

func (s *openSlot) stale(learned, target uint64) bool {
	if target <= learned || learned != s.learned || target != s.target {
		*s = openSlot{learned: learned, target: target}
		return false
	}
	s.looks++
	return s.looks%stalledPolls == 0
}

func (r *Replica) completeSlotsLater(ctx context.Context, target uint64) {
	bound, cancel := context.WithTimeout(ctx, 2*time.Second)
	select {
	case r.proposals <- proposal{ctx: bound, target: target, done: make(chan outcome, 1)}:
		context.AfterFunc(bound, cancel)
	default:
		cancel()
	}
}

// reportReplaced tells that this core has no place in the formation any more.
func (r *Replica) reportReplaced(why string) {
	r.events.Emit(events.CoreReplaced, "core", r.cfg.Self, "why", why)
	r.cfg.OnReplaced()
}

// readVoters asks every voter how far it is, and which disk life of this core it
// knows. It waits for all of them or the calls' timeout, but no longer than a
// moment once a majority has answered.
func (r *Replica) readVoters(ctx context.Context, state paxos.State) (target uint64, top tip, heard int, life uint64) {
	req := &wire.ReadRequest{Formation: state.Formation, Core: r.cfg.Self}
	answers := callAll(ctx, r, state.Voters, r.cfg.CallTimeout, state.Quorum(), func(ctx context.Context, core string) (*wire.ReadResponse, error) {
		return callVoter(ctx, r, core, req, r.Read, wireconnect.PeerClient.Read)
	})
	for core, resp := range answers {
		if resp.Refusal != 0 {
			continue
		}
		heard++
		life = max(life, resp.Life)
		target = max(target, resp.Learned, resp.Highest)
		if resp.Learned > top.learned {
			top = tip{core: core, learned: resp.Learned}
		}
	}
	return target, top, heard, life
}

// catchUp fetches from a core until nothing is missing that it has learned.
func (r *Replica) catchUp(ctx context.Context, from string) error {
	for {
		state, err := r.currentState(ctx)
		if err != nil {
			return err
		}
		bound, cancel := context.WithTimeout(ctx, fetchTimeout)
		resp, err := callVoter(bound, r, from, &wire.FetchRequest{Formation: state.Formation, After: state.Learned()}, r.Fetch, wireconnect.PeerClient.Fetch)
		cancel()
		if err != nil {
			return err
		}
		learned, err := callOwner(ctx, r, func(o *owner, reply func(uint64, error)) {
			records := o.state.HandleFetch(resp)
			err := o.commit(records, forLearning)
			if err == nil && len(records) > 0 {
				if resp.SnapshotEpoch > state.Learned() {
					r.events.Emit(events.SnapshotTaken, "core", r.cfg.Self, "from", from, "epoch", resp.SnapshotEpoch)
				}
				r.events.Emit(events.SlotFetched, "core", r.cfg.Self, "from", from, "epoch", o.state.Learned())
			}
			reply(o.state.Learned(), err)
		})
		if err != nil {
			return err
		}
		if learned >= resp.Learned {
			return nil
		}
		if learned == state.Learned() {
			return apierror.Errorf(apierror.VersionBehind, "core %s gave nothing after epoch %d", from, learned)
		}
	}
}
