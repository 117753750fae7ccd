package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

const (
	firstBackoff = 10 * time.Millisecond
	lastBackoff  = time.Second
	pauseUnheard = 50 * time.Millisecond
	mostPatience = 2 // fourfold steps of the calls' timeout while a majority is slow
)

// proposal is a command to be agreed or, without one, a target up to which all
// slots are to be finished.
type proposal struct {
	ctx     context.Context
	command []byte
	match   func([]byte) bool
	target  uint64
	done    chan outcome
}

type outcome struct {
	version uint64
	result  statemachine.Result
	err     error
}

// conduct runs this core's proposals one after another, so that they do not
// contend with each other.
func (r *Replica) conduct(ctx context.Context) {
	random, silent := r.random(1), 0
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-r.proposals:
			bound, cancel := context.WithCancel(p.ctx)
			stop := context.AfterFunc(ctx, cancel)
			p.done <- r.agree(bound, ctx, p, random, &silent)
			stop()
			cancel()
		}
	}
}

// agree tries slot after slot until the proposal's end is met. Silent counts
// the ballots in a row that a reachable majority was too slow for; the calls'
// timeout grows with it.
func (r *Replica) agree(ctx, alive context.Context, p proposal, random *rand.Rand, silent *int) outcome {
	var begun, seen uint64
	first, sent, losses := true, false, 0
	code, detail := apierror.NoMajority, "no ballot was held"
	for ctx.Err() == nil {
		state, err := r.whole(ctx)
		if err != nil {
			return outcome{err: err}
		}
		learned := state.Learned()
		if first {
			begun, first = learned, false
		}
		if out, over := r.met(ctx, p, begun, learned); over {
			return out
		}
		slot := learned + 1
		command := p.command
		if command == nil {
			command = statemachine.Encode(statemachine.Noop{})
		}
		sent = true
		begunAt := r.clock.Now()
		timeout := r.cfg.CallTimeout << (2 * *silent)
		ended, step, heard := r.ballot(ctx, state, slot, max(state.NextNumber(slot), seen+1), command, timeout)
		switch {
		case step.Chosen:
			if err := r.learn(ctx, alive, slot, step.Value); err != nil {
				return outcome{err: err}
			}
			losses, seen = 0, 0
			if r.clock.Now().Sub(begunAt) < r.cfg.CallTimeout {
				*silent = 0
			}
			continue
		case step.Behind != "" || ended.Learned >= slot:
			from := step.Behind
			if from == "" {
				from = ended.Tip
			}
			if r.catchUp(ctx, from) == nil {
				losses, seen = 0, 0
				continue
			}
		}
		seen = max(seen, ended.Seen.Number)
		code, detail = apierror.OutcomePending, "other cores' ballots came between"
		wait := firstBackoff << min(losses, 6)
		if heard < state.Majority() {
			code, detail = apierror.NoMajority, "no majority of the cores answers"
			wait = max(wait, pauseUnheard)
			if r.reached.Load() {
				*silent = min(*silent+1, mostPatience)
			}
		} else {
			r.events.Emit(events.BallotContended, "slot", slot, "number", seen)
		}
		losses++
		wait = min(wait, lastBackoff)
		select {
		case <-r.clock.After(wait/4 + time.Duration(random.Int64N(int64(wait)))):
		case <-ctx.Done():
		}
	}
	if !sent {
		return outcome{err: apierror.Errorf(apierror.NoMajority, "no ballot was held")}
	}
	return outcome{err: apierror.Errorf(code, "%s", detail)}
}

// met tells whether a proposal has come to its end by what was learned since it
// began.
func (r *Replica) met(ctx context.Context, p proposal, begun, learned uint64) (outcome, bool) {
	if p.command == nil {
		return outcome{version: learned}, learned >= p.target
	}
	found, err := ask(ctx, r, func(o *owner, reply func(outcome, error)) {
		for version := begun + 1; version <= o.sheet.Version; version++ {
			result, kept := o.result(version)
			if kept && p.match(o.recent[len(o.recent)-1-int(o.sheet.Version-version)].Command) {
				reply(outcome{version: version, result: result}, nil)
				return
			}
		}
		reply(outcome{}, nil)
	})
	if err != nil {
		return outcome{err: err}, true
	}
	return found, found.version != 0
}

type answer struct {
	core     string
	phase    paxos.Phase
	prepared *wire.PrepareResponse
	accepted *wire.AcceptResponse
}

// ballot holds one ballot. Heard counts the voters that answered its last phase. Voters are called at once and none is waited for
// beyond a majority; late answers still reach the proposer while it runs.
func (r *Replica) ballot(ctx context.Context, state paxos.State, slot, number uint64, own []byte, timeout time.Duration) (ended paxos.Proposer, step paxos.Step, heard int) {
	p, prepare := paxos.Propose(state, slot, number, own)
	answers := make(chan answer, 2*len(p.Voters))
	for _, core := range p.Voters {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			resp, _ := call(callCtx, r, core, prepare, r.Prepare, wireconnect.PeerClient.Prepare)
			answers <- answer{core: core, phase: paxos.Preparing, prepared: resp}
		}()
	}
	answered := map[string]bool{}
	for {
		var a answer
		select {
		case a = <-answers:
		case <-ctx.Done():
			return p, paxos.Step{}, len(answered)
		}
		step = paxos.Step{}
		switch {
		case a.prepared != nil:
			answered[a.core] = true
			p, step = p.Promise(a.prepared)
		case a.accepted != nil:
			answered[a.core] = true
			p, step = p.Accepted(a.accepted)
		case a.phase == p.Phase:
			p, step = p.Failed(a.core)
		}
		if step.Accept != nil {
			answered = map[string]bool{}
			r.sendAccept(ctx, p.Voters, step.Accept, timeout, answers)
		}
		if p.Phase == paxos.Ended {
			return p, step, len(answered)
		}
	}
}

func (r *Replica) sendAccept(ctx context.Context, voters []string, req *wire.AcceptRequest, timeout time.Duration, answers chan<- answer) {
	for _, core := range voters {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			resp, _ := call(callCtx, r, core, req, r.Accept, wireconnect.PeerClient.Accept)
			answers <- answer{core: core, phase: paxos.Accepting, accepted: resp}
		}()
	}
}

// learn takes a chosen value in here and tells the other voters, for which the
// replica stays alive longer than the proposal.
func (r *Replica) learn(ctx, alive context.Context, slot uint64, value []byte) error {
	chosen := []*wire.Chosen{{Epoch: slot, Command: value}}
	state, err := ask(ctx, r, func(o *owner, reply func(paxos.State, error)) {
		records, _, _ := o.state.Learn(&wire.LearnRequest{Formation: o.state.Formation, Chosen: chosen})
		err := o.commit(records, toLearn)
		reply(o.state, err)
	})
	if state.Formation != "" {
		r.tellAll(alive, state, &wire.LearnRequest{Formation: state.Formation, From: r.cfg.Self, Chosen: chosen})
	}
	return err
}

func (r *Replica) tellAll(alive context.Context, state paxos.State, req *wire.LearnRequest) {
	for _, core := range state.Others() {
		go func() {
			ctx, cancel := context.WithTimeout(alive, r.cfg.EntryTimeout)
			defer cancel()
			_, _ = call(ctx, r, core, req, r.Learn, wireconnect.PeerClient.Learn)
		}()
	}
}

// finish has every slot up to the target chosen, by the values found accepted.
func (r *Replica) finish(ctx context.Context, target uint64) error {
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

// whole returns the core's state, ahead of the disk, if it votes.
func (r *Replica) whole(ctx context.Context) (paxos.State, error) {
	return ask(ctx, r, func(o *owner, reply func(paxos.State, error)) {
		v := o.standing(view{standing: o.state.Standing()})
		if code := standingCode(v.standing); code != apierror.OK {
			reply(paxos.State{}, apierror.Errorf(code, "core %s: %s", o.r.cfg.Self, v.waiting))
			return
		}
		reply(o.state, nil)
	})
}

func (r *Replica) stateNow(ctx context.Context) (paxos.State, error) {
	return ask(ctx, r, func(o *owner, reply func(paxos.State, error)) { reply(o.state, nil) })
}

func (r *Replica) sheetNow(ctx context.Context) (statemachine.State, error) {
	return ask(ctx, r, func(o *owner, reply func(statemachine.State, error)) { reply(o.sheet, nil) })
}
