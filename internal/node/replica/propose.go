package replica

import (
	"bytes"
	"context"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// Propose proposes a command in the next free slots until it is chosen. It returns
// once the command, or an identical one proposed through another core, has been
// chosen. Current then includes the command, unless this core's disk is slow. If the
// context is done first, the error has the code NoMajority or OutcomePending. In
// either case the command may still be chosen, and may be proposed again.
func (r *Replica) Propose(ctx context.Context, command []byte) (version uint64, result statemachine.Result, err error) {
	return r.ProposeMatching(ctx, command, func(chosen []byte) bool { return bytes.Equal(chosen, command) })
}

// ProposeMatching is like Propose for a command that has several encodings: match
// reports whether a chosen command is the same order.
func (r *Replica) ProposeMatching(ctx context.Context, command []byte, match func(chosen []byte) bool) (version uint64, result statemachine.Result, err error) {
	done := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{ctx: ctx, command: command, match: match, done: done}:
	case <-ctx.Done():
		return 0, statemachine.Result{}, apierror.Errorf(apierror.NoMajority, "the request ended while the queue of %d proposals was full", proposalQueueCapacity)
	}
	select {
	case out := <-done:
		if out.err == nil {
			r.awaitPublished(ctx, out.version)
		}
		return out.version, out.result, out.err
	case <-ctx.Done():
		return 0, statemachine.Result{}, apierror.Errorf(apierror.OutcomePending, "the request ended while its proposal was in progress")
	}
}

// awaitPublished waits until Current includes a version, but at most CallTimeout,
// since this core's disk may be slow.
func (r *Replica) awaitPublished(ctx context.Context, version uint64) {
	timeout := r.clock.After(r.cfg.CallTimeout)
	for {
		changed := r.Changed()
		if r.Current().Version >= version {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// completeSlots completes every slot up to the target: it has the value chosen that is
// already accepted in the slot, or a no-op if there is none.
func (r *Replica) completeSlots(ctx context.Context, targetSlot uint64) error {
	done := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{ctx: ctx, targetSlot: targetSlot, done: done}:
	case <-ctx.Done():
		return apierror.Errorf(apierror.NoMajority, "slot %d not completed: the request ended while the queue of %d proposals was full", targetSlot, proposalQueueCapacity)
	}
	select {
	case out := <-done:
		if out.err == nil {
			r.events.Emit(events.BallotFinished, "slot", targetSlot)
		}
		return out.err
	case <-ctx.Done():
		return apierror.Errorf(apierror.NoMajority, "slot %d not completed before the request ended", targetSlot)
	}
}

// votingState returns the consensus state, which may be ahead of the disk, or an error
// if the core does not vote.
func (r *Replica) votingState(ctx context.Context) (paxos.State, error) {
	return callOwner(ctx, r, func(o *owner, reply func(paxos.State, error)) {
		v := o.withStanding(view{standing: o.consensus.Standing()})
		if code := standingCode(v.standing); code != apierror.OK {
			reply(paxos.State{}, apierror.Errorf(code, "core %s: %s", o.replica.cfg.Self, v.waitingFor))
			return
		}
		reply(o.consensus, nil)
	})
}
