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
	firstBackoff       = 10 * time.Millisecond // doubled with each ballot that is lost in a row
	maxBackoffDoubling = 6
	maxBackoff         = time.Second
	noQuorumBackoff    = 50 * time.Millisecond // at least, after a ballot without a quorum
	maxTimeoutSteps    = 2                     // each step makes the calls' timeout four times as long
)

// proposal is a command to be chosen or, without one, a target up to which all
// slots are to be completed.
type proposal struct {
	ctx     context.Context // the caller's
	command []byte
	match   func(chosen []byte) bool
	target  uint64
	done    chan outcome // with room for one
}

type outcome struct {
	version uint64
	result  statemachine.Result
	err     error
}

// proposalLoop runs this core's proposals one after another, so that they don't
// contend with each other.
type proposalLoop struct {
	replica *Replica
	random  *rand.Rand
	// timeoutSteps grows with each ballot in a row for which a quorum that can
	// be reached was too slow.
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

// run proposes in slot after slot until the proposal is decided or its context
// ends. Serving is the context of the replica's work.
func (l *proposalLoop) run(ctx, serving context.Context, next proposal) outcome {
	run := &proposalRun{
		loop:     l,
		replica:  l.replica,
		proposal: next,
		failure:  apierror.Errorf(apierror.NoMajority, "no ballot was held"),
	}
	for ctx.Err() == nil {
		if out, decided := run.proposeInNextSlot(ctx, serving); decided {
			return out
		}
	}
	return outcome{err: run.failure}
}

func (l *proposalLoop) callTimeout() time.Duration {
	return l.replica.cfg.CallTimeout << (2 * l.timeoutSteps)
}

// proposalRun is the progress of one proposal.
type proposalRun struct {
	loop     *proposalLoop
	replica  *Replica
	proposal proposal
	started  bool
	// learnedAtStart is the slot after which the command is looked for.
	learnedAtStart uint64
	highestNumber  uint64 // of the ballots observed in the open slot
	lostBallots    int    // in a row
	failure        *apierror.Error
}

// proposeInNextSlot runs one ballot in the slot after the last learned one.
// Decided reports that the proposal has its outcome.
func (p *proposalRun) proposeInNextSlot(ctx, serving context.Context) (out outcome, decided bool) {
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
	beganAt := p.replica.clock.Now()
	ballot := p.replica.runBallot(ctx, state, slot, number, value, p.loop.callTimeout())
	if ballot.step.Action == paxos.ValueChosen {
		if err := p.replica.learnChosen(ctx, serving, slot, ballot.step.Value); err != nil {
			return outcome{err: err}, true
		}
		p.beginNextSlot()
		if p.replica.clock.Now().Sub(beganAt) < p.replica.cfg.CallTimeout {
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

// findOutcome returns the outcome if it is decided by what was learned since the
// proposal began.
func (p *proposalRun) findOutcome(ctx context.Context, learned uint64) (out outcome, decided bool) {
	if !p.started {
		p.started = true
		p.learnedAtStart = learned
	}
	if p.proposal.command == nil {
		return outcome{version: learned}, learned >= p.proposal.target
	}
	found, err := callOwner(ctx, p.replica, func(o *owner, reply func(outcome, error)) {
		version, result, _ := o.configuration.find(p.learnedAtStart, p.proposal.match)
		reply(outcome{version: version, result: result}, nil)
	})
	if err != nil {
		return outcome{err: err}, true
	}
	return found, found.version != 0
}

// value returns what is proposed in a slot in which no value is accepted.
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

// fetchLearned fetches the slot's value if another core has learned it, and
// reports whether it did.
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

// backOff waits after a lost ballot, at random within bounds that grow with the
// ballots lost in a row.
func (p *proposalRun) backOff(ctx context.Context, state paxos.State, slot uint64, ballot ballotResult) {
	p.highestNumber = max(p.highestNumber, ballot.proposer.HighestBallot.Number)
	wait := firstBackoff << min(p.lostBallots, maxBackoffDoubling)
	if ballot.answered < state.Quorum() {
		p.failure = apierror.Errorf(apierror.NoMajority, "no majority of the cores answers")
		wait = max(wait, noQuorumBackoff)
		if p.replica.quorumReached.Load() {
			p.loop.timeoutSteps = min(p.loop.timeoutSteps+1, maxTimeoutSteps)
		}
	} else {
		p.failure = apierror.Errorf(apierror.OutcomePending, "other cores' ballots came between")
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
