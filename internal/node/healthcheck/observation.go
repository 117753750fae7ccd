package healthcheck

import (
	"slices"
	"time"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	// coldMarginMS is by how many milliseconds the end of a server's cold period,
	// which each list estimates again, may move without being reported.
	coldMarginMS = 400
	// slowStartAnswers is the number of answers up to which a server's count of
	// answers is reported at each change, as its cap grows with it.
	slowStartAnswers = 64
)

// observationKey identifies what is observed.
type observationKey struct {
	server string
	source serverstatus.Source
}

// observation is what was last reported of a server from one source.
type observation struct {
	report *wire.Report // nil before the first
	sentAt time.Time
	since  time.Time // when the server was first observed in this state
}

// status returns what was reported last, or nil.
func (o *observation) status() *wire.ServerStatus { return o.report.GetStatus() }

// record reports an observation that changed or whose repetition is due. at is the
// fleet time at which the question to the source was sent.
func (c *Checker) record(source serverstatus.Source, status *wire.ServerStatus, at time.Time) {
	key := observationKey{status.Name, source}
	now := c.clock.Now()
	last := c.observations[key]
	if last == nil {
		last = &observation{since: now}
		c.observations[key] = last
	} else if !isChanged(last.status(), status) && !c.isRepetitionDue(source, last, status, now) {
		return
	}
	c.logObservation(source, last.status(), status)
	if last.report == nil || last.status().State != status.State {
		last.since = now
	}
	last.sentAt = now
	c.reportCounter++
	last.report = &wire.Report{
		Watcher:     serverstatus.WatcherID(c.config.Self, source),
		Server:      status.Name,
		Incarnation: c.config.Incarnation,
		Counter:     c.reportCounter,
		Status:      status,
		AtMs:        at.UnixMilli(),
	}
	c.config.Report(last.report)
	for _, core := range c.peers.Cores() {
		c.queue(core.Name).add(last.report)
	}
}

// isRepetitionDue reports whether an unchanged observation is to be reported once
// more, so that the cores don't drop it as stale.
func (c *Checker) isRepetitionDue(source serverstatus.Source, last *observation, status *wire.ServerStatus, now time.Time) bool {
	return !isConfirmedByDigest(source, status) && now.Sub(last.sentAt) >= serverstatus.RepeatInterval(c.serverCount)
}

// isConfirmedByDigest reports whether an unchanged observation is confirmed by the
// digest of all observations of the list; see confirmListed.
func isConfirmedByDigest(source serverstatus.Source, status *wire.ServerStatus) bool {
	return source == serverstatus.SourceList && status.State != wire.ServerState_SERVER_STATE_GONE
}

// isChanged reports whether a status differs from the previous one in more than
// load.
func isChanged(previous, status *wire.ServerStatus) bool {
	if previous == nil {
		return true
	}
	return isHealthChanged(previous, status) || isEntryChanged(previous, status) || isSlowStartChanged(previous, status)
}

func isHealthChanged(previous, status *wire.ServerStatus) bool {
	return previous.State != status.State ||
		previous.Reachable != status.Reachable ||
		previous.Incarnation != status.Incarnation ||
		previous.Slots != status.Slots ||
		previous.LeaveAtMs != status.LeaveAtMs
}

// isEntryChanged reports whether a server's entry in the list has changed.
func isEntryChanged(previous, status *wire.ServerStatus) bool {
	return previous.Address != status.Address ||
		previous.Region != status.Region ||
		previous.Zone != status.Zone ||
		previous.Kind != status.Kind ||
		!slices.Equal(previous.Services, status.Services)
}

// isSlowStartChanged reports whether a server's cold period or, while it warms up,
// its count of answers differs.
func isSlowStartChanged(previous, status *wire.ServerStatus) bool {
	moved := previous.ColdUntilMs - status.ColdUntilMs
	isColdChanged := (previous.ColdUntilMs == 0) != (status.ColdUntilMs == 0) || moved > coldMarginMS || moved < -coldMarginMS
	return isColdChanged || previous.Answered != status.Answered && previous.Answered < slowStartAnswers
}

// stateEvents are the events of a server that enters a state.
var stateEvents = map[wire.ServerState]events.Event{
	wire.ServerState_SERVER_STATE_READY:    events.ServerReady,
	wire.ServerState_SERVER_STATE_COLD:     events.ServerWarmingUp,
	wire.ServerState_SERVER_STATE_DRAINING: events.ServerDraining,
	wire.ServerState_SERVER_STATE_LEAVING:  events.ServerTerminating,
	wire.ServerState_SERVER_STATE_GONE:     events.ServerRemoved,
}

// logObservation logs a restart of a server and a change of its state.
func (c *Checker) logObservation(source serverstatus.Source, previous, status *wire.ServerStatus) {
	by := "itself"
	if source == serverstatus.SourceList {
		by = "the platform"
	}
	if source == serverstatus.SourceServer && status.Reachable && previous.GetIncarnation() != status.Incarnation {
		c.log.Emit(events.ServerDiscovered, "server", status.Name, "incarnation", status.Incarnation)
	}
	if event, isLogged := stateEvents[status.State]; isLogged && previous.GetState() != status.State {
		c.log.Emit(event, "server", status.Name, "by", by)
	}
}
