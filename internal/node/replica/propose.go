package replica

import (
	"bytes"
	"context"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

// Propose has a command chosen, in whichever slot is free. It returns once the
// command, or the same bytes proposed through another core, is chosen; Current
// includes it then, unless this core's disk is slow. When the context ends
// first, the error's code says whether the command may yet be chosen: NoMajority
// or OutcomePending. In either case it may be proposed again.
func (r *Replica) Propose(ctx context.Context, command []byte) (version uint64, result statemachine.Result, err error) {
	return r.ProposeMatching(ctx, command, func(chosen []byte) bool { return bytes.Equal(chosen, command) })
}

// ProposeMatching is Propose for a command that other bytes may stand for: match
// reports whether a chosen command is the same order.
func (r *Replica) ProposeMatching(ctx context.Context, command []byte, match func(chosen []byte) bool) (version uint64, result statemachine.Result, err error) {
	done := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{ctx: ctx, command: command, match: match, done: done}:
	case <-ctx.Done():
		return 0, statemachine.Result{}, apierror.Errorf(apierror.NoMajority, "other proposals wait for a majority")
	}
	select {
	case out := <-done:
		if out.err == nil {
			r.awaitPublished(ctx, out.version)
		}
		return out.version, out.result, out.err
	case <-ctx.Done():
		return 0, statemachine.Result{}, apierror.Errorf(apierror.OutcomePending, "the ballot is not over")
	}
}

// awaitPublished waits until Current includes a version, but no longer than for
// a call, since the disk here may be slow.
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

// completeSlots has every slot up to the target chosen, with the values that are
// found accepted.
func (r *Replica) completeSlots(ctx context.Context, target uint64) error {
	done := make(chan outcome, 1)
	select {
	case r.proposals <- proposal{ctx: ctx, target: target, done: done}:
	case <-ctx.Done():
		return apierror.Errorf(apierror.NoMajority, "proposals wait for a majority")
	}
	select {
	case out := <-done:
		if out.err == nil {
			r.events.Emit(events.BallotFinished, "slot", target)
		}
		return out.err
	case <-ctx.Done():
		return apierror.Errorf(apierror.NoMajority, "slot %d could not be finished in time", target)
	}
}

// votingState returns the core's state, which may be ahead of the disk, if the
// core votes.
func (r *Replica) votingState(ctx context.Context) (paxos.State, error) {
	return callOwner(ctx, r, func(o *owner, reply func(paxos.State, error)) {
		v := o.withStanding(view{standing: o.state.Standing()})
		if code := standingCode(v.standing); code != apierror.OK {
			reply(paxos.State{}, apierror.Errorf(code, "core %s: %s", o.replica.cfg.Self, v.waitingFor))
			return
		}
		reply(o.state, nil)
	})
}
