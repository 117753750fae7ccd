package follower_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// feedCore is a core that answers renewals after a delay and reports each poll of
// its feed on a channel.
type feedCore struct {
	wireconnect.UnimplementedPeerHandler
	name, region string
	delay        time.Duration // of its answers to renewals
	down         bool          // fails all calls
	withoutFeed  bool          // answers renewals, but fails polls of its feed
	polled       chan string
}

func (c *feedCore) Renew(context.Context, *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	<-time.After(c.delay)
	if c.down {
		return nil, errors.New("core is down")
	}
	return connect.NewResponse(&wire.RenewResponse{Core: c.name, TimeUs: time.Now().UnixMicro()}), nil
}

func (c *feedCore) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	select {
	case c.polled <- c.name:
	case <-ctx.Done():
	}
	if c.down || c.withoutFeed {
		return nil, errors.New("feed is unavailable")
	}
	<-time.After(time.Duration(req.Msg.WaitMs) * time.Millisecond)
	return connect.NewResponse(&wire.FollowResponse{Feed: "feed of " + c.name}), nil
}

type feedCores []*feedCore

func (c feedCores) Process(name string) (*wire.Process, bool) {
	for _, core := range c {
		if core.name == name {
			return &wire.Process{
				Name:    name,
				Address: name,
				Region:  core.region,
				Core:    true,
				Voters:  []string{"c1", "c2", "c3"},
			}, true
		}
	}
	return nil, false
}

func (c feedCores) Cores() []*wire.Process { return port.CoresOf(c.Processes()) }

func (c feedCores) Processes() (processes []*wire.Process) {
	for _, core := range c {
		process, _ := c.Process(core.name)
		processes = append(processes, process)
	}
	return processes
}

func (c feedCores) Client(address string) wireconnect.PeerClient {
	for _, core := range c {
		if core.name == address {
			return core
		}
	}
	return nil
}

// firstPolledCores returns the cores that a front in region north polls first, as
// many as count, and how long after the front's start the last of these polls
// arrived.
func firstPolledCores(t *testing.T, count int, configure func(north *feedCore)) (names []string, elapsed time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		polled := make(chan string)
		cores := feedCores{
			{name: "c1", region: "south", polled: polled},
			{name: "c2", region: "north", delay: 40 * time.Millisecond, polled: polled},
			{name: "c3", region: "south", polled: polled},
		}
		configure(cores[1])
		front := follower.New(follower.Config{
			Self:           func() *wire.Process { return &wire.Process{Name: "f1", Region: "north", Front: true} },
			LeaseTTL:       2 * time.Second,
			RenewInterval:  100 * time.Millisecond,
			PingInterval:   500 * time.Millisecond,
			FeedWait:       time.Second,
			KnownProcesses: func() []port.KnownProcess { return nil },
			CoreStaleAfter: time.Second,
		}, cores, clock.System(), events.Discard)
		startedAt := time.Now()
		go func() { _ = front.Serve(ctx) }()
		for range count {
			names = append(names, <-polled)
		}
		elapsed = time.Since(startedAt)
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
	return names, elapsed
}

func TestFeedPrefersCoreOfOwnRegion(t *testing.T) {
	Convey("A front follows a core in its own region, even if others answer sooner", t, func() {
		names, _ := firstPolledCores(t, 2, func(*feedCore) {})
		So(names, ShouldResemble, []string{"c2", "c2"})
	})
	Convey("It soon follows another core if that one is down, and also if its feed fails", t, func() {
		names, elapsed := firstPolledCores(t, 1, func(north *feedCore) { north.down = true })
		So(names[0], ShouldNotEqual, "c2")
		So(elapsed, ShouldBeLessThan, 400*time.Millisecond)
		names, _ = firstPolledCores(t, 3, func(north *feedCore) { north.withoutFeed = true })
		So(names[0], ShouldEqual, "c2")
		So(names[1:], ShouldNotContain, "c2")
	})
}
