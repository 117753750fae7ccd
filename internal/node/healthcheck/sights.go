package healthcheck

import (
	"slices"
	"time"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

type sightKey struct {
	server string
	kind   serverstatus.Source
}

type sight struct {
	report *wire.Report
	sent   time.Time
	since  time.Time
}

// status is what was reported last, or nil.
func (s *sight) status() *wire.ServerStatus { return s.report.GetStatus() }

var states = map[wire.ServerState]events.Event{
	wire.ServerState_SERVER_STATE_READY:    events.ServerReady,
	wire.ServerState_SERVER_STATE_COLD:     events.ServerCold,
	wire.ServerState_SERVER_STATE_DRAINING: events.ServerDraining,
	wire.ServerState_SERVER_STATE_LEAVING:  events.ServerLeaving,
	wire.ServerState_SERVER_STATE_GONE:     events.ServerGone,
}

// tell logs what a sight shows that the last one of its kind did not.
func (w *Watcher) tell(kind serverstatus.Source, old, status *wire.ServerStatus) {
	by := "itself"
	if kind == serverstatus.SourceList {
		by = "the platform"
	}
	if kind == serverstatus.SourceServer && status.Reachable && old.GetIncarnation() != status.Incarnation {
		w.log.Emit(events.ServerSeen, "server", status.Name, "incarnation", status.Incarnation)
	}
	if event, told := states[status.State]; told && old.GetState() != status.State {
		w.log.Emit(event, "server", status.Name, "by", by)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// see reports a sight that changed, or whose keep-alive is due. at is the fleet
// time at which the question was asked.
func (w *Watcher) see(kind serverstatus.Source, status *wire.ServerStatus, at time.Time) {
	key, now := sightKey{status.Name, kind}, w.clock.Now()
	s := w.sights[key]
	if s == nil {
		s = &sight{since: now}
		w.sights[key] = s
	} else if !urgent(s.status(), status) && (stands(kind, status) || now.Sub(s.sent) < serverstatus.RepeatInterval(w.size)) {
		return
	}
	w.tell(kind, s.status(), status)
	if s.report == nil || s.status().State != status.State {
		s.since = now
	}
	s.sent = now
	w.counter++
	report := &wire.Report{Watcher: serverstatus.WatcherID(w.cfg.Self, kind), Server: status.Name, Incarnation: w.cfg.Incarnation,
		Counter: w.counter, Status: status, AtMs: at.UnixMilli()}
	s.report = report
	w.report(report)
	for _, core := range w.peers.Cores() {
		w.box(core.Name).reports[waitingKey(report)] = report
	}
}

// stands tells whether a sight that has not changed is covered by what the
// cores are told of all of its kind at once.
func stands(kind serverstatus.Source, status *wire.ServerStatus) bool {
	return kind == serverstatus.SourceList && status.State != wire.ServerState_SERVER_STATE_GONE
}

// urgent tells whether a sight differs in more than load. While a server ramps
// its answers count as more, since its cap grows with them.
func urgent(a, b *wire.ServerStatus) bool {
	return a == nil || a.State != b.State || a.Reachable != b.Reachable || a.Incarnation != b.Incarnation || a.Slots != b.Slots ||
		a.LeaveAtMs != b.LeaveAtMs || a.Address != b.Address || a.Region != b.Region || a.Zone != b.Zone || a.Kind != b.Kind ||
		!slices.Equal(a.Services, b.Services) || coldMoved(a, b) || a.Answered != b.Answered && a.Answered < rampSeen
}

// coldMargin is by how much the end of a server's cold time, which each list
// tells anew, may move before that is news; in milliseconds.
const coldMargin = 400

func coldMoved(a, b *wire.ServerStatus) bool {
	moved := a.ColdUntilMs - b.ColdUntilMs
	return (a.ColdUntilMs == 0) != (b.ColdUntilMs == 0) || moved > coldMargin || moved < -coldMargin
}
