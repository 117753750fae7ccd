package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
)

const (
	firstBackoff       = 10 * time.Millisecond // doubled with each consecutive lost ballot
	maxBackoffDoubling = 6
	maxBackoff         = time.Second
	noQuorumBackoff    = 50 * time.Millisecond // minimum after a ballot without a quorum
	maxTimeoutSteps    = 2                     // each step multiplies the timeout of calls by four
)

// proposal is a request to have a command chosen or, if command is nil, to complete
// all slots up to targetSlot.
type proposal struct {
	ctx        context.Context // context of the caller
	command    []byte
	match      func(chosen []byte) bool
	targetSlot uint64
	done       chan outcome // has a buffer of one
}

type outcome struct {
	version uint64
	result  statemachine.Result
	err     error
}

// proposalLoop runs this core's proposals one at a time, so that they don't compete
// with each other for slots.
type proposalLoop struct {
	replica *Replica
	random  *rand.Rand
	// timeoutSteps is incremented after each ballot without a quorum although a
	// quorum answered the last poll, and reset after a fast ballot.
	timeoutSteps int
}

func (r *Replica) runProposals(ctx context.Context) {
	loop := &proposalLoop{replica: r, random: rand.New(rand.NewPCG(r.cfg.Seed, backoffStream))}
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-r.proposals:
			proposalCtx, cancel := context.WithCancel(next.ctx)
			stop := context.AfterFunc(ctx, cancel)
			next.done <- loop.run(proposalCtx, ctx, next)
			stop()
			cancel()
		}
	}
}

// run holds ballots in consecutive slots until the proposal has its outcome or ctx is
// done. ServeCtx is done when the replica stops.
func (l *proposalLoop) run(ctx, serveCtx context.Context, next proposal) outcome {
	run := &proposalRun{
		loop:     l,
		replica:  l.replica,
		proposal: next,
		failure:  apierror.Errorf(apierror.NoMajority, "the request ended before its first ballot did"),
	}
	for ctx.Err() == nil {
		if out, decided := run.proposeInNextSlot(ctx, serveCtx); decided {
			return out
		}
	}
	return outcome{err: run.failure}
}

func (l *proposalLoop) callTimeout() time.Duration {
	return l.replica.cfg.CallTimeout << (2 * l.timeoutSteps)
}

// proposalRun holds the progress of one proposal.
type proposalRun struct {
	loop     *proposalLoop
	replica  *Replica
	proposal proposal
	started  bool
	// learnedAtStart is the highest slot learned at the start. The command is
	// searched for in later slots.
	learnedAtStart uint64
	highestNumber  uint64 // highest ballot number observed in the current slot
	lostBallots    int    // consecutive lost ballots in the current slot
	failure        *apierror.Error
}

// proposeInNextSlot runs one ballot in the slot after the highest learned one. Decided
// reports that the proposal has its outcome.
func (p *proposalRun) proposeInNextSlot(ctx, serveCtx context.Context) (out outcome, decided bool) {
	state, err := p.replica.votingState(ctx)
	if err != nil {
		return outcome{err: err}, true
	}
	if out, decided := p.findOutcome(ctx, state.HighestLearnedSlot()); decided {
		return out, true
	}
	slot := state.HighestLearnedSlot() + 1
	number := max(state.NextBallotNumber(slot), p.highestNumber+1)
	value := p.value()
	startedAt := p.replica.clock.Now()
	ballot := p.replica.runBallot(ctx, state, slot, number, value, p.loop.callTimeout())
	if ballot.step.Action == paxos.ValueChosen {
		if err := p.replica.learnAndBroadcast(ctx, serveCtx, slot, ballot.step.Value); err != nil {
			return outcome{err: err}, true
		}
		p.beginNextSlot()
		if p.replica.clock.Now().Sub(startedAt) < p.replica.cfg.CallTimeout {
			p.loop.timeoutSteps = 0
		}
		return outcome{}, false
	}
	if p.fetchLearned(ctx, slot, ballot) {
		p.beginNextSlot()
		return outcome{}, false
	}
	p.backOff(ctx, state, slot, ballot)
	return outcome{}, false
}

// findOutcome returns the proposal's outcome if it is determined by the slots learned
// since the proposal started.
func (p *proposalRun) findOutcome(ctx context.Context, learned uint64) (out outcome, decided bool) {
	if !p.started {
		p.started = true
		p.learnedAtStart = learned
	}
	if p.proposal.command == nil {
		return outcome{version: learned}, learned >= p.proposal.targetSlot
	}
	found, err := callOwner(ctx, p.replica, func(o *owner, reply func(outcome, error)) {
		version, result, _ := o.machine.findCommand(p.learnedAtStart, p.proposal.match)
		reply(outcome{version: version, result: result}, nil)
	})
	if err != nil {
		return outcome{err: err}, true
	}
	return found, found.version != 0
}

// value returns the value to propose in a slot in which no promise reports an accepted
// one.
func (p *proposalRun) value() []byte {
	if p.proposal.command == nil {
		return statemachine.Encode(statemachine.Noop{})
	}
	return p.proposal.command
}

func (p *proposalRun) beginNextSlot() {
	p.lostBallots = 0
	p.highestNumber = 0
}

// fetchLearned fetches the slot's value if another core has learned it, and reports
// whether it was fetched.
func (p *proposalRun) fetchLearned(ctx context.Context, slot uint64, ballot ballotResult) bool {
	from := ballot.step.LearnedBy
	if from == "" {
		if ballot.proposer.HighestLearnedSlot < slot {
			return false
		}
		from = ballot.proposer.HighestLearnedSlotCore
	}
	return p.replica.catchUp(ctx, from) == nil
}

// backOff waits after a lost ballot, for a random time within bounds that increase
// exponentially with the number of consecutive lost ballots.
func (p *proposalRun) backOff(ctx context.Context, state paxos.State, slot uint64, ballot ballotResult) {
	p.highestNumber = max(p.highestNumber, ballot.proposer.HighestBallot.Number)
	wait := firstBackoff << min(p.lostBallots, maxBackoffDoubling)
	if ballot.answered < state.Quorum() {
		p.failure = apierror.Errorf(apierror.NoMajority, "%d of %d cores answered in the ballot for slot %d", ballot.answered, len(state.Voters), slot)
		wait = max(wait, noQuorumBackoff)
		if p.replica.quorumReached.Load() {
			p.loop.timeoutSteps = min(p.loop.timeoutSteps+1, maxTimeoutSteps)
		}
	} else {
		p.failure = apierror.Errorf(apierror.OutcomePending, "lost the ballot for slot %d; the highest ballot number observed is %d", slot, p.highestNumber)
		p.replica.events.Emit(events.BallotContended, "slot", slot, "number", p.highestNumber)
	}
	p.lostBallots++
	wait = min(wait, maxBackoff)
	jitter := time.Duration(p.loop.random.Int64N(int64(wait)))
	select {
	case <-p.replica.clock.After(wait/4 + jitter):
	case <-ctx.Done():
	}
}
