package replica

import (
	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// view is what is published: it is synced here, and never steps back.
type view struct {
	state     statemachine.State
	recent    []*wire.Chosen
	standing  wire.Standing
	formation string
	voters    []string
	life      uint64
	waiting   string
	changed   chan struct{}
}

func (r *Replica) publish(next view) {
	old := r.view.Load()
	next.changed = make(chan struct{})
	if next.state.Version < old.state.Version {
		next.state, next.recent = old.state, old.recent
	}
	r.view.Store(&next)
	close(old.changed)
	if next.standing != old.standing {
		r.events.Emit(events.StandingChanged, "core", r.cfg.Self, "standing", next.standing.String(), "waiting", next.waiting)
	}
}

// Current returns the newest state that is applied and synced here.
func (r *Replica) Current() statemachine.State { return r.view.Load().state }

// Changed returns a channel that is closed when a newer state or standing is
// published. Take it before Current.
func (r *Replica) Changed() <-chan struct{} { return r.view.Load().changed }

// Learned returns the commands that Current holds after a version, oldest first;
// whole is false when some of them are no longer kept, or the version is beyond
// Current's.
func (r *Replica) Learned(after uint64) (chosen []*wire.Chosen, whole bool) {
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

// Standing is the core's place in the agreement; unspecified while its log is
// closed.
func (r *Replica) Standing() wire.Standing { return r.view.Load().standing }

// Formation is the id of the formation that the core is in, or empty.
func (r *Replica) Formation() string { return r.view.Load().formation }

// Voters are the sorted names of the formation's cores.
func (r *Replica) Voters() []string { return r.view.Load().voters }

// Life is the core's disk life while it votes, zero otherwise.
func (r *Replica) Life() uint64 { return r.view.Load().life }

// Ready returns nil when the core votes, and else why it does not, as a fault
// with CoreBlank, CoreAmnesiac, DiskFull or Internal.
func (r *Replica) Ready() *apierror.Error {
	v := r.view.Load()
	if v.standing == wire.Standing_STANDING_VOTING {
		return nil
	}
	return apierror.Errorf(standingCode(v.standing), "%s", v.waiting)
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
