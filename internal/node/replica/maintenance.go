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
	// formationInterval is the time between attempts to enter a formation.
	formationInterval = 100 * time.Millisecond
	// majorityLostGrace is how long a core polls for a majority after its start
	// before it reports that there is none.
	majorityLostGrace = 2 * time.Second
	// stalledPolls is the number of polls after which an open slot is completed.
	stalledPolls = 4
	// completeTimeout is the timeout of completing a stalled slot.
	completeTimeout = 2 * time.Second
)

// maintenance brings the core into its formation and, once it votes, polls the
// other cores: it fetches what it missed and completes slots left open.
type maintenance struct {
	replica        *Replica
	startedAt      time.Time
	hasMajority    bool // as reported last
	firstSheetDone bool
	openSlot       openSlot
}

func (r *Replica) runMaintenance(ctx context.Context) {
	m := &maintenance{replica: r, startedAt: r.clock.Now(), hasMajority: true}
	for {
		state, err := r.currentState(ctx)
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

// poll polls the voters and acts on their answers. Replaced reports that another
// process has this core's name.
func (m *maintenance) poll(ctx context.Context, state paxos.State) (replaced bool) {
	r := m.replica
	poll := r.pollVoters(ctx, state)
	if poll.incarnation > state.Incarnation() && r.cfg.OnReplaced != nil {
		r.reportReplaced(fmt.Sprintf("another process has the name in disk life %d, later than %d here", poll.incarnation, state.Incarnation()))
		return true
	}
	hasMajority := poll.answered >= state.Quorum()
	r.quorumReached.Store(hasMajority)
	m.reportMajority(ctx, hasMajority, poll.answered)
	if poll.learned > state.HighestLearnedSlot() {
		_ = r.catchUp(ctx, poll.learnedBy)
	} else if m.openSlot.stalled(state.HighestLearnedSlot(), poll.highest) {
		r.completeSlotsLater(ctx, poll.highest)
	}
	if !m.firstSheetDone && len(r.cfg.FirstSheet) > 0 && m.hasMajority {
		m.firstSheetDone = r.proposeFirstSheet(ctx)
	}
	return false
}

// reportMajority logs a change of whether a majority answers. A core that has
// just started is given time to find one.
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

// openSlot counts the polls in which the same slot was accepted somewhere and
// learned nowhere: its proposer is lost.
type openSlot struct {
	learned uint64
	highest uint64
	polls   int
}

// stalled takes in a poll and reports whether the slot is to be completed now.
func (s *openSlot) stalled(learned, highest uint64) bool {
	if highest <= learned || learned != s.learned || highest != s.highest {
		*s = openSlot{learned: learned, highest: highest}
		return false
	}
	s.polls++
	return s.polls%stalledPolls == 0
}

// completeSlotsLater queues the completion of all slots up to the target, unless
// the queue of proposals is full.
func (r *Replica) completeSlotsLater(ctx context.Context, target uint64) {
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	select {
	case r.proposals <- proposal{ctx: ctx, target: target, done: make(chan outcome, 1)}:
		context.AfterFunc(ctx, cancel)
	default:
		cancel()
	}
}

// reportReplaced reports that this core has no place in the formation any more.
func (r *Replica) reportReplaced(why string) {
	r.events.Emit(events.CoreReplaced, "core", r.cfg.Self, "why", why)
	r.cfg.OnReplaced()
}
