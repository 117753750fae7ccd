package follower

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// known are processes that nobody speaks to.
type known []*wire.Process

func (k known) Process(name string) (*wire.Process, bool) { return nil, false }
func (k known) Processes() []*wire.Process                { return k }
func (k known) Cores() []*wire.Process                    { return port.CoresOf(k) }
func (k known) Client(string) wireconnect.PeerClient      { return nil }

// large returns a follower that was told of so many members by the feed.
func large(members int) *Follower {
	clock := clock.System()
	var sights []port.Sight
	var processes known
	state := sheet.State{Version: 7, Roster: map[string]sheet.Member{}}
	for i := range members {
		name := fmt.Sprintf("front-%03d", i)
		p := &wire.Process{Name: name, Address: name, Front: true, Ready: true, Incarnation: 1, Counter: 1}
		sights = append(sights, port.Sight{Process: p, Seen: clock.Now()})
		processes = append(processes, p)
		state.Roster[name] = sheet.Member{Name: name, Front: true}
	}
	f := New(Config{Self: func() *wire.Process { return processes[0] }, LeaseTTL: 2 * time.Second, RenewEvery: 500 * time.Millisecond,
		PingEvery: 500 * time.Millisecond, Sighted: func() []port.Sight { return sights }}, processes, clock, events.Discard)
	f.state, f.held, f.fedAt = state, true, clock.Now()
	for _, p := range processes {
		f.takeSight(&wire.Sight{Process: p})
	}
	return f
}

func TestPublish(t *testing.T) {
	Convey("A view that says the same as the last is not handed out", t, func() {
		f := large(300)
		f.publish()
		view, changed := f.View(), f.Changed()
		So(view.Fronts, ShouldHaveLength, 300)
		So(view.Live, ShouldHaveLength, 300)
		f.publish()
		So(f.View(), ShouldEqual, view)
		So(f.Changed(), ShouldEqual, changed)

		Convey("And the look at it takes no memory for each member", func() {
			few, many := large(40), f
			few.publish()
			cost := func(f *Follower) float64 { return testing.AllocsPerRun(20, f.publish) }
			So(cost(many), ShouldEqual, cost(few))
		})
		Convey("One that lacks a front is, and wakes who waits", func() {
			f.takeSight(&wire.Sight{Process: f.told["front-007"].process, Silent: true})
			f.publish()
			So(f.View().Fronts, ShouldHaveLength, 299)
			So(f.View().Silent, ShouldResemble, []string{"front-007"})
			<-changed
		})
		Convey("A record that only counts on is no change", func() {
			again := &wire.Process{Name: "front-007", Address: "front-007", Front: true, Ready: true, Incarnation: 1, Counter: 2}
			f.takeSight(&wire.Sight{Process: again})
			f.publish()
			So(f.View(), ShouldEqual, view)
		})
		Convey("One that does not take traffic any more is", func() {
			again := &wire.Process{Name: "front-007", Address: "front-007", Front: true, Incarnation: 1, Counter: 2}
			f.takeSight(&wire.Sight{Process: again})
			f.publish()
			So(f.View().Fronts[7].Ready, ShouldBeFalse)
		})
		Convey("A server that is new is", func() {
			f.reports.Add(&wire.Report{Watcher: "front-001/list", Server: "s", Incarnation: 1, Counter: 1, Status: &wire.ServerStatus{
				Name: "s", Address: "s", Services: []string{"chat"}, State: wire.ServerState_SERVER_STATE_READY}}, f.FleetNow())
			f.publish()
			So(f.View().Servers, ShouldContainKey, "s")
		})
	})
}

func BenchmarkPublishUnchanged(b *testing.B) {
	f := large(300)
	f.publish()
	b.ReportAllocs()
	for b.Loop() {
		f.publish()
	}
}
