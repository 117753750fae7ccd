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

// feeder is a core that answers renewals after a while and says who asked it
// for its feed.
type feeder struct {
	wireconnect.UnimplementedPeerHandler
	name, region string
	after        time.Duration
	down         bool // answers nothing
	unfed        bool // answers renewals only
	asked        chan string
}

func (c *feeder) Renew(context.Context, *connect.Request[wire.RenewRequest]) (*connect.Response[wire.RenewResponse], error) {
	<-time.After(c.after)
	if c.down {
		return nil, errors.New("down")
	}
	return connect.NewResponse(&wire.RenewResponse{Core: c.name, TimeUs: time.Now().UnixMicro()}), nil
}

func (c *feeder) Follow(ctx context.Context, req *connect.Request[wire.FollowRequest]) (*connect.Response[wire.FollowResponse], error) {
	select {
	case c.asked <- c.name:
	case <-ctx.Done():
	}
	if c.down || c.unfed {
		return nil, errors.New("no feed")
	}
	<-time.After(time.Duration(req.Msg.WaitMs) * time.Millisecond)
	return connect.NewResponse(&wire.FollowResponse{Feed: "feed of " + c.name}), nil
}

type feeders []*feeder

func (c feeders) Process(name string) (*wire.Process, bool) {
	for _, core := range c {
		if core.name == name {
			return &wire.Process{Name: name, Address: name, Region: core.region, Core: true, Voters: []string{"c1", "c2", "c3"}}, true
		}
	}
	return nil, false
}

func (c feeders) Cores() []*wire.Process { return port.CoresOf(c.Processes()) }

func (c feeders) Processes() (all []*wire.Process) {
	for _, core := range c {
		p, _ := c.Process(core.name)
		all = append(all, p)
	}
	return all
}

func (c feeders) Client(address string) wireconnect.PeerClient {
	for _, core := range c {
		if core.name == address {
			return core
		}
	}
	return nil
}

// firstAsked returns the cores that a front of the north asked for their feed
// first, as many as wanted, and after how long the last of them was.
func firstAsked(t *testing.T, wanted int, change func(north *feeder)) (names []string, after time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		asked := make(chan string)
		cores := feeders{{name: "c1", region: "south", asked: asked}, {name: "c2", region: "north", after: 40 * time.Millisecond, asked: asked},
			{name: "c3", region: "south", asked: asked}}
		change(cores[1])
		f := follower.New(follower.Config{Self: func() *wire.Process { return &wire.Process{Name: "f1", Region: "north", Front: true} },
			LeaseTTL: 2 * time.Second, RenewEvery: 100 * time.Millisecond, PingEvery: 500 * time.Millisecond, FeedWait: time.Second,
			Sighted: func() []port.Sight { return nil }, CoreStaleFor: time.Second}, cores, clock.System(), events.Discard)
		begun := time.Now()
		go f.Serve(ctx)
		for range wanted {
			names = append(names, <-asked)
		}
		after = time.Since(begun)
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
	return names, after
}

func TestFeedOfTheOwnRegionFirst(t *testing.T) {
	Convey("A front follows a core of its region, though others answer sooner", t, func() {
		names, _ := firstAsked(t, 2, func(*feeder) {})
		So(names, ShouldResemble, []string{"c2", "c2"})
	})
	Convey("It follows another where that one is down, soon, and where its feed fails", t, func() {
		names, after := firstAsked(t, 1, func(north *feeder) { north.down = true })
		So(names[0], ShouldNotEqual, "c2")
		So(after, ShouldBeLessThan, 400*time.Millisecond)
		names, _ = firstAsked(t, 3, func(north *feeder) { north.unfed = true })
		So(names[0], ShouldEqual, "c2")
		So(names[1:], ShouldNotContain, "c2")
	})
}
