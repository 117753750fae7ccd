package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// coreClock is a core whose clock differs by step from this process's, and which
// answers after a delay.
type coreClock struct {
	wireconnect.UnimplementedPeerHandler
	step, delay time.Duration
	name        string
}

func (c coreClock) Renew(_ context.Context, _ *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	<-time.After(c.delay)
	return connect.NewResponse(&wire.RenewResponse{Core: c.name, TimeUs: time.Now().Add(c.step).UnixMicro()}), nil
}

type cores map[string]coreClock

func (c cores) Process(name string) (*wire.Process, bool) {
	return &wire.Process{
		Name:    name,
		Address: name,
		Core:    true,
		Voters:  []string{"c1", "c2", "c3"},
	}, true
}

func (c cores) Cores() []*wire.Process { return port.CoresOf(c.Processes()) }

func (c cores) Processes() (all []*wire.Process) {
	for _, name := range []string{"c1", "c2", "c3"} {
		p, _ := c.Process(name)
		all = append(all, p)
	}
	return all
}

func (c cores) Client(address string) wireconnect.PeerClient { return c[address] }

func TestFleetTimeWaitsForEveryCoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		peers := cores{"c1": {name: "c1", step: time.Hour}, "c2": {name: "c2", delay: 200 * time.Millisecond}, "c3": {name: "c3", delay: 300 * time.Millisecond}}
		tested := follower.New(follower.Config{
			Self:           func() *wire.Process { return &wire.Process{Name: "f1", Front: true} },
			LeaseTTL:       2 * time.Second,
			RenewInterval:  500 * time.Millisecond,
			PingInterval:   500 * time.Millisecond,
			FeedWait:       time.Second,
			KnownProcesses: func() []port.KnownProcess { return nil },
			CoreStaleAfter: time.Second,
		}, peers, clock.System(), events.Discard)
		go func() { _ = tested.Serve(ctx) }()
		<-time.After(100 * time.Millisecond)
		if tested.FleetTimeReady() {
			t.Error("one clock, which is wrong, is decided by")
		}
		<-time.After(300 * time.Millisecond)
		if off := time.Until(tested.FleetNow()); !tested.FleetTimeReady() || off > time.Second || off < -time.Second {
			t.Errorf("with every clock known: timed %v, off by %s", tested.FleetTimeReady(), off)
		}
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
}
