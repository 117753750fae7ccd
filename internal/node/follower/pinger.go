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
	// smallRoster is the largest roster of which every member is pinged at each
	// interval. Of a larger one only one member is pinged, in turn and at each
	// sparsePingIntervals intervals, with a few that did not answer, so that the cost
	// of a node does not grow with the fleet: each of these pings opens a
	// connection. While control is lost (see controlLost) all members are pinged once
	// in half a TTL.
	smallRoster         = 32
	sparsePingIntervals = 4
	// retriedPings is how many unanswered members of a large roster are pinged again
	// at each interval.
	retriedPings = 2
	// maxPingsInFlight bounds the connections that are opened at once.
	maxPingsInFlight = 64
)

// pinger decides whom to ping and when.
type pinger struct {
	queue          []string  // members still to be pinged
	inFlight       int       // pings that wait for their answers
	cursor         int       // on the roster: the last one whose turn came
	idleIntervals  int       // in which a large roster was not pinged as a whole
	roundStartedAt time.Time // when the last round of a whole large roster began
}

// nextTurn moves the cursor to the next member of the roster.
func (p *pinger) nextTurn(roster []string) { p.cursor = (p.cursor + 1) % len(roster) }

// queueAll queues all members of the roster.
func (p *pinger) queueAll(roster []string) { p.queue = append(p.queue[:0], roster...) }

// queueSparse queues the member whose turn it is, if any, and some others.
func (p *pinger) queueSparse(roster, others []string) {
	p.queue = p.queue[:0]
	p.idleIntervals++
	if p.idleIntervals%sparsePingIntervals == 0 {
		p.nextTurn(roster)
		p.queue = append(p.queue, roster[p.cursor])
	}
	p.queue = append(p.queue, others...)
}

// queueRound queues all members of the roster, from the one whose turn it is.
func (p *pinger) queueRound(roster []string, now time.Time) {
	p.nextTurn(roster)
	p.queue = append(p.queue, roster[p.cursor:]...)
	p.queue = append(p.queue, roster[:p.cursor]...)
	p.roundStartedAt = now
}

// Ping answers a peer with the version that this front has confirmed.
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

// pingDue pings the members whose turn it is; see smallRoster.
func (f *Follower) pingDue() {
	now := f.clock.Now()
	roster := f.view.Load().Roster
	switch {
	case len(roster) <= smallRoster:
		f.pinger.queueAll(roster)
	case !f.controlLost(now):
		f.pinger.queueSparse(roster, f.someUnanswered())
	case len(f.pinger.queue) == 0 && now.Sub(f.pinger.roundStartedAt) >= f.config.LeaseTTL/2:
		f.pinger.queueRound(roster, now)
	}
	f.sendQueuedPings()
	f.updateAuthority()
}

// sendQueuedPings pings the queued members, as many at once as are allowed.
func (f *Follower) sendQueuedPings() {
	for len(f.pinger.queue) > 0 && f.pinger.inFlight < maxPingsInFlight {
		name := f.pinger.queue[0]
		f.pinger.queue = f.pinger.queue[1:]
		f.ping(name)
	}
}

// someUnanswered returns a few members whose last ping was not answered, so that a
// peer of a large roster doesn't count as unresponsive until its turn comes again.
func (f *Follower) someUnanswered() []string {
	var names []string
	for name := range f.membership.unansweredSince {
		if len(names) == retriedPings {
			break
		}
		if _, member := f.configuration.state.Roster[name]; member {
			names = append(names, name)
		}
	}
	return names
}

// controlLost reports whether half of the lease has passed without a renewal and a
// majority of the cores failed to answer. Cores that are merely late don't count
// as failing. A front that no majority has confirmed since its start has no control
// to lose: what it hears from its roster gives it no authority.
func (f *Follower) controlLost(now time.Time) bool {
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

// ping sends a ping to a peer, unless one is in flight.
func (f *Follower) ping(name string) {
	peer, known := f.peers.Process(name)
	if name == f.name || !known || f.membership.pinged(name).inFlight {
		return
	}
	f.membership.ping(name).inFlight = true
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
				f.completePing(peer, sentAt, nil, err)
			} else {
				f.completePing(peer, sentAt, resp.Msg, nil)
			}
		})
	}()
}

// completePing takes the result of a ping.
func (f *Follower) completePing(peer *wire.Process, sentAt time.Time, resp *wire.PingResponse, err error) {
	name := peer.Name
	pings := f.membership.ping(name)
	pings.inFlight = false
	f.pinger.inFlight--
	switch {
	case err == nil && resp.Name == name:
		f.recordAnswer(peer, sentAt, resp)
	case err != nil && port.IsConnectionRefused(err):
		f.recordRefusal(name)
	case f.clock.Now().Sub(f.membership.unansweredSince[name]) >= pingFreshFor && pings.refusedAt.IsZero():
		f.recordReachability(name, unresponsive, 0)
	}
	if pings.pingAgain {
		pings.pingAgain = false
		f.ping(name)
	}
	f.sendQueuedPings()
	f.updateAuthority()
}

// recordAnswer takes a peer's answer to a ping that was sent at an instant.
func (f *Follower) recordAnswer(peer *wire.Process, sentAt time.Time, resp *wire.PingResponse) {
	pings := f.membership.ping(peer.Name)
	pings.answeredAt = f.clock.Now()
	pings.refusedAt = time.Time{}
	delete(f.membership.unansweredSince, peer.Name)
	f.recordReachability(peer.Name, answersPings, resp.Incarnation)
	f.holder.RecordPingResponse(resp.Name, resp.Incarnation, sentAt, resp.Epoch, resp.Unconfirmed)
	pings.readiness = readiness{
		incarnation: resp.Incarnation,
		ready:       resp.Ready,
		leaving:     resp.Leaving,
		at:          f.clock.Now(),
	}
	if resp.Epoch > f.configuration.state.Version && !resp.Unconfirmed {
		f.fetch(peer.Address)
	}
}

// recordRefusal takes that a peer's machine refused a connection.
func (f *Follower) recordRefusal(name string) {
	pings := f.membership.ping(name)
	pings.answeredAt = time.Time{}
	pings.refusedAt = f.clock.Now()
	f.membership.unansweredSince[name] = time.Time{}
	f.recordReachability(name, refusesConnections, 0)
	f.holder.RecordRefusal(name, f.clock.Now())
}

// pingSmallRoster pings all members of a small roster at once after a new version
// was adopted, so that none of them goes on by the roster without it when all who
// know it are lost next.
func (f *Follower) pingSmallRoster() {
	roster := f.view.Load().Roster
	if len(roster) > smallRoster || f.holder.Unconfirmed() {
		return
	}
	for _, name := range roster {
		pings := f.membership.ping(name)
		pings.pingAgain = pings.inFlight
		f.ping(name)
	}
}
