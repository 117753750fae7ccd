package healthcheck

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	// listIntervalPerCall is the interval between reads per call that the last read
	// took: the platform limits the total rate of calls by all nodes, and charges for
	// them.
	listIntervalPerCall = 140 * time.Millisecond
	// maxListIntervalFraction bounds that interval, as a fraction of DrainWithin.
	maxListIntervalFraction = 0.28
	// confirmInterval is the minimum interval between digests, which confirm to the
	// cores that the reports from the list are unchanged. A digest is a single message
	// for any number of servers, and standby regions use its time to determine whether
	// the list is still being read.
	confirmInterval = time.Second
	// absencesUntilGone is the number of consecutive lists without a server after
	// which the server is reported as gone.
	absencesUntilGone = 2
	// goneReportPeriod is how long the report that a server is gone is repeated, so
	// that it reaches every process.
	goneReportPeriod = 10 * time.Second
)

// errEmptyList means that the platform returned an empty list although the view
// contains servers, which is treated as a failure of the platform.
var errEmptyList = errors.New("platform returned an empty server list although the fleet has servers")

// discovery is the state of the reads of the platform's list.
type discovery struct {
	inFlight         bool
	nextReadAt       time.Time
	failing          bool           // the last read failed
	lastReadCalls    int            // number of calls that the last read took
	absences         map[string]int // consecutive lists without a server, by name
	assignment       listAssignment
	lastDigestAt     time.Time // local time at which the last digest was queued
	lastDigestListAt time.Time // fleet time of the read that it confirms
}

// listInterval returns the time between two reads of the list. It grows with the
// number of calls that a read takes, up to a bound within which drains are still
// detected in time.
func (c *Checker) listInterval() time.Duration {
	longest := time.Duration(maxListIntervalFraction * float64(c.config.DrainWithin))
	return max(c.config.ListInterval, min(time.Duration(c.discovery.lastReadCalls)*listIntervalPerCall, longest))
}

// readList starts a read of the platform's list.
func (c *Checker) readList(ctx context.Context) {
	c.discovery.inFlight = true
	requestedAt := c.config.FleetNow()
	c.runAsync(ctx, func() func() {
		listing, err := c.source.List(ctx)
		return func() {
			c.discovery.inFlight = false
			c.applyListing(listing, err, requestedAt)
		}
	})
}

// applyListing handles the result of a read of the list that was started at the
// fleet time requestedAt.
func (c *Checker) applyListing(listing port.Listing, err error, requestedAt time.Time) {
	viewServers := c.config.View().Servers
	if err == nil && len(listing.Servers) == 0 && len(viewServers) > 0 {
		err = errEmptyList
	}
	if err != nil {
		c.logListFailure(err)
		return
	}
	c.discovery.lastReadCalls = listing.CallCount
	c.logListRead(listing)
	listed := c.recordListed(listing, requestedAt)
	for name, status := range viewServers {
		if !listed[name] && listing.Malformed[name] == "" {
			c.recordAbsence(name, status, requestedAt)
		}
	}
	for name := range c.discovery.absences {
		if viewServers[name] == nil {
			delete(c.discovery.absences, name)
		}
	}
	c.pruneObservations(listed, viewServers)
	c.confirmListed(requestedAt)
}

// logListFailure logs the first of consecutive failures to read the list.
func (c *Checker) logListFailure(err error) {
	if !c.discovery.failing {
		c.discovery.failing = true
		c.log.Emit(events.PlatformUnresponsive, "why", err.Error())
	}
}

// logListRead logs the first successful read after failures, and the malformed
// entries of the list.
func (c *Checker) logListRead(listing port.Listing) {
	if c.discovery.failing {
		c.discovery.failing = false
		c.log.Emit(events.PlatformRecovered)
	}
	for _, name := range slices.Sorted(maps.Keys(listing.Malformed)) {
		c.log.Emit(events.PlatformBadList, "server", name, "why", listing.Malformed[name])
	}
}

// recordListed records the servers of a listing and returns the set of their names.
func (c *Checker) recordListed(listing port.Listing, requestedAt time.Time) map[string]bool {
	listed := map[string]bool{}
	for _, status := range listing.Servers {
		listed[status.Name] = true
		delete(c.discovery.absences, status.Name)
		if slowStartLeft := listing.WarmUpRemaining[status.Name]; slowStartLeft > 0 {
			status.ColdUntilMs = requestedAt.Add(slowStartLeft).UnixMilli()
		}
		c.record(serverstatus.SourceList, status, requestedAt)
	}
	return listed
}

// recordAbsence counts a list that lacks a server of the view. After
// absencesUntilGone consecutive lists it records the server as gone, and repeats that
// for goneReportPeriod.
func (c *Checker) recordAbsence(name string, status *wire.ServerStatus, requestedAt time.Time) {
	c.discovery.absences[name]++
	if c.discovery.absences[name] < absencesUntilGone {
		return
	}
	gone := &wire.ServerStatus{
		Name:     name,
		Address:  status.Address,
		Kind:     status.Kind,
		Services: status.Services,
		Region:   status.Region,
		Zone:     status.Zone,
		State:    wire.ServerState_SERVER_STATE_GONE,
	}
	last := c.observations[observationKey{name, serverstatus.SourceList}]
	if last != nil && proto.Equal(last.status(), gone) && c.clock.Now().Sub(last.stateSince) > goneReportPeriod {
		return
	}
	c.record(serverstatus.SourceList, gone, requestedAt)
}

// pruneObservations removes the observations of servers that are in neither the list
// nor the view.
func (c *Checker) pruneObservations(listed map[string]bool, viewServers map[string]*wire.ServerStatus) {
	for key := range c.observations {
		if !listed[key.server] && viewServers[key.server] == nil {
			delete(c.observations, key)
		}
	}
}

// confirmListed queues for each core a digest of the last reports from the list,
// which confirms those that have not changed.
func (c *Checker) confirmListed(requestedAt time.Time) {
	now := c.clock.Now()
	if now.Sub(c.discovery.lastDigestAt) < confirmInterval {
		return
	}
	c.discovery.lastDigestAt = now
	c.discovery.lastDigestListAt = requestedAt
	var digest serverstatus.Digest
	for key, last := range c.observations {
		if key.source == serverstatus.SourceList {
			digest.AddReport(last.report)
		}
	}
	unchanged := &wire.Unchanged{
		Watcher:     serverstatus.WatcherID(c.config.Self, serverstatus.SourceList),
		Incarnation: c.config.Incarnation,
		Digest:      uint64(digest),
		AtMs:        requestedAt.UnixMilli(),
	}
	for _, core := range c.peers.Cores() {
		c.coreQueue(core.Name).unchanged = unchanged
	}
}

// requeueListed queues all reports that a digest confirms for a core that does not have
// them. They carry at least the time of the last digest.
func (c *Checker) requeueListed(queue *reportQueue) {
	for key, last := range c.observations {
		if !isConfirmedByDigest(key.source, last.status()) || queue.contains(last.report) {
			continue
		}
		report := proto.Clone(last.report).(*wire.Report)
		report.AtMs = max(report.AtMs, c.discovery.lastDigestListAt.UnixMilli())
		queue.enqueue(report)
	}
}
