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

// fleet is an in-memory set of fronts; a front in away is silent.
type fleet struct {
	spends map[string]*Service
	away   atomic.Pointer[string]
	known  atomic.Bool // the fronts know who is silent
}

func (f *fleet) silent() []string {
	if away := f.away.Load(); away != nil && f.known.Load() {
		return []string{*away}
	}
	return nil
}

type client struct {
	wireconnect.PeerClient
	fleet *fleet
	to    string
}

func (f *fleet) Process(name string) (*wire.Process, bool) {
	return &wire.Process{Name: name, Address: name}, f.spends[name] != nil
}

func (f *fleet) Cores() []*wire.Process { return port.CoresOf(f.Processes()) }

func (f *fleet) Processes() []*wire.Process { return nil }

func (f *fleet) Client(address string) wireconnect.PeerClient {
	return client{PeerClient: wireconnect.NewPeerClient(http.DefaultClient, "http://"+address), fleet: f, to: address}
}

func (c client) Add(ctx context.Context, req *connect.Request[wire.AddRequest]) (*connect.Response[wire.AddResponse], error) {
	if away := c.fleet.away.Load(); away != nil && (*away == c.to || *away == req.Msg.Front) {
		return nil, errors.New("silent")
	}
	resp, err := c.fleet.spends[c.to].Add(ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func start(ctx context.Context, t testing.TB, names ...string) *fleet {
	return startHolding(ctx, t, 0, names...)
}

func startHolding(ctx context.Context, t testing.TB, hold time.Duration, names ...string) *fleet {
	f := &fleet{spends: map[string]*Service{}}
	for _, name := range names {
		s, err := New(Config{Self: name, Incarnation: 1, Unresponsive: f.silent, QueueTimeout: hold}, f, clock.System(), time.Now, func() []string { return names }, events.Discard)
		if err != nil {
			t.Fatal(err)
		}
		f.spends[name] = s
	}
	for _, s := range f.spends {
		go func() { _ = s.Serve(ctx) }()
	}
	return f
}

func TestSpend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		names := []string{"a", "b", "c"}
		f := start(ctx, t, names...)
		terms := quota.Allowance{Rate: 100, Burst: 200}
		<-time.After(time.Second)
		offer := func(name string, requests int, tokens float64) (passed float64, last apierror.Code) {
			for range requests {
				<-time.After(5 * time.Millisecond)
				if d := f.spends[name].Admit(ctx, "press", tokens, terms, 0); d.Allowed {
					passed += tokens
				} else {
					last = d.Code
				}
			}
			return passed, last
		}
		Convey("Three fronts together pass the limit and no more, and say that it is the quota", t, func() {
			total := 0.0
			for range 3 {
				for _, name := range names {
					passed, code := offer(name, 60, 10)
					total += passed
					if code != apierror.OK {
						So(code, ShouldEqual, apierror.QuotaExceeded)
					}
				}
			}
			So(total, ShouldBeBetween, 850, 1150)
			Convey("which every front knows", func() {
				<-time.After(time.Second)
				for _, name := range names {
					f.spends[name].Admit(ctx, "press", 1, terms, 0)
					<-time.After(time.Second)
					views, err := f.spends[name].Inspect(ctx, "press")
					So(err, ShouldBeNil)
					So(views[0].Recent, ShouldAlmostEqual, total, 1)
				}
			})
		})
		Convey("With a silent holder a front spends its share, and says that the count is out of reach", t, func() {
			<-time.After(40 * time.Second)
			holder := quota.OwnerOf("press", names)
			f.away.Store(&holder)
			other := names[0]
			if other == holder {
				other = names[1]
			}
			total, code := 0.0, apierror.OK
			for range 16 {
				passed, last := offer(other, 100, 10)
				if total += passed; last != apierror.OK {
					code = last
				}
			}
			So(code, ShouldEqual, apierror.ShareExceeded)
			So(total, ShouldBeBetween, 100, 450)
			f.away.Store(nil)
		})
		Convey("Once a holder is known to be silent, the next one counts and a tenant under its limit passes", t, func() {
			<-time.After(40 * time.Second)
			holder := quota.OwnerOf("press", names)
			others := quota.Reachable(names, []string{holder})
			for _, name := range others {
				_, code := offer(name, 1, 1)
				So(code, ShouldEqual, apierror.OK)
			}
			<-time.After(time.Second)
			f.away.Store(&holder)
			f.known.Store(true)
			first, code := offer(others[0], 5, 50)
			So(code, ShouldEqual, apierror.OK)
			second, code := offer(others[1], 5, 50)
			So(code, ShouldEqual, apierror.OK)
			So(first+second, ShouldEqual, 500)
			<-time.After(time.Second)
			So(f.spends[others[0]].Admit(ctx, "press", 1, terms, 0).Allowed, ShouldBeTrue)
			<-time.After(time.Second)
			views, err := f.spends[others[0]].Inspect(ctx, "press")
			So(err, ShouldBeNil)
			So(views[0].Owner, ShouldEqual, quota.OwnerOf("press", others))
			So(views[0].Recent, ShouldAlmostEqual, 503, 1)
			f.away.Store(nil)
			f.known.Store(false)
		})
		Convey("Flush leaves what was spent with the holder", t, func() {
			<-time.After(40 * time.Second)
			holder := quota.OwnerOf("press", names)
			other := names[0]
			if other == holder {
				other = names[1]
			}
			So(f.spends[other].Admit(ctx, "press", 7, terms, 0).Allowed, ShouldBeTrue)
			So(f.spends[other].Flush(ctx), ShouldBeNil)
			f.spends[holder].Admit(ctx, "press", 1, terms, 0)
			<-time.After(time.Second)
			views, err := f.spends[holder].Inspect(ctx, "press")
			So(err, ShouldBeNil)
			So(views[0].Recent, ShouldAlmostEqual, 8, 0.01)
		})
		Convey("A caller whose deadline passed is refused as such", t, func() {
			gone, stop := context.WithCancel(ctx)
			stop()
			So(f.spends["a"].Admit(gone, "press", 1e9, terms, 0).Allowed, ShouldBeFalse)
		})
		cancel()
	})
}

func BenchmarkAdmit(b *testing.B) {
	for _, tenants := range []int{5, 100, 1000, 14000} {
		b.Run("tenants="+strconv.Itoa(tenants), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			f := start(ctx, b, "a")
			names := make([]string, tenants)
			for i := range names {
				names[i] = "tenant-" + strconv.Itoa(i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.spends["a"].Admit(ctx, names[i%tenants], 1, quota.Allowance{Rate: 1e9}, 0)
			}
		})
	}
}

func TestPatience(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var names []string
		for i := range 40 {
			names = append(names, "f"+strconv.Itoa(i))
		}
		f := startHolding(ctx, t, 100*time.Millisecond, names...)
		terms := quota.Allowance{Rate: 1000}
		<-time.After(time.Second)
		spend := func() {
			for _, name := range names[:30] {
				f.spends[name].Admit(ctx, "press", 50, terms, 0)
			}
		}
		spend()
		<-time.After(600 * time.Millisecond)
		spend()
		Convey("Where many fronts spend, a large request at one that the tenant comes to anew waits for its share", t, func() {
			large := func(name string, patience time.Duration) bool {
				return f.spends[name].Admit(ctx, "press", 800, terms, patience).Allowed
			}
			passed, short := 0, 0
			for _, name := range names[30:] {
				if large(name, 0) {
					short++
				}
				<-time.After(9 * time.Second)
				spend()
				<-time.After(600 * time.Millisecond)
				spend()
				begun := time.Now()
				if large(name, 400*time.Millisecond) {
					passed++
				}
				So(time.Since(begun), ShouldBeLessThanOrEqualTo, 400*time.Millisecond)
				<-time.After(9 * time.Second)
				spend()
				<-time.After(600 * time.Millisecond)
				spend()
			}
			So(short, ShouldBeLessThan, 6)
			So(passed, ShouldBeGreaterThanOrEqualTo, 9)
		})
		cancel()
		<-time.After(5 * time.Second)
		synctest.Wait()
	})
}
