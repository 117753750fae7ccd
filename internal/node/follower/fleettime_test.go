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

// skewedCore is a core whose clock differs by skew from this process's, and which
// answers after a delay.
type skewedCore struct {
	wireconnect.UnimplementedPeerHandler
	skew, delay time.Duration
	name        string
}

func (c skewedCore) Renew(_ context.Context, _ *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	<-time.After(c.delay)
	return connect.NewResponse(&wire.RenewResponse{Core: c.name, TimeUs: time.Now().Add(c.skew).UnixMicro()}), nil
}

type skewedCores map[string]skewedCore

func (c skewedCores) Process(name string) (*wire.Process, bool) {
	return &wire.Process{
		Name:    name,
		Address: name,
		Core:    true,
		Voters:  []string{"c1", "c2", "c3"},
	}, true
}

func (c skewedCores) Cores() []*wire.Process { return port.CoresOf(c.Processes()) }

func (c skewedCores) Processes() (processes []*wire.Process) {
	for _, name := range []string{"c1", "c2", "c3"} {
		process, _ := c.Process(name)
		processes = append(processes, process)
	}
	return processes
}

func (c skewedCores) Client(address string) wireconnect.PeerClient { return c[address] }

func TestFleetTimeWaitsForEveryCoresClock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		peers := skewedCores{"c1": {name: "c1", skew: time.Hour}, "c2": {name: "c2", delay: 200 * time.Millisecond}, "c3": {name: "c3", delay: 300 * time.Millisecond}}
		front := follower.New(follower.Config{
			Self:           func() *wire.Process { return &wire.Process{Name: "f1", Front: true} },
			LeaseTTL:       2 * time.Second,
			RenewInterval:  500 * time.Millisecond,
			PingInterval:   500 * time.Millisecond,
			FeedWait:       time.Second,
			KnownProcesses: func() []port.KnownProcess { return nil },
			CoreStaleAfter: time.Second,
		}, peers, clock.System(), events.Discard)
		go func() { _ = front.Serve(ctx) }()
		<-time.After(100 * time.Millisecond)
		if front.FleetTimeReady() {
			t.Error("fleet time is ready although only one core's clock was measured, which is wrong by an hour")
		}
		<-time.After(300 * time.Millisecond)
		if deviation := time.Until(front.FleetNow()); !front.FleetTimeReady() || deviation > time.Second || deviation < -time.Second {
			t.Errorf("after all clocks were measured: ready %v, deviation %s", front.FleetTimeReady(), deviation)
		}
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
}
