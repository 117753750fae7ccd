package follower

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/clock"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

// unreachablePeers are processes to which no call can be made.
type unreachablePeers []*wire.Process

func (p unreachablePeers) Process(string) (*wire.Process, bool) { return nil, false }
func (p unreachablePeers) Processes() []*wire.Process           { return p }
func (p unreachablePeers) Cores() []*wire.Process               { return port.CoresOf(p) }
func (p unreachablePeers) Client(string) wireconnect.PeerClient { return nil }

// newFleetFollower returns a follower of a fleet with the given number of members,
// which the feed has all reported as live.
func newFleetFollower(members int) *Follower {
	clock := clock.System()
	var known []port.KnownProcess
	var processes unreachablePeers
	state := statemachine.State{Version: 7, Roster: map[string]statemachine.Member{}}
	for i := range members {
		name := fmt.Sprintf("front-%03d", i)
		process := &wire.Process{
			Name:        name,
			Address:     name,
			Front:       true,
			Ready:       true,
			Incarnation: 1,
			Counter:     1,
		}
		known = append(known, port.KnownProcess{Process: process, LastSeen: clock.Now()})
		processes = append(processes, process)
		state.Roster[name] = statemachine.Member{Name: name, Front: true}
	}
	follower := New(Config{
		Self:           func() *wire.Process { return processes[0] },
		LeaseTTL:       2 * time.Second,
		RenewInterval:  500 * time.Millisecond,
		PingInterval:   500 * time.Millisecond,
		KnownProcesses: func() []port.KnownProcess { return known },
	}, processes, clock, events.Discard)
	follower.configuration = configuration{state: state, received: true}
	follower.membership.feedAnsweredAt = clock.Now()
	for _, process := range processes {
		follower.membership.applyReport(&wire.Sight{Process: process}, follower.clock.Now())
	}
	return follower
}

func TestPublishSkipsUnchangedViews(t *testing.T) {
	Convey("A view that equals the previous one is not published", t, func() {
		follower := newFleetFollower(300)
		follower.publish()
		view := follower.View()
		changed := follower.Changed()
		So(view.Fronts, ShouldHaveLength, 300)
		So(view.Remaining, ShouldHaveLength, 300)
		follower.publish()
		So(follower.View(), ShouldEqual, view)
		So(follower.Changed(), ShouldEqual, changed)

		Convey("and the comparison allocates nothing per member", func() {
			smallerFleet := newFleetFollower(40)
			largerFleet := follower
			smallerFleet.publish()
			allocations := func(follower *Follower) float64 { return testing.AllocsPerRun(20, follower.publish) }
			So(allocations(largerFleet), ShouldEqual, allocations(smallerFleet))
		})
		Convey("A view without a front that became unresponsive is published, and waiting readers are notified", func() {
			follower.membership.applyReport(&wire.Sight{Process: follower.membership.processReports["front-007"].process, Silent: true}, follower.clock.Now())
			follower.publish()
			So(follower.View().Fronts, ShouldHaveLength, 299)
			So(follower.View().Unresponsive, ShouldResemble, []string{"front-007"})
			<-changed
		})
		Convey("A record that differs only in its counter is not a change", func() {
			updated := &wire.Process{
				Name:        "front-007",
				Address:     "front-007",
				Front:       true,
				Ready:       true,
				Incarnation: 1,
				Counter:     2,
			}
			follower.membership.applyReport(&wire.Sight{Process: updated}, follower.clock.Now())
			follower.publish()
			So(follower.View(), ShouldEqual, view)
		})
		Convey("A front that no longer takes traffic is a change", func() {
			updated := &wire.Process{
				Name:        "front-007",
				Address:     "front-007",
				Front:       true,
				Incarnation: 1,
				Counter:     2,
			}
			follower.membership.applyReport(&wire.Sight{Process: updated}, follower.clock.Now())
			follower.publish()
			So(follower.View().Fronts[7].Ready, ShouldBeFalse)
		})
		Convey("A new server is a change", func() {
			follower.reports.Add(&wire.Report{
				Watcher:     "front-001/list",
				Server:      "s",
				Incarnation: 1,
				Counter:     1,
				Status: &wire.ServerStatus{
					Name:     "s",
					Address:  "s",
					Services: []string{"chat"},
					State:    wire.ServerState_SERVER_STATE_READY,
				},
			}, follower.FleetNow())
			follower.publish()
			So(follower.View().Servers, ShouldContainKey, "s")
		})
	})
}

func BenchmarkPublishUnchanged(b *testing.B) {
	f := newFleetFollower(300)
	f.publish()
	b.ReportAllocs()
	for b.Loop() {
		f.publish()
	}
}
