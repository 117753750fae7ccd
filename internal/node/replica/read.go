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

// fetchTimeout bounds one call of Fetch.
const fetchTimeout = 1500 * time.Millisecond

// voterPoll summarizes the voters' responses to a Read.
type voterPoll struct {
	answered    int    // number of voters that responded without a refusal
	highestSlot uint64 // highest slot that any of them has learned or accepted
	learnedSlot uint64 // highest slot that any of them has learned
	learnedBy   string // core that has learned learnedSlot
	incarnation uint64 // highest incarnation of this core that any of them has recorded
}

// ReadMajority returns a state that includes every command chosen before the call (a
// linearizable read). It polls the voters, completes any slot that one of them has
// accepted, and waits until the result is applied here. It returns an error with the
// code NoMajority if no majority of the voters responds.
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
		current, err := r.machineState(ctx)
		if err != nil {
			return statemachine.State{}, err
		}
		if current.Version >= max(poll.highestSlot, poll.learnedSlot) {
			return current, nil
		}
		if current.Version < poll.learnedSlot && r.catchUp(ctx, poll.learnedBy) == nil {
			continue
		}
		if err := r.completeSlots(ctx, poll.highestSlot); err != nil {
			return statemachine.State{}, err
		}
	}
}

// pollVoters asks every voter for the highest slots that it has learned and accepted
// and the incarnation of this core that it has recorded. It waits up to CallTimeout,
// but only a short time for the remaining voters once a majority has responded.
func (r *Replica) pollVoters(ctx context.Context, state paxos.State) voterPoll {
	req := &wire.ReadRequest{Formation: state.Formation, Core: r.cfg.Self}
	responses := collectResponses(ctx, r, state.Voters, r.cfg.CallTimeout, state.Quorum(), func(ctx context.Context, core string) (*wire.ReadResponse, error) {
		return callProcess(ctx, r, core, req, r.Read, wireconnect.PeerClient.Read)
	})
	var poll voterPoll
	for core, resp := range responses {
		if resp.Refusal != 0 {
			continue
		}
		poll.answered++
		poll.incarnation = max(poll.incarnation, resp.Life)
		poll.highestSlot = max(poll.highestSlot, resp.Learned, resp.Highest)
		if resp.Learned > poll.learnedSlot {
			poll.learnedSlot = resp.Learned
			poll.learnedBy = core
		}
	}
	return poll
}

// catchUp fetches values from a core until all that the core has learned is learned
// here. It returns an error with the code VersionBehind if a response contains no
// missing values although the core has learned more.
func (r *Replica) catchUp(ctx context.Context, from string) error {
	for {
		state, err := r.consensusState(ctx)
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
			return apierror.Errorf(apierror.VersionBehind, "core %s has learned epoch %d but returned nothing after epoch %d", from, resp.Learned, learned)
		}
	}
}

func (r *Replica) fetch(ctx context.Context, from string, state paxos.State) (*wire.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req := &wire.FetchRequest{Formation: state.Formation, After: state.HighestLearnedSlot()}
	return callProcess(ctx, r, from, req, r.Fetch, wireconnect.PeerClient.Fetch)
}

// installFetched commits the fetched values after a slot and returns the highest slot
// that is learned afterwards.
func (r *Replica) installFetched(ctx context.Context, from string, after uint64, resp *wire.FetchResponse) (learned uint64, err error) {
	return callOwner(ctx, r, func(o *owner, reply func(uint64, error)) {
		records := o.consensus.HandleFetch(resp)
		err := o.commit(records, purposeLearn)
		if err == nil && len(records) > 0 {
			if resp.SnapshotEpoch > after {
				r.events.Emit(events.SnapshotInstalled, "core", r.cfg.Self, "from", from, "epoch", resp.SnapshotEpoch)
			}
			r.events.Emit(events.SlotFetched, "core", r.cfg.Self, "from", from, "epoch", o.consensus.HighestLearnedSlot())
		}
		reply(o.consensus.HighestLearnedSlot(), err)
	})
}

// requestFetch makes maintenance fetch from a core, unless a fetch is already
// requested.
func (r *Replica) requestFetch(from string) {
	select {
	case r.fetchFrom <- from:
	default:
	}
}

// consensusState returns the consensus state, which may be ahead of the disk.
func (r *Replica) consensusState(ctx context.Context) (paxos.State, error) {
	return callOwner(ctx, r, func(o *owner, reply func(paxos.State, error)) { reply(o.consensus, nil) })
}

// machineState returns the state machine's state after the last applied command, which
// may be ahead of the disk.
func (r *Replica) machineState(ctx context.Context) (statemachine.State, error) {
	return callOwner(ctx, r, func(o *owner, reply func(statemachine.State, error)) { reply(o.machine.state, nil) })
}
