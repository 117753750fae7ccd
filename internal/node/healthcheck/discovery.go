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
	// listCallCost is how much a call that a reading of the list took delays the next
	// reading: the platform limits the calls of all nodes, and charges for them.
	listCallCost = 140 * time.Millisecond
	// maxListIntervalShare is the part of DrainWithin that may pass between two
	// readings.
	maxListIntervalShare = 0.28
	// confirmInterval is how often the cores are sent a digest that confirms all
	// unchanged observations of the list. It is one message whatever the number of
	// servers, and standby readers of the list go by it.
	confirmInterval = time.Second
	// absencesUntilGone is the number of successive lists that lack a server after
	// which it is reported as gone.
	absencesUntilGone = 2
	// goneReportPeriod is for how long a server is reported as gone, so that every
	// process learns it.
	goneReportPeriod = 10 * time.Second
)

// errEmptyList means that the platform listed no servers although some are known,
// which is taken for a fault of the platform.
var errEmptyList = errors.New("the list is empty although servers are known")

// discovery is the state of the readings of the platform's list.
type discovery struct {
	inFlight    bool
	nextAt      time.Time
	failing     bool // the last reading failed
	calls       int  // that the last reading took
	absences    map[string]int
	assignment  listAssignment
	confirmedAt time.Time // when the cores were last sent a digest
	listedAt    time.Time // fleet time of the list which that digest was of
}

// listInterval returns how often the list is read: less often where it takes many
// calls, as far as drains are still noticed in time.
func (c *Checker) listInterval() time.Duration {
	longest := time.Duration(maxListIntervalShare * float64(c.config.DrainWithin))
	return max(c.config.ListInterval, min(time.Duration(c.discovery.calls)*listCallCost, longest))
}

// readList reads the platform's list.
func (c *Checker) readList(ctx context.Context) {
	c.discovery.inFlight = true
	at := c.config.FleetNow()
	c.runAsync(ctx, func() func() {
		listing, err := c.source.List(ctx)
		return func() {
			c.discovery.inFlight = false
			c.applyListing(listing, err, at)
		}
	})
}

// applyListing takes the result of a reading that began at a fleet time.
func (c *Checker) applyListing(listing port.Listing, err error, at time.Time) {
	known := c.config.View().Servers
	if err == nil && len(listing.Servers) == 0 && len(known) > 0 {
		err = errEmptyList
	}
	if err != nil {
		c.logListFailure(err)
		return
	}
	c.discovery.calls = listing.Calls
	c.logListRead(listing)
	listed := c.recordListed(listing, at)
	for name, status := range known {
		if !listed[name] && listing.Malformed[name] == "" {
			c.recordAbsence(name, status, at)
		}
	}
	for name := range c.discovery.absences {
		if known[name] == nil {
			delete(c.discovery.absences, name)
		}
	}
	c.forgetUnknown(listed, known)
	c.confirmListed(at)
}

// logListFailure logs the first of successive failures to read the list.
func (c *Checker) logListFailure(err error) {
	if !c.discovery.failing {
		c.discovery.failing = true
		c.log.Emit(events.PlatformUnresponsive, "why", err.Error())
	}
}

// logListRead logs the first reading after failures, and entries that can't be
// read.
func (c *Checker) logListRead(listing port.Listing) {
	if c.discovery.failing {
		c.discovery.failing = false
		c.log.Emit(events.PlatformRecovered)
	}
	for _, name := range slices.Sorted(maps.Keys(listing.Malformed)) {
		c.log.Emit(events.PlatformBadList, "server", name, "why", listing.Malformed[name])
	}
}

// recordListed records the servers of a listing and returns their names.
func (c *Checker) recordListed(listing port.Listing, at time.Time) map[string]bool {
	listed := map[string]bool{}
	for _, status := range listing.Servers {
		listed[status.Name] = true
		delete(c.discovery.absences, status.Name)
		if left := listing.ColdFor[status.Name]; left > 0 {
			status.ColdUntilMs = at.Add(left).UnixMilli()
		}
		c.record(serverstatus.SourceList, status, at)
	}
	return listed
}

// recordAbsence counts a known server that a list lacks, and records it as gone
// after some lists in a row, for a limited time.
func (c *Checker) recordAbsence(name string, status *wire.ServerStatus, at time.Time) {
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
	if last != nil && proto.Equal(last.status(), gone) && c.clock.Now().Sub(last.since) > goneReportPeriod {
		return
	}
	c.record(serverstatus.SourceList, gone, at)
}

// forgetUnknown removes the observations of servers that are neither listed nor
// known any more.
func (c *Checker) forgetUnknown(listed map[string]bool, known map[string]*wire.ServerStatus) {
	for key := range c.observations {
		if !listed[key.server] && known[key.server] == nil {
			delete(c.observations, key)
		}
	}
}

// confirmListed confirms all unchanged observations of the list to the cores by one
// digest.
func (c *Checker) confirmListed(at time.Time) {
	now := c.clock.Now()
	if now.Sub(c.discovery.confirmedAt) < confirmInterval {
		return
	}
	c.discovery.confirmedAt = now
	c.discovery.listedAt = at
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
		AtMs:        at.UnixMilli(),
	}
	for _, core := range c.peers.Cores() {
		c.queue(core.Name).unchanged = unchanged
	}
}

// requeueListed queues all observations of the list for a core that lacks them.
func (c *Checker) requeueListed(queue *reportQueue) {
	for key, last := range c.observations {
		if !isConfirmedByDigest(key.source, last.status()) || queue.has(last.report) {
			continue
		}
		report := proto.Clone(last.report).(*wire.Report)
		report.AtMs = max(report.AtMs, c.discovery.listedAt.UnixMilli())
		queue.add(report)
	}
}
