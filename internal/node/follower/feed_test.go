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

// feedCore is a core that answers renewals after a delay and records the requests
// for its feed.
type feedCore struct {
	wireconnect.UnimplementedPeerHandler
	name, region string
	delay        time.Duration // of its answers to renewals
	down         bool          // answers nothing
	withoutFeed  bool          // answers renewals only
	requested    chan string
}

func (c *feedCore) Renew(context.Context, *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	<-time.After(c.delay)
	if c.down {
		return nil, errors.New("down")
	}
	return connect.NewResponse(&wire.RenewResponse{Core: c.name, TimeUs: time.Now().UnixMicro()}), nil
}

func (c *feedCore) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	select {
	case c.requested <- c.name:
	case <-ctx.Done():
	}
	if c.down || c.withoutFeed {
		return nil, errors.New("no feed")
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

func (c feedCores) Processes() (all []*wire.Process) {
	for _, core := range c {
		p, _ := c.Process(core.name)
		all = append(all, p)
	}
	return all
}

func (c feedCores) Client(address string) wireconnect.PeerClient {
	for _, core := range c {
		if core.name == address {
			return core
		}
	}
	return nil
}

// firstRequested returns the cores that a front of the north requested the feed of
// first, as many as wanted, and how long after its start the last request was.
func firstRequested(t *testing.T, wanted int, change func(north *feedCore)) (names []string, after time.Duration) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		requested := make(chan string)
		cores := feedCores{
			{name: "c1", region: "south", requested: requested},
			{name: "c2", region: "north", delay: 40 * time.Millisecond, requested: requested},
			{name: "c3", region: "south", requested: requested},
		}
		change(cores[1])
		tested := follower.New(follower.Config{
			Self:           func() *wire.Process { return &wire.Process{Name: "f1", Region: "north", Front: true} },
			LeaseTTL:       2 * time.Second,
			RenewInterval:  100 * time.Millisecond,
			PingInterval:   500 * time.Millisecond,
			FeedWait:       time.Second,
			KnownProcesses: func() []port.KnownProcess { return nil },
			CoreStaleAfter: time.Second,
		}, cores, clock.System(), events.Discard)
		begun := time.Now()
		go func() { _ = tested.Serve(ctx) }()
		for range wanted {
			names = append(names, <-requested)
		}
		after = time.Since(begun)
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
	return names, after
}

func TestFeedPrefersCoreOfOwnRegion(t *testing.T) {
	Convey("A front follows a core of its region, though others answer sooner", t, func() {
		names, _ := firstRequested(t, 2, func(*feedCore) {})
		So(names, ShouldResemble, []string{"c2", "c2"})
	})
	Convey("It follows another where that one is down, soon, and where its feed fails", t, func() {
		names, after := firstRequested(t, 1, func(north *feedCore) { north.down = true })
		So(names[0], ShouldNotEqual, "c2")
		So(after, ShouldBeLessThan, 400*time.Millisecond)
		names, _ = firstRequested(t, 3, func(north *feedCore) { north.withoutFeed = true })
		So(names[0], ShouldEqual, "c2")
		So(names[1:], ShouldNotContain, "c2")
	})
}
