package replica

import (
	"context"
	"fmt"
	"time"

	"stepwick/internal/decision/paxos"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	// formationInterval is the time between attempts to join, found or recover in a
	// formation.
	formationInterval = 100 * time.Millisecond
	// majorityLostGrace is the time after a core's start during which it does not
	// report a missing majority.
	majorityLostGrace = 2 * time.Second
	// pollsUntilStalled is the number of consecutive polls without progress after
	// which an open slot counts as stalled.
	pollsUntilStalled = 4
	// completeTimeout bounds the completion of stalled slots.
	completeTimeout = 2 * time.Second
)

// maintenance joins or founds the core's formation. Once the core votes, it polls the
// other cores, fetches missed values and completes slots that were left open.
type maintenance struct {
	replica        *Replica
	startedAt      time.Time
	hasMajority    bool // as last reported
	firstSheetDone bool
	openSlot       openSlotTracker
}

func (r *Replica) runMaintenance(ctx context.Context) {
	m := &maintenance{replica: r, startedAt: r.clock.Now(), hasMajority: true}
	for {
		state, err := r.consensusState(ctx)
		if err != nil {
			return
		}
		wait := formationInterval
		switch state.Standing() {
		case wire.Standing_STANDING_BLANK:
			r.joinOrFoundFormation(ctx, state)
		case wire.Standing_STANDING_AMNESIAC:
			r.recoverState(ctx, state)
		default:
			wait = r.cfg.PollInterval
			if replaced := m.poll(ctx, state); replaced {
				return
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

// poll polls the voters and acts on their responses. Replaced reports that another
// process runs under this core's name with a later disk incarnation.
func (m *maintenance) poll(ctx context.Context, state paxos.State) (replaced bool) {
	r := m.replica
	poll := r.pollVoters(ctx, state)
	if poll.incarnation > state.Incarnation() && r.cfg.OnReplaced != nil {
		r.reportReplaced(fmt.Sprintf("another process runs under this name with disk incarnation %d; the incarnation here is %d", poll.incarnation, state.Incarnation()))
		return true
	}
	hasMajority := poll.answered >= state.Quorum()
	r.quorumReached.Store(hasMajority)
	m.reportMajority(ctx, hasMajority, poll.answered)
	if poll.learnedSlot > state.HighestLearnedSlot() {
		_ = r.catchUp(ctx, poll.learnedBy)
	} else if m.openSlot.recordPoll(state.HighestLearnedSlot(), poll.highestSlot) {
		r.queueSlotCompletion(ctx, poll.highestSlot)
	}
	if !m.firstSheetDone && len(r.cfg.FirstSheet) > 0 && m.hasMajority {
		m.firstSheetDone = r.proposeFirstSheet(ctx)
	}
	return false
}

// reportMajority logs when a majority of voters stops or resumes responding. The loss
// of the majority is not logged within majorityLostGrace of the core's start.
func (m *maintenance) reportMajority(ctx context.Context, hasMajority bool, answered int) {
	r := m.replica
	if hasMajority == m.hasMajority {
		return
	}
	if !hasMajority && r.clock.Now().Sub(m.startedAt) < majorityLostGrace {
		return
	}
	if ctx.Err() != nil {
		return
	}
	m.hasMajority = hasMajority
	if hasMajority {
		r.events.Emit(events.QuorumRegained, "core", r.cfg.Self)
	} else {
		r.events.Emit(events.QuorumLost, "core", r.cfg.Self, "answered", answered)
	}
}

// openSlotTracker counts consecutive polls in which the same slot is accepted by some
// voter and learned by none, which means that the slot's proposer has failed.
type openSlotTracker struct {
	learned uint64
	highest uint64
	polls   int
}

// recordPoll records the result of a poll and reports whether the open slots are to be
// completed now.
func (s *openSlotTracker) recordPoll(learned, highest uint64) bool {
	if highest <= learned || learned != s.learned || highest != s.highest {
		*s = openSlotTracker{learned: learned, highest: highest}
		return false
	}
	s.polls++
	return s.polls%pollsUntilStalled == 0
}

// queueSlotCompletion queues a proposal that completes all slots up to the target. It
// does nothing if the proposal queue is full; a later poll tries again.
func (r *Replica) queueSlotCompletion(ctx context.Context, targetSlot uint64) {
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	select {
	case r.proposals <- proposal{ctx: ctx, targetSlot: targetSlot, done: make(chan outcome, 1)}:
		context.AfterFunc(ctx, cancel)
	default:
		cancel()
	}
}

// reportReplaced logs that this core is no longer a member of the formation and calls
// OnReplaced, which must not be nil.
func (r *Replica) reportReplaced(reason string) {
	r.events.Emit(events.CoreReplaced, "core", r.cfg.Self, "why", reason)
	r.cfg.OnReplaced()
}
