package quotasync

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// fleet is an in-memory set of fronts, of which one may be unresponsive.
type fleet struct {
	services     map[string]*Service
	unresponsive atomic.Pointer[string]
	detected     atomic.Bool // the membership reports the unresponsive front
}

func (f *fleet) unresponsiveFronts() []string {
	if name := f.unresponsive.Load(); name != nil && f.detected.Load() {
		return []string{*name}
	}
	return nil
}

type client struct {
	wireconnect.PeerClient
	fleet *fleet
	to    string
}

func (f *fleet) Process(name string) (*wire.Process, bool) {
	return &wire.Process{Name: name, Address: name}, f.services[name] != nil
}

func (f *fleet) Cores() []*wire.Process { return port.CoresOf(f.Processes()) }

func (f *fleet) Processes() []*wire.Process { return nil }

func (f *fleet) Client(address string) wireconnect.PeerClient {
	return client{PeerClient: wireconnect.NewPeerClient(http.DefaultClient, "http://"+address), fleet: f, to: address}
}

func (c client) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	if name := c.fleet.unresponsive.Load(); name != nil && (*name == c.to || *name == req.Msg.Front) {
		return nil, errors.New("unresponsive")
	}
	resp, err := c.fleet.services[c.to].Add(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func startFleet(ctx context.Context, t testing.TB, names ...string) *fleet {
	return startFleetWithQueueTimeout(ctx, t, 0, names...)
}

func startFleetWithQueueTimeout(ctx context.Context, t testing.TB, queueTimeout time.Duration, names ...string) *fleet {
	f := &fleet{services: map[string]*Service{}}
	for _, name := range names {
		config := Config{
			Self:         name,
			Incarnation:  1,
			Unresponsive: f.unresponsiveFronts,
			QueueTimeout: queueTimeout,
		}
		s, err := New(config, f, clock.System(), time.Now, func() []string { return names }, events.Discard)
		if err != nil {
			t.Fatal(err)
		}
		f.services[name] = s
	}
	for _, s := range f.services {
		go func() { _ = s.Serve(ctx) }()
	}
	return f
}

func TestService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		names := []string{"a", "b", "c"}
		f := startFleet(ctx, t, names...)
		allowance := quota.Allowance{Rate: 100, Burst: 200}
		<-time.After(time.Second)
		sendRequests := func(name string, requests int, tokens float64) (allowed float64, lastCode apierror.Code) {
			for range requests {
				<-time.After(5 * time.Millisecond)
				if d := f.services[name].Admit(ctx, "press", tokens, allowance, 0); d.Allowed {
					allowed += tokens
				} else {
					lastCode = d.Code
				}
			}
			return allowed, lastCode
		}
		Convey("Three fronts together allow the limit but no more, and reject with QuotaExceeded", t, func() {
			total := 0.0
			for range 3 {
				for _, name := range names {
					allowed, code := sendRequests(name, 60, 10)
					total += allowed
					if code != apierror.OK {
						So(code, ShouldEqual, apierror.QuotaExceeded)
					}
				}
			}
			So(total, ShouldBeBetween, 850, 1150)
			Convey("and every front reports the total", func() {
				<-time.After(time.Second)
				for _, name := range names {
					f.services[name].Admit(ctx, "press", 1, allowance, 0)
					<-time.After(time.Second)
					usages, err := f.services[name].Inspect(ctx, "press")
					So(err, ShouldBeNil)
					So(usages[0].Recent, ShouldAlmostEqual, total, 1)
				}
			})
		})
		Convey("With an unresponsive owner a front spends its share, and rejects with ShareExceeded", t, func() {
			<-time.After(40 * time.Second)
			owner := quota.OwnerOf("press", names)
			f.unresponsive.Store(&owner)
			other := names[0]
			if other == owner {
				other = names[1]
			}
			total := 0.0
			code := apierror.OK
			for range 16 {
				allowed, lastCode := sendRequests(other, 100, 10)
				if total += allowed; lastCode != apierror.OK {
					code = lastCode
				}
			}
			So(code, ShouldEqual, apierror.ShareExceeded)
			So(total, ShouldBeBetween, 100, 450)
			f.unresponsive.Store(nil)
		})
		Convey("Once the membership reports the owner as unresponsive, the next owner takes over and a tenant below its limit is allowed", t, func() {
			<-time.After(40 * time.Second)
			owner := quota.OwnerOf("press", names)
			others := quota.Reachable(names, []string{owner})
			for _, name := range others {
				_, code := sendRequests(name, 1, 1)
				So(code, ShouldEqual, apierror.OK)
			}
			<-time.After(time.Second)
			f.unresponsive.Store(&owner)
			f.detected.Store(true)
			firstAllowed, code := sendRequests(others[0], 5, 50)
			So(code, ShouldEqual, apierror.OK)
			secondAllowed, code := sendRequests(others[1], 5, 50)
			So(code, ShouldEqual, apierror.OK)
			So(firstAllowed+secondAllowed, ShouldEqual, 500)
			<-time.After(time.Second)
			So(f.services[others[0]].Admit(ctx, "press", 1, allowance, 0).Allowed, ShouldBeTrue)
			<-time.After(time.Second)
			usages, err := f.services[others[0]].Inspect(ctx, "press")
			So(err, ShouldBeNil)
			So(usages[0].Owner, ShouldEqual, quota.OwnerOf("press", others))
			So(usages[0].Recent, ShouldAlmostEqual, 503, 1)
			f.unresponsive.Store(nil)
			f.detected.Store(false)
		})
		Convey("Flush reports spent tokens to the owner", t, func() {
			<-time.After(40 * time.Second)
			owner := quota.OwnerOf("press", names)
			other := names[0]
			if other == owner {
				other = names[1]
			}
			So(f.services[other].Admit(ctx, "press", 7, allowance, 0).Allowed, ShouldBeTrue)
			So(f.services[other].Flush(ctx), ShouldBeNil)
			f.services[owner].Admit(ctx, "press", 1, allowance, 0)
			<-time.After(time.Second)
			usages, err := f.services[owner].Inspect(ctx, "press")
			So(err, ShouldBeNil)
			So(usages[0].Recent, ShouldAlmostEqual, 8, 0.01)
		})
		Convey("A request whose context has ended is rejected", t, func() {
			ended, stop := context.WithCancel(ctx)
			stop()
			So(f.services["a"].Admit(ended, "press", 1e9, allowance, 0).Allowed, ShouldBeFalse)
		})
		cancel()
	})
}

func BenchmarkAdmit(b *testing.B) {
	for _, tenants := range []int{5, 100, 1000, 14000} {
		b.Run("tenants="+strconv.Itoa(tenants), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := startFleet(ctx, b, "a")
			names := make([]string, tenants)
			for i := range names {
				names[i] = "tenant-" + strconv.Itoa(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.services["a"].Admit(ctx, names[i%tenants], 1, quota.Allowance{Rate: 1e9}, 0)
			}
		})
	}
}

func TestQueueingInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var names []string
		for i := range 40 {
			names = append(names, "f"+strconv.Itoa(i))
		}
		f := startFleetWithQueueTimeout(ctx, t, 100*time.Millisecond, names...)
		allowance := quota.Allowance{Rate: 1000}
		<-time.After(time.Second)
		spend := func() {
			for _, name := range names[:30] {
				f.services[name].Admit(ctx, "press", 50, allowance, 0)
			}
		}
		spend()
		<-time.After(600 * time.Millisecond)
		spend()
		Convey("In a large fleet, a large request at a front that is new to the tenant waits for the front's share", t, func() {
			admitLarge := func(name string, maxWait time.Duration) bool {
				return f.services[name].Admit(ctx, "press", 800, allowance, maxWait).Allowed
			}
			allowed := 0
			allowedAtOnce := 0
			for _, name := range names[30:] {
				if admitLarge(name, 0) {
					allowedAtOnce++
				}
				<-time.After(9 * time.Second)
				spend()
				<-time.After(600 * time.Millisecond)
				spend()
				begin := time.Now()
				if admitLarge(name, 400*time.Millisecond) {
					allowed++
				}
				So(time.Since(begin), ShouldBeLessThanOrEqualTo, 400*time.Millisecond)
				<-time.After(9 * time.Second)
				spend()
				<-time.After(600 * time.Millisecond)
				spend()
			}
			So(allowedAtOnce, ShouldBeLessThan, 6)
			So(allowed, ShouldBeGreaterThanOrEqualTo, 9)
		})
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
}
