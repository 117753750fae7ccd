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

// cutFleet is an in-memory set of fronts between some of which no message passes.
type cutFleet struct {
	names       []string
	services    map[string]*Service
	cuts        atomic.Pointer[[]cut]
	oldVersions atomic.Bool // the fronts ignore AddRequest.RelayTo
	relayedOn   atomic.Int64
}

// cut is a pair of fronts that don't reach each other.
type cut struct{ a, b string }

func (f *cutFleet) isCut(a, b string) bool {
	return slices.Contains(*f.cuts.Load(), cut{a, b}) || slices.Contains(*f.cuts.Load(), cut{b, a})
}

// unresponsiveTo returns the fronts that don't answer one.
func (f *cutFleet) unresponsiveTo(name string) []string {
	return slices.DeleteFunc(slices.Clone(f.names), func(other string) bool { return !f.isCut(name, other) })
}

// cutPeers are the peers as one front reaches them.
type cutPeers struct {
	fleet *cutFleet
	self  string
}

func (p cutPeers) Process(name string) (*wire.Process, bool) {
	return &wire.Process{Name: name, Address: name}, p.fleet.services[name] != nil
}

func (p cutPeers) Cores() []*wire.Process { return port.CoresOf(p.Processes()) }

func (p cutPeers) Processes() []*wire.Process { return nil }

func (p cutPeers) Client(address string) wireconnect.PeerClient {
	unused := wireconnect.NewPeerClient(http.DefaultClient, "http://"+address)
	return cutClient{PeerClient: unused, fleet: p.fleet, from: p.self, to: address}
}

type cutClient struct {
	wireconnect.PeerClient
	fleet    *cutFleet
	from, to string
}

func (c cutClient) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	if c.fleet.isCut(c.from, c.to) {
		<-ctx.Done()
		return nil, errors.New("no answer")
	}
	request := req.Msg
	if c.fleet.oldVersions.Load() {
		request.RelayTo = ""
	}
	if request.Front != c.from {
		c.fleet.relayedOn.Add(1)
		if request.RelayTo != "" {
			return nil, errors.New("a request that was passed on is passed on again")
		}
	}
	resp, err := c.fleet.services[c.to].Add(ctx, request)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func startCutFleet(ctx context.Context, t testing.TB, names ...string) *cutFleet {
	f := &cutFleet{names: names, services: map[string]*Service{}}
	f.cuts.Store(&[]cut{})
	for _, name := range names {
		config := Config{Self: name, Incarnation: 1, Shards: 1, Unresponsive: func() []string { return f.unresponsiveTo(name) }}
		service, err := New(config, cutPeers{f, name}, clock.System(), time.Now, func() []string { return names }, events.Discard)
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

// usage spends one token of a tenant at a front again and again, and returns what the
// front then knows of it.
func (f *cutFleet) usage(ctx context.Context, t testing.TB, name string) quota.TenantUsage {
	for range 30 {
		f.services[name].Admit(ctx, "press", 1, quota.Allowance{Rate: 100, Burst: 200}, 0)
		<-time.After(100 * time.Millisecond)
	}
	usages, err := f.services[name].Inspect(ctx, "press")
	if err != nil || len(usages) != 1 {
		t.Fatal("no account", err)
	}
	return usages[0]
}

func TestOwnerReachedThroughRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		names := []string{"a", "b", "c", "d", "e"}
		f := startCutFleet(ctx, t, names...)
		owner := quota.OwnerOf("press", names)
		next := quota.OwnerOf("press", quota.Reachable(names, []string{owner}))
		rest := quota.Reachable(names, []string{owner, next})
		<-time.After(3 * time.Second)

		Convey("A front that doesn't reach the owner gets the owner's totals through another", t, func() {
			f.cuts.Store(&[]cut{{owner, rest[0]}})
			So(f.usage(ctx, t, rest[1]).Owner, ShouldEqual, owner)
			usage := f.usage(ctx, t, rest[0])
			So(usage.Owner, ShouldEqual, owner)
			So(usage.Recent, ShouldAlmostEqual, 60, 3)
			So(usage.Age, ShouldBeLessThan, time.Second)
			So(f.relayedOn.Load(), ShouldBeGreaterThan, 0)
			Convey("and directly again once it reaches it", func() {
				f.cuts.Store(&[]cut{})
				f.usage(ctx, t, rest[0])
				before := f.relayedOn.Load()
				So(f.usage(ctx, t, rest[0]).Owner, ShouldEqual, owner)
				So(f.relayedOn.Load(), ShouldEqual, before)
			})
		})
		Convey("The next owner, itself cut off, doesn't count for the owner either", t, func() {
			f.cuts.Store(&[]cut{{owner, rest[0]}, {owner, next}})
			So(f.usage(ctx, t, rest[0]).Owner, ShouldEqual, owner)
			So(f.usage(ctx, t, next).Owner, ShouldEqual, owner)
		})
		Convey("An owner that nobody reaches is replaced by the next one", t, func() {
			all := []cut{}
			for _, name := range names {
				all = append(all, cut{owner, name})
			}
			f.cuts.Store(&all)
			So(f.usage(ctx, t, rest[0]).Owner, ShouldEqual, next)
			So(f.usage(ctx, t, rest[1]).Owner, ShouldEqual, next)
		})
		Convey("Among processes that don't relay the next owner counts, as it did before", t, func() {
			f.cuts.Store(&[]cut{})
			<-time.After(5 * time.Second)
			f.oldVersions.Store(true)
			f.cuts.Store(&[]cut{{owner, rest[0]}})
			So(f.usage(ctx, t, rest[0]).Owner, ShouldEqual, next)
			f.oldVersions.Store(false)
		})
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
}

func TestRelayRefusesOwnerOutOfItsReach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := startCutFleet(ctx, t, "a", "b", "c")
		f.cuts.Store(&[]cut{{"a", "b"}})
		Convey("A relay fails at once for an owner that is unresponsive to it, or unknown", t, func() {
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
