package follower

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	// maxSmallRoster is the size of the largest roster of which every member is
	// pinged at each interval. In a larger roster only one member, in turn, is
	// pinged every intervalsPerSparsePing intervals, in addition to a few members
	// that did not answer, so that the cost of a node does not grow with the fleet:
	// each of these pings opens a connection. While the majority of cores is lost
	// (see lostCoreMajority), all members are pinged once per half of a TTL.
	maxSmallRoster         = 32
	intervalsPerSparsePing = 4
	// maxRetriedPings bounds the unanswered members of a large roster that are
	// pinged again at each interval.
	maxRetriedPings = 2
	// maxPingsInFlight bounds the connections that are opened at the same time.
	maxPingsInFlight = 64
)

// pinger schedules the pings of the members of the roster.
type pinger struct {
	queue           []string  // members still to be pinged
	inFlight        int       // pings that have not completed
	cursor          int       // index on the roster of the member that was last selected in turn
	sparseIntervals int       // ping intervals without a full round of a large roster
	roundStartedAt  time.Time // when the last full round of a large roster was queued
}

// advanceCursor moves the cursor to the next member of the roster.
func (p *pinger) advanceCursor(roster []string) { p.cursor = (p.cursor + 1) % len(roster) }

// queueAll replaces the queue by all members of the roster.
func (p *pinger) queueAll(roster []string) { p.queue = append(p.queue[:0], roster...) }

// queueSparse replaces the queue by the members to retry and, every
// intervalsPerSparsePing intervals, the next member in turn.
func (p *pinger) queueSparse(roster, retried []string) {
	p.queue = p.queue[:0]
	p.sparseIntervals++
	if p.sparseIntervals%intervalsPerSparsePing == 0 {
		p.advanceCursor(roster)
		p.queue = append(p.queue, roster[p.cursor])
	}
	p.queue = append(p.queue, retried...)
}

// queueFullRound queues all members of the roster, starting with the next in turn.
func (p *pinger) queueFullRound(roster []string, now time.Time) {
	p.advanceCursor(roster)
	p.queue = append(p.queue, roster[p.cursor:]...)
	p.queue = append(p.queue, roster[:p.cursor]...)
	p.roundStartedAt = now
}

// Ping answers a peer's ping with the version that this front has confirmed. The
// error is always nil.
func (f *Follower) Ping(_ context.Context, req *wire.PingRequest) (*wire.PingResponse, error) {
	if !req.Unconfirmed {
		f.post(func() {
			f.holder.ObserveVersion(req.Epoch)
			f.updateAuthority()
		})
	}
	confirmed := f.confirmed.Load()
	self := f.config.Self()
	return &wire.PingResponse{
		Name:        f.name,
		Incarnation: self.Incarnation,
		Epoch:       confirmed.version,
		Unconfirmed: confirmed.unconfirmed,
		Ready:       self.Ready,
		Leaving:     self.Leaving,
	}, nil
}

// pingMembers pings the members that are due in this interval; see maxSmallRoster.
func (f *Follower) pingMembers() {
	now := f.clock.Now()
	roster := f.view.Load().Roster
	switch {
	case len(roster) <= maxSmallRoster:
		f.pinger.queueAll(roster)
	case !f.lostCoreMajority(now):
		f.pinger.queueSparse(roster, f.membersToRetry())
	case len(f.pinger.queue) == 0 && now.Sub(f.pinger.roundStartedAt) >= f.config.LeaseTTL/2:
		f.pinger.queueFullRound(roster, now)
	}
	f.sendQueuedPings()
	f.updateAuthority()
}

// sendQueuedPings sends queued pings while fewer than maxPingsInFlight are in
// flight.
func (f *Follower) sendQueuedPings() {
	for len(f.pinger.queue) > 0 && f.pinger.inFlight < maxPingsInFlight {
		name := f.pinger.queue[0]
		f.pinger.queue = f.pinger.queue[1:]
		f.sendPing(name)
	}
}

// membersToRetry returns up to maxRetriedPings members whose last ping was not
// answered. Without the retry, a member of a large roster that missed one ping
// would count as unresponsive until its next turn.
func (f *Follower) membersToRetry() []string {
	var names []string
	for name := range f.membership.unansweredSince {
		if len(names) == maxRetriedPings {
			break
		}
		if _, member := f.configuration.state.Roster[name]; member {
			names = append(names, name)
		}
	}
	return names
}

// lostCoreMajority reports whether half of the lease has passed without a renewal
// while at least half of the voting cores fail to answer, so that those that answer
// are no majority. Slow cores don't count as failing. It returns false for a front
// that no majority has confirmed since its start, because answers from the roster
// give such a front no authority.
func (f *Follower) lostCoreMajority(now time.Time) bool {
	if f.holder.Unconfirmed() {
		return false
	}
	authority := f.holder.Authority(now)
	if authority.Granted && authority.Source == lease.SourceLease && authority.Until.Sub(now) >= f.config.LeaseTTL/2 {
		return false
	}
	voters := f.voters()
	failing := 0
	for _, core := range voters {
		if f.renewals.isFailing(core) {
			failing++
		}
	}
	return failing*2 >= len(voters)
}

// sendPing sends a ping to a peer unless one is in flight.
func (f *Follower) sendPing(name string) {
	peer, known := f.peers.Process(name)
	if name == f.name || !known || f.membership.pingsOf(name).inFlight {
		return
	}
	f.membership.ensurePings(name).inFlight = true
	f.pinger.inFlight++
	self := f.config.Self()
	confirmed := f.confirmed.Load()
	sentAt := f.clock.Now()
	if _, unanswered := f.membership.unansweredSince[name]; !unanswered {
		f.membership.unansweredSince[name] = sentAt
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, f.config.PingInterval)
		defer cancel()
		resp, err := f.peers.Client(peer.Address).Ping(ctx, connect.NewRequest(&wire.PingRequest{
			From:        self.Name,
			Incarnation: self.Incarnation,
			Epoch:       confirmed.version,
			Unconfirmed: confirmed.unconfirmed,
		}))
		f.post(func() {
			if err != nil {
				f.handlePingResult(peer, sentAt, nil, err)
			} else {
				f.handlePingResult(peer, sentAt, resp.Msg, nil)
			}
		})
	}()
}

// handlePingResult records the result of a ping and sends the pings that waited for
// its end.
func (f *Follower) handlePingResult(peer *wire.Process, sentAt time.Time, resp *wire.PingResponse, err error) {
	name := peer.Name
	pings := f.membership.ensurePings(name)
	pings.inFlight = false
	f.pinger.inFlight--
	switch {
	case err == nil && resp.Name == name:
		f.recordPingAnswer(peer, sentAt, resp)
	case err != nil && port.IsConnectionRefused(err):
		f.recordPingRefusal(name)
	case f.clock.Now().Sub(f.membership.unansweredSince[name]) >= pingFreshFor && pings.refusedAt.IsZero():
		f.recordReachability(name, reachabilityUnresponsive, 0)
	}
	if pings.pingAgain {
		pings.pingAgain = false
		f.sendPing(name)
	}
	f.sendQueuedPings()
	f.updateAuthority()
}

// recordPingAnswer records a peer's answer to a ping that was sent at sentAt.
func (f *Follower) recordPingAnswer(peer *wire.Process, sentAt time.Time, resp *wire.PingResponse) {
	pings := f.membership.ensurePings(peer.Name)
	pings.answeredAt = f.clock.Now()
	pings.refusedAt = time.Time{}
	delete(f.membership.unansweredSince, peer.Name)
	f.recordReachability(peer.Name, reachabilityAnswering, resp.Incarnation)
	f.holder.RecordPingResponse(resp.Name, resp.Incarnation, sentAt, resp.Epoch, resp.Unconfirmed)
	pings.readiness = readiness{
		incarnation: resp.Incarnation,
		ready:       resp.Ready,
		leaving:     resp.Leaving,
		receivedAt:  f.clock.Now(),
	}
	if resp.Epoch > f.configuration.state.Version && !resp.Unconfirmed {
		f.fetch(peer.Address)
	}
}

// recordPingRefusal records that a connection to a peer was refused: by its machine, if the
// process has ended, or by a partition.
func (f *Follower) recordPingRefusal(name string) {
	pings := f.membership.ensurePings(name)
	pings.answeredAt = time.Time{}
	pings.refusedAt = f.clock.Now()
	f.membership.unansweredSince[name] = time.Time{}
	f.recordReachability(name, reachabilityRefusing, 0)
	f.holder.RecordRefusal(name)
}

// pingSmallRoster pings all members of a small roster immediately after a new
// version was adopted. Otherwise, if all processes with the new version fail next,
// the remaining members could continue to serve without it under the authority of
// the roster.
func (f *Follower) pingSmallRoster() {
	roster := f.view.Load().Roster
	if len(roster) > maxSmallRoster || f.holder.Unconfirmed() {
		return
	}
	for _, name := range roster {
		pings := f.membership.ensurePings(name)
		pings.pingAgain = pings.inFlight
		f.sendPing(name)
	}
}
