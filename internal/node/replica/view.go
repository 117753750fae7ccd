package replica

import (
	"slices"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// view is an immutable snapshot of what is synced here, for readers on other
// goroutines. Its version never goes back.
type view struct {
	state       statemachine.State
	recent      []*wire.Chosen // the commands of the last versions
	standing    wire.Standing
	formation   string
	voters      []string
	incarnation uint64
	waitingFor  string        // why the core does not vote; empty while it does
	changed     chan struct{} // closed when a newer view is published
}

// publish makes a view the current one. Only the goroutine of Serve calls it,
// with the owner on it.
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

// publishClosed publishes that the core does not vote while its log is closed.
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

// publishStanding publishes the core's standing with the version that is already
// published: the owner's own may not be synced yet.
func (o *owner) publishStanding() {
	next := *o.replica.view.Load()
	next.standing = o.state.Standing()
	if o.log.LastIndex() > o.syncs.synced && next.formation != o.state.Formation {
		return
	}
	o.replica.publish(o.withStanding(next))
}

func (o *owner) view() view {
	return view{
		state:       o.configuration.state,
		recent:      slices.Clip(o.configuration.recent),
		formation:   o.state.Formation,
		voters:      o.state.Voters,
		incarnation: o.state.Incarnation(),
		standing:    o.state.Standing(),
	}
}

// withStanding returns the view with what the core waits for at present, and
// with the standing of a full disk when there is no room to vote.
func (o *owner) withStanding(v view) view {
	v.waitingFor = o.waiting.reason
	if v.standing != wire.Standing_STANDING_VOTING {
		return v
	}
	v.waitingFor = ""
	if o.disk.exhausted() {
		v.standing = wire.Standing_STANDING_DISK_FULL
		v.waitingFor = "only the reserve is left on the disk"
	}
	return v
}

// Current returns the newest configuration that is applied and synced here.
func (r *Replica) Current() statemachine.State { return r.view.Load().state }

// Changed returns a channel that is closed when a newer version or standing is
// published. Call it before Current, so that no change is missed.
func (r *Replica) Changed() <-chan struct{} { return r.view.Load().changed }

// Learned returns the commands of Current after a version, oldest first.
// Complete is false when some of them are no longer kept, or when the version is
// after Current's.
func (r *Replica) Learned(after uint64) (chosen []*wire.Chosen, complete bool) {
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

// Standing is the core's standing in the agreement; unspecified while its log is
// closed.
func (r *Replica) Standing() wire.Standing { return r.view.Load().standing }

// Formation is the id of the formation that the core is in, or empty.
func (r *Replica) Formation() string { return r.view.Load().formation }

// Voters are the sorted names of the formation's cores.
func (r *Replica) Voters() []string { return r.view.Load().voters }

// Incarnation is the core's disk incarnation; zero until it votes.
func (r *Replica) Incarnation() uint64 { return r.view.Load().incarnation }

// Ready returns nil when the core votes. Otherwise it returns the reason, as an
// error of the code CoreBlank, CoreAmnesiac, DiskFull or Internal.
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
		return apierror.CoreAmnesiac
	case wire.Standing_STANDING_DISK_FULL:
		return apierror.DiskFull
	}
	return apierror.Internal
}
