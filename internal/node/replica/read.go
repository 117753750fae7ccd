package replica

import (
	"context"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// fetchTimeout is the timeout of one call that fetches chosen values.
const fetchTimeout = 1500 * time.Millisecond

// voterPoll is what the voters answered to a Read.
type voterPoll struct {
	answered    int    // voters that answered without rejecting the read
	highest     uint64 // the highest slot that one of them has learned or accepted
	learned     uint64 // the highest slot that one of them has learned
	learnedBy   string
	incarnation uint64 // the highest of this core that one of them knows
}

// ReadMajority returns a configuration that includes whatever was chosen before
// the call. It reads from a majority of the voters and completes the slots that
// it finds accepted. Without a majority it returns an error of the code NoMajority.
func (r *Replica) ReadMajority(ctx context.Context) (statemachine.State, error) {
	state, err := r.votingState(ctx)
	if err != nil {
		return statemachine.State{}, err
	}
	poll := r.pollVoters(ctx, state)
	if poll.answered < state.Quorum() {
		return statemachine.State{}, apierror.Errorf(apierror.NoMajority, "%d of %d cores answered", poll.answered, len(state.Voters))
	}
	for {
		current, err := r.appliedState(ctx)
		if err != nil {
			return statemachine.State{}, err
		}
		if current.Version >= max(poll.highest, poll.learned) {
			return current, nil
		}
		if current.Version < poll.learned && r.catchUp(ctx, poll.learnedBy) == nil {
			continue
		}
		if err := r.completeSlots(ctx, poll.highest); err != nil {
			return statemachine.State{}, err
		}
	}
}

// pollVoters reads from every voter which slots it has learned and accepted, and
// which incarnation of this core it knows. It waits for all of them or the calls'
// timeout, but only for a short grace once a majority has answered.
func (r *Replica) pollVoters(ctx context.Context, state paxos.State) voterPoll {
	req := &wire.ReadRequest{Formation: state.Formation, Core: r.cfg.Self}
	answers := callAll(ctx, r, state.Voters, r.cfg.CallTimeout, state.Quorum(), func(ctx context.Context, core string) (*wire.ReadResponse, error) {
		return callVoter(ctx, r, core, req, r.Read, wireconnect.PeerClient.Read)
	})
	var poll voterPoll
	for core, resp := range answers {
		if resp.Refusal != 0 {
			continue
		}
		poll.answered++
		poll.incarnation = max(poll.incarnation, resp.Life)
		poll.highest = max(poll.highest, resp.Learned, resp.Highest)
		if resp.Learned > poll.learned {
			poll.learned = resp.Learned
			poll.learnedBy = core
		}
	}
	return poll
}

// catchUp fetches from a core until nothing that it has learned is missing here.
// It returns an error of the code VersionBehind when the core returns nothing
// that is missing.
func (r *Replica) catchUp(ctx context.Context, from string) error {
	for {
		state, err := r.currentState(ctx)
		if err != nil {
			return err
		}
		resp, err := r.fetch(ctx, from, state)
		if err != nil {
			return err
		}
		learned, err := r.installFetched(ctx, from, state.HighestLearnedSlot(), resp)
		if err != nil {
			return err
		}
		if learned >= resp.Learned {
			return nil
		}
		if learned == state.HighestLearnedSlot() {
			return apierror.Errorf(apierror.VersionBehind, "core %s gave nothing after epoch %d", from, learned)
		}
	}
}

func (r *Replica) fetch(ctx context.Context, from string, state paxos.State) (*wire.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := &wire.FetchRequest{Formation: state.Formation, After: state.HighestLearnedSlot()}
	return callVoter(ctx, r, from, req, r.Fetch, wireconnect.PeerClient.Fetch)
}

// installFetched commits what was fetched after a slot and returns the slot that
// is learned now.
func (r *Replica) installFetched(ctx context.Context, from string, after uint64, resp *wire.FetchResponse) (learned uint64, err error) {
	return callOwner(ctx, r, func(o *owner, reply func(uint64, error)) {
		records := o.state.HandleFetch(resp)
		err := o.commit(records, forLearning)
		if err == nil && len(records) > 0 {
			if resp.SnapshotEpoch > after {
				r.events.Emit(events.SnapshotInstalled, "core", r.cfg.Self, "from", from, "epoch", resp.SnapshotEpoch)
			}
			r.events.Emit(events.SlotFetched, "core", r.cfg.Self, "from", from, "epoch", o.state.HighestLearnedSlot())
		}
		reply(o.state.HighestLearnedSlot(), err)
	})
}

// requestFetch has maintenance fetch from a core, unless it already is to.
func (r *Replica) requestFetch(from string) {
	select {
	case r.fetchFrom <- from:
	default:
	}
}

// currentState returns the state of the agreement, which may be ahead of the disk.
func (r *Replica) currentState(ctx context.Context) (paxos.State, error) {
	return callOwner(ctx, r, func(o *owner, reply func(paxos.State, error)) { reply(o.state, nil) })
}

// appliedState returns the state after the last applied command, which may be ahead
// of the disk.
func (r *Replica) appliedState(ctx context.Context) (statemachine.State, error) {
	return callOwner(ctx, r, func(o *owner, reply func(statemachine.State, error)) { reply(o.configuration.state, nil) })
}
