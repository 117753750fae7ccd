package quotasync

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// partitionedFleet is an in-memory set of fronts with broken links between some of them.
type partitionedFleet struct {
	names         []string
	services      map[string]*Service
	brokenLinks   atomic.Pointer[[]brokenLink]
	ignoreRelayTo atomic.Bool  // the fronts ignore AddRequest.RelayTo, as versions without relaying do
	forwarded     atomic.Int64 // requests sent on behalf of another front
}

// brokenLink is a pair of fronts that can't reach each other. Requests between them time
// out.
type brokenLink struct{ a, b string }

func (f *partitionedFleet) linkBroken(a, b string) bool {
	return slices.Contains(*f.brokenLinks.Load(), brokenLink{a, b}) || slices.Contains(*f.brokenLinks.Load(), brokenLink{b, a})
}

// unresponsiveTo returns the fronts that the named front can't reach.
func (f *partitionedFleet) unresponsiveTo(name string) []string {
	return slices.DeleteFunc(slices.Clone(f.names), func(other string) bool { return !f.linkBroken(name, other) })
}

// partitionedPeers connects one front to the others.
type partitionedPeers struct {
	fleet *partitionedFleet
	self  string
}

func (p partitionedPeers) Process(name string) (*wire.Process, bool) {
	return &wire.Process{Name: name, Address: name}, p.fleet.services[name] != nil
}

func (p partitionedPeers) Cores() []*wire.Process { return port.CoresOf(p.Processes()) }

func (p partitionedPeers) Processes() []*wire.Process { return nil }

func (p partitionedPeers) Client(address string) wireconnect.PeerClient {
	unused := wireconnect.NewPeerClient(http.DefaultClient, "http://"+address)
	return partitionedClient{PeerClient: unused, fleet: p.fleet, from: p.self, to: address}
}

type partitionedClient struct {
	wireconnect.PeerClient
	fleet    *partitionedFleet
	from, to string
}

func (c partitionedClient) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	if c.fleet.linkBroken(c.from, c.to) {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	request := req.Msg
	if c.fleet.ignoreRelayTo.Load() {
		request.RelayTo = ""
	}
	if request.Front != c.from {
		c.fleet.forwarded.Add(1)
		if request.RelayTo != "" {
			return nil, errors.New("a forwarded request must not be forwarded again")
		}
	}
	resp, err := c.fleet.services[c.to].Add(ctx, request)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func startPartitionedFleet(ctx context.Context, t testing.TB, names ...string) *partitionedFleet {
	f := &partitionedFleet{names: names, services: map[string]*Service{}}
	f.brokenLinks.Store(&[]brokenLink{})
	for _, name := range names {
		config := Config{Self: name, Incarnation: 1, Shards: 1, Unresponsive: func() []string { return f.unresponsiveTo(name) }}
		service, err := New(config, partitionedPeers{f, name}, clock.System(), time.Now, func() []string { return names }, events.Discard)
		if err != nil {
			t.Fatal(err)
		}
		f.services[name] = service
	}
	for _, service := range f.services {
		go func() { _ = service.Serve(ctx) }()
	}
	return f
}

// spendAndInspect sends 30 requests of one token to a front in the course of 3 s, and
// returns the front's view of the tenant.
func (f *partitionedFleet) spendAndInspect(ctx context.Context, t testing.TB, name string) quota.TenantUsage {
	for range 30 {
		f.services[name].Admit(ctx, "press", 1, quota.Allowance{Rate: 100, Burst: 200}, 0)
		<-time.After(100 * time.Millisecond)
	}
	usages, err := f.services[name].Inspect(ctx, "press")
	if err != nil || len(usages) != 1 {
		t.Fatal("tenant press has no account", err)
	}
	return usages[0]
}

func TestOwnerReachedThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		names := []string{"a", "b", "c", "d", "e"}
		f := startPartitionedFleet(ctx, t, names...)
		owner := quota.OwnerOf("press", names)
		nextOwner := quota.OwnerOf("press", quota.Reachable(names, []string{owner}))
		others := quota.Reachable(names, []string{owner, nextOwner})
		<-time.After(3 * time.Second)

		Convey("A front that can't reach the owner receives the owner's totals through a relay", t, func() {
			f.brokenLinks.Store(&[]brokenLink{{owner, others[0]}})
			So(f.spendAndInspect(ctx, t, others[1]).Owner, ShouldEqual, owner)
			usage := f.spendAndInspect(ctx, t, others[0])
			So(usage.Owner, ShouldEqual, owner)
			So(usage.Recent, ShouldAlmostEqual, 60, 3)
			So(usage.Age, ShouldBeLessThan, time.Second)
			So(f.forwarded.Load(), ShouldBeGreaterThan, 0)
			Convey("and directly again once the link is restored", func() {
				f.brokenLinks.Store(&[]brokenLink{})
				f.spendAndInspect(ctx, t, others[0])
				before := f.forwarded.Load()
				So(f.spendAndInspect(ctx, t, others[0]).Owner, ShouldEqual, owner)
				So(f.forwarded.Load(), ShouldEqual, before)
			})
		})
		Convey("The owner isn't replaced if the next owner can't reach it either", t, func() {
			f.brokenLinks.Store(&[]brokenLink{{owner, others[0]}, {owner, nextOwner}})
			So(f.spendAndInspect(ctx, t, others[0]).Owner, ShouldEqual, owner)
			So(f.spendAndInspect(ctx, t, nextOwner).Owner, ShouldEqual, owner)
		})
		Convey("An owner that no front reaches is replaced by the next owner", t, func() {
			all := []brokenLink{}
			for _, name := range names {
				all = append(all, brokenLink{owner, name})
			}
			f.brokenLinks.Store(&all)
			So(f.spendAndInspect(ctx, t, others[0]).Owner, ShouldEqual, nextOwner)
			So(f.spendAndInspect(ctx, t, others[1]).Owner, ShouldEqual, nextOwner)
		})
		Convey("If processes don't support relaying, the next owner takes over the count", t, func() {
			f.brokenLinks.Store(&[]brokenLink{})
			<-time.After(5 * time.Second)
			f.ignoreRelayTo.Store(true)
			f.brokenLinks.Store(&[]brokenLink{{owner, others[0]}})
			So(f.spendAndInspect(ctx, t, others[0]).Owner, ShouldEqual, nextOwner)
			f.ignoreRelayTo.Store(false)
		})
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
}

func TestRelayRejectsUnreachableOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := startPartitionedFleet(ctx, t, "a", "b", "c")
		f.brokenLinks.Store(&[]brokenLink{{"a", "b"}})
		Convey("A relay fails immediately for an owner that is unresponsive to it, or unknown", t, func() {
			begin := time.Now()
			_, err := f.services["b"].Add(ctx, &wire.AddRequest{Front: "c", RelayTo: "a"})
			So(err, ShouldNotBeNil)
			_, err = f.services["b"].Add(ctx, &wire.AddRequest{Front: "c", RelayTo: "nobody"})
			So(err, ShouldNotBeNil)
			So(time.Since(begin), ShouldEqual, 0)
		})
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
}
