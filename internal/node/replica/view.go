package replica

import (
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// view is an immutable snapshot of the synced state, for readers on other goroutines.
// The version of successive views never decreases.
type view struct {
	state       statemachine.State
	recent      []*wire.Chosen // most recent commands, up to state.Version
	standing    wire.Standing
	formation   string
	voters      []string
	incarnation uint64
	replaced    map[string]uint64 // see paxos.State.ReplacedIncarnations
	waitingFor  string            // reason why the core does not vote; empty if it does
	changed     chan struct{}     // closed when the next view is published
}

// publish replaces the current view. It must be called only from the goroutine of
// Serve, which is also the owner's.
func (r *Replica) publish(next view) {
	previous := r.view.Load()
	next.changed = make(chan struct{})
	if next.state.Version < previous.state.Version {
		next.state = previous.state
		next.recent = previous.recent
	}
	r.view.Store(&next)
	close(previous.changed)
	if next.standing != previous.standing {
		r.events.Emit(events.StandingChanged, "core", r.cfg.Self, "standing", next.standing.String(), "waiting", next.waitingFor)
	}
}

// publishClosed publishes that the core does not vote because its log is closed.
func (r *Replica) publishClosed(err error) {
	next := *r.view.Load()
	next.standing = wire.Standing_STANDING_UNSPECIFIED
	next.waitingFor = "the log is closed"
	if err != nil {
		next.waitingFor = err.Error()
		if apierror.From(err).Code == apierror.DiskFull {
			next.standing = wire.Standing_STANDING_DISK_FULL
		}
	}
	r.publish(next)
}

func (o *owner) publish() { o.replica.publish(o.withStanding(o.view())) }

// publishStanding publishes the core's current standing together with the version that
// is already published, since the owner's own version may not be synced yet.
func (o *owner) publishStanding() {
	next := *o.replica.view.Load()
	next.standing = o.consensus.Standing()
	if o.log.LastIndex() > o.syncs.synced && next.formation != o.consensus.Formation {
		return
	}
	o.replica.publish(o.withStanding(next))
}

func (o *owner) view() view {
	return view{
		state:       o.machine.state,
		recent:      slices.Clip(o.machine.recent),
		formation:   o.consensus.Formation,
		voters:      o.consensus.Voters,
		incarnation: o.consensus.Incarnation(),
		replaced:    o.consensus.ReplacedIncarnations(),
		standing:    o.consensus.Standing(),
	}
}

// withStanding returns the view with the reason why the core does not vote. The
// standing of a voting core becomes DISK_FULL if its disk is full.
func (o *owner) withStanding(v view) view {
	v.waitingFor = o.waiting.reason
	if v.standing != wire.Standing_STANDING_VOTING {
		return v
	}
	v.waitingFor = ""
	if o.disk.exhausted() {
		v.standing = wire.Standing_STANDING_DISK_FULL
		v.waitingFor = "the disk is full: only the reserved space is left"
	}
	return v
}

// Current returns the latest state that is applied and synced here.
func (r *Replica) Current() statemachine.State { return r.view.Load().state }

// Changed returns a channel that is closed when the next version or standing is
// published. It must be called before Current, so that no change is missed.
func (r *Replica) Changed() <-chan struct{} { return r.view.Load().changed }

// CommandsAfter returns the commands between a version and that of Current, oldest first.
// Complete is false if some of them are no longer retained, or if the version is later
// than Current's.
func (r *Replica) CommandsAfter(after uint64) (chosen []*wire.Chosen, complete bool) {
	v := r.view.Load()
	if after > v.state.Version {
		return nil, false
	}
	missing := v.state.Version - after
	if missing > uint64(len(v.recent)) {
		return nil, false
	}
	return v.recent[uint64(len(v.recent))-missing:], true
}

// Standing returns the core's standing, which is STANDING_UNSPECIFIED or
// STANDING_DISK_FULL while its log is closed.
func (r *Replica) Standing() wire.Standing { return r.view.Load().standing }

// Formation returns the ID of the core's formation, or "" if it has joined none.
func (r *Replica) Formation() string { return r.view.Load().formation }

// Voters returns the sorted names of the formation's voters.
func (r *Replica) Voters() []string { return r.view.Load().voters }

// Incarnation returns the core's disk incarnation, or zero until it votes.
func (r *Replica) Incarnation() uint64 { return r.view.Load().incarnation }

// ReplacedIncarnations returns the disk incarnations of the voters whose disk was lost or
// replaced, as far as this core knows. Callers must not modify the map.
func (r *Replica) ReplacedIncarnations() map[string]uint64 { return r.view.Load().replaced }

// Ready returns nil if the core votes. Otherwise it returns the reason as an error with
// the code CoreBlank, CoreAmnesiac, DiskFull or Internal.
func (r *Replica) Ready() *apierror.Error {
	v := r.view.Load()
	if v.standing == wire.Standing_STANDING_VOTING {
		return nil
	}
	return apierror.Errorf(standingCode(v.standing), "%s", v.waitingFor)
}

func standingCode(standing wire.Standing) apierror.Code {
	switch standing {
	case wire.Standing_STANDING_VOTING:
		return apierror.OK
	case wire.Standing_STANDING_BLANK:
		return apierror.CoreBlank
	case wire.Standing_STANDING_AMNESIAC:
		return apierror.CoreRecovering
	case wire.Standing_STANDING_DISK_FULL:
		return apierror.DiskFull
	}
	return apierror.Internal
}
