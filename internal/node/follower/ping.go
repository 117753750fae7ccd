package follower

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/decision/lease"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// A roster of up to pingWhole members is pinged as a whole at each interval.
// Of a larger one only one member is, in turn and at each pingSeldom intervals, and
// a few that did not answer, while the lease stands, so that the cost of a node does
// not grow with the fleet: each of these pings opens a connection. Once no majority of cores has renewed for half of the TTL, and a
// majority fails to answer, all are, once in half a TTL, pingBurst at once.
const (
	pingWhole  = 32
	pingSeldom = 4
	pingAgain  = 2
	pingBurst  = 64
)

// Ping answers a peer with the version that this front has confirmed.
func (f *Follower) Ping(ctx context.Context, req *wire.PingRequest) (*wire.PingResponse, error) {
	if !req.Unconfirmed {
		f.post(func() { f.holder.ObserveVersion(req.Epoch); f.judge() })
	}
	s, own := f.pinged.Load(), f.config.Self()
	return &wire.PingResponse{Name: f.name, Incarnation: own.Incarnation, Epoch: s.version, Unconfirmed: s.unconfirmed,
		Ready: own.Ready, Leaving: own.Leaving}, nil
}

// pingAll pings those whose turn it is; see pingWhole.
func (f *Follower) pingAll() {
	now := f.clock.Now()
	roster := f.view.Load().Roster
	switch {
	case len(roster) <= pingWhole:
		f.wave = append(f.wave[:0], roster...)
	case !f.wavering(now):
		f.wave = f.wave[:0]
		if f.rested++; f.rested%pingSeldom == 0 {
			f.turn = (f.turn + 1) % len(roster)
			f.wave = append(f.wave, roster[f.turn])
		}
		f.wave = append(f.wave, f.unanswered()...)
	case len(f.wave) == 0 && now.Sub(f.waved) >= f.config.LeaseTTL/2:
		f.turn = (f.turn + 1) % len(roster)
		f.wave = append(append(f.wave, roster[f.turn:]...), roster[:f.turn]...)
		f.waved = now
	}
	f.surge()
	f.judge()
}

// surge pings who is left of the wave, pingBurst at once.
func (f *Follower) surge() {
	for len(f.wave) > 0 && len(f.pinging) < pingBurst {
		name := f.wave[0]
		f.wave = f.wave[1:]
		f.ping(name)
	}
}

// unanswered returns a few of those whose last ping was not answered, so that a
// peer of a large roster doesn't count as silent until its turn comes again.
func (f *Follower) unanswered() (names []string) {
	for name := range f.asked {
		if len(names) == pingAgain {
			break
		}
		if _, member := f.state.Roster[name]; member {
			names = append(names, name)
		}
	}
	return names
}

// wavering tells whether the lease is half way to its lapse and a majority of
// the cores failed to answer; those that are merely late set off no wave.
func (f *Follower) wavering(now time.Time) bool {
	verdict := f.holder.Authority(now)
	if verdict.Granted && verdict.Source == lease.SourceLease && verdict.Until.Sub(now) >= f.config.LeaseTTL/2 {
		return false
	}
	voters, failing := f.voters(), 0
	for _, core := range voters {
		if f.failing[core] {
			failing++
		}
	}
	return failing*2 >= len(voters)
}

func (f *Follower) ping(name string) {
	peer, known := f.peers.Process(name)
	if name == f.name || !known || f.pinging[name] {
		return
	}
	f.pinging[name] = true
	own, s, sent := f.config.Self(), f.pinged.Load(), f.clock.Now()
	if _, open := f.asked[name]; !open {
		f.asked[name] = sent
	}
	go func() {
		ctx, cancel := context.WithTimeout(f.ctx, f.config.PingEvery)
		defer cancel()
		resp, err := f.peers.Client(peer.Address).Ping(ctx, connect.NewRequest(&wire.PingRequest{
			From: own.Name, Incarnation: own.Incarnation, Epoch: s.version, Unconfirmed: s.unconfirmed}))
		f.post(func() {
			delete(f.pinging, name)
			switch {
			case err == nil && resp.Msg.Name == name:
				f.contact[name] = f.clock.Now()
				delete(f.asked, name)
				delete(f.refused, name)
				f.noticePeer(name, answers, resp.Msg.Incarnation)
				f.heard(peer, sent, resp.Msg)
			case err != nil && port.Refused(err):
				delete(f.contact, name)
				f.asked[name], f.refused[name] = time.Time{}, f.clock.Now()
				f.noticePeer(name, refuses, 0)
				f.holder.RecordRefusal(name, f.clock.Now())
			case f.clock.Now().Sub(f.asked[name]) >= pingFresh && f.refused[name].IsZero():
				f.noticePeer(name, silent, 0)
			}
			if f.tell[name] {
				f.tell[name] = false
				f.ping(name)
			}
			f.surge()
			f.judge()
		})
	}()
}

func (f *Follower) heard(peer *wire.Process, sent time.Time, resp *wire.PingResponse) {
	f.holder.RecordPingResponse(resp.Name, resp.Incarnation, sent, resp.Epoch, resp.Unconfirmed)
	f.words[resp.Name] = word{incarnation: resp.Incarnation, ready: resp.Ready, leaving: resp.Leaving, at: f.clock.Now()}
	if resp.Epoch > f.state.Version && !resp.Unconfirmed {
		f.fetch(peer.Address)
	}
}

// spread tells the peers of a small roster of a new version at once, so that none
// of them goes on by the roster without it when all who know it are lost next.
func (f *Follower) spread() {
	roster := f.view.Load().Roster
	if len(roster) > pingWhole || f.holder.Unconfirmed() {
		return
	}
	for _, name := range roster {
		f.tell[name] = f.pinging[name]
		f.ping(name)
	}
}
