package healthcheck

import (
	"slices"
	"time"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	// slowStartEndToleranceMS is by how much the end of a server's slow start, which
	// every read of the list estimates anew, may shift without being reported.
	slowStartEndToleranceMS = 400
	// maxSlowStartAnswers is the number of answers up to which every change of a
	// server's answer count is reported, because the server's slow-start cap grows with
	// the count.
	maxSlowStartAnswers = 64
)

// observationKey identifies the observation of a server from one source.
type observationKey struct {
	server string
	source serverstatus.Source
}

// observation is the last report on a server from one source.
type observation struct {
	report     *wire.Report // nil before the first report
	reportedAt time.Time
	stateSince time.Time // local time of the first report in the current state
}

// status returns the status last reported, or nil if there is none.
func (o *observation) status() *wire.ServerStatus { return o.report.GetStatus() }

// record reports a status if it has changed or a repeat is due. requestedAt is the
// fleet time at which the request to the source was sent.
func (c *Checker) record(source serverstatus.Source, status *wire.ServerStatus, requestedAt time.Time) {
	key := observationKey{status.Name, source}
	now := c.clock.Now()
	last := c.observations[key]
	if last == nil {
		last = &observation{stateSince: now}
		c.observations[key] = last
	} else if !isChanged(last.status(), status) && !c.isRepetitionDue(source, last, status, now) {
		return
	}
	c.logObservation(source, last.status(), status)
	if last.report == nil || last.status().State != status.State {
		last.stateSince = now
	}
	last.reportedAt = now
	c.reportCounter++
	last.report = &wire.Report{
		Watcher:     serverstatus.WatcherID(c.config.Self, source),
		Server:      status.Name,
		Incarnation: c.config.Incarnation,
		Counter:     c.reportCounter,
		Status:      status,
		AtMs:        requestedAt.UnixMilli(),
	}
	c.config.ApplyReport(last.report)
	for _, core := range c.peers.Cores() {
		c.coreQueue(core.Name).enqueue(last.report)
	}
}

// isRepetitionDue reports whether an unchanged status must be reported again to stay
// fresh at the cores.
func (c *Checker) isRepetitionDue(source serverstatus.Source, last *observation, status *wire.ServerStatus, now time.Time) bool {
	return !isConfirmedByDigest(source, status) && now.Sub(last.reportedAt) >= serverstatus.RepeatInterval(c.serverCount)
}

// isConfirmedByDigest reports whether an unchanged status is confirmed by the digest
// of the reports from the list rather than by repeats; see confirmListed.
func isConfirmedByDigest(source serverstatus.Source, status *wire.ServerStatus) bool {
	return source == serverstatus.SourceList && status.State != wire.ServerState_SERVER_STATE_GONE
}

// isChanged reports whether a status differs from the previous one in anything but
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

// isEntryChanged reports whether a field that comes from the platform's list differs.
func isEntryChanged(previous, status *wire.ServerStatus) bool {
	return previous.Address != status.Address ||
		previous.Region != status.Region ||
		previous.Zone != status.Zone ||
		previous.Kind != status.Kind ||
		!slices.Equal(previous.Services, status.Services)
}

// isSlowStartChanged reports whether the end of a server's slow start differs by more
// than the tolerance, or the answer count of a server that has answered few requests.
func isSlowStartChanged(previous, status *wire.ServerStatus) bool {
	shiftMS := previous.ColdUntilMs - status.ColdUntilMs
	isEndChanged := (previous.ColdUntilMs == 0) != (status.ColdUntilMs == 0) || shiftMS > slowStartEndToleranceMS || shiftMS < -slowStartEndToleranceMS
	return isEndChanged || previous.Answered != status.Answered && previous.Answered < maxSlowStartAnswers
}

// stateEvents holds the event that is logged when a server enters a state.
var stateEvents = map[wire.ServerState]events.Event{
	wire.ServerState_SERVER_STATE_READY:    events.ServerReady,
	wire.ServerState_SERVER_STATE_COLD:     events.ServerWarmingUp,
	wire.ServerState_SERVER_STATE_DRAINING: events.ServerDraining,
	wire.ServerState_SERVER_STATE_LEAVING:  events.ServerTerminating,
	wire.ServerState_SERVER_STATE_GONE:     events.ServerRemoved,
}

// logObservation logs the first contact with an incarnation of a server, and changes
// of the server's state.
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
