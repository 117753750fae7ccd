package follower_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/node/follower"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// renewalsIn returns how often a front renews at a core in the first seconds after
// its start, while no majority confirms it.
func renewalsIn(span time.Duration, core *feedCore) (calls int64) {
	ctx, cancel := context.WithCancel(context.Background())
	tested := follower.New(follower.Config{
		Self:           func() *wire.Process { return &wire.Process{Name: "f1", Region: "north", Front: true} },
		LeaseTTL:       2 * time.Second,
		RenewInterval:  500 * time.Millisecond,
		PingInterval:   500 * time.Millisecond,
		FeedWait:       time.Second,
		KnownProcesses: func() []port.KnownProcess { return nil },
		CoreStaleAfter: time.Second,
	}, feedCores{core}, clock.System(), events.Discard)
	go func() { _ = tested.Serve(ctx) }()
	<-time.After(span)
	calls = core.renewals.Load()
	cancel()
	<-time.After(5 * time.Second)
	synctest.Wait()
	return calls
}

// 300 restarted fronts renewed 20 times a second at cores that could not grant yet.
func TestUnconfirmedRenewalsBackOff(t *testing.T) {
	const span = 5 * time.Second
	// One in each interval between renewals, and the first five, whose pauses are
	// shorter.
	const most = 10 + 5
	Convey("A process that no majority confirms renews at a core at growing intervals", t, func() {
		cases := map[string]*feedCore{
			"the core rejects":               {name: "c1", region: "north", down: true},
			"the core answers late":          {name: "c1", region: "north", down: true, delay: 200 * time.Millisecond},
			"the core answers without lease": {name: "c1", region: "north", withoutFeed: true},
		}
		for name, core := range cases {
			core.requested = make(chan string, 1000)
			Convey("where "+name, func() {
				synctest.Test(t, func(*testing.T) {
					calls := renewalsIn(span, core)
					if calls > most || calls < 5 {
						t.Errorf("%s: %d renewals", name, calls)
					}
				})
			})
		}
	})
}
