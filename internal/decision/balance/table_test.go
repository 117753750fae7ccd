package balance

import (
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// fleet is a view of n servers of the service pool, by turns in two regions.
func fleet(n int, service sheet.Service, fronts ...string) View {
	service.Kind = sheet.KindHTTP
	view := View{State: statemachine.State{Version: 1, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{"pool": service}}},
		Servers: map[string]*wire.ServerStatus{}, Fronts: fronts, FleetNow: start}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		view.Servers[name] = &wire.ServerStatus{Name: name, Address: "10.0.0.1:80", Services: []string{"pool"}, Reachable: true,
			State: wire.ServerState_SERVER_STATE_READY, Region: []string{"north", "south"}[i%2], Zone: "z"}
	}
	return view
}

func table(view View, config Config) *Table {
	if config.Self == "" {
		config.Self = "f0"
	}
	config.Region, config.Zone = "north", "z"
	t := New(config)
	t.Update(view, start)
	return t
}

// ask is a request of 500 tokens of its own, beside 5000 of a shared prompt
// where it has one.
func ask(id string, shared uint64) *Request {
	request := &Request{ID: id, Service: "pool", Affinity: shared, Own: 500, Until: at(1000)}
	if shared != 0 {
		request.Shared = 5000
	}
	return request
}

func TestChoice(t *testing.T) {
	Convey("All nodes send requests that share a prompt to the same server", t, func() {
		for shared := uint64(1); shared < 50; shared++ {
			one := table(fleet(10, sheet.Service{}), Config{Self: "f0"}).Choose(ask("a", shared), start)
			other := table(fleet(10, sheet.Service{}), Config{Self: "f1"}).Choose(ask("b", shared), start)
			So(one.Server, ShouldEqual, other.Server)
		}
	})
	Convey("A server that leaves moves its own prompts only", t, func() {
		full, less := fleet(10, sheet.Service{}), fleet(10, sheet.Service{})
		delete(less.Servers, "s3")
		for shared := uint64(1); shared < 100; shared++ {
			before := table(full, Config{}).Choose(ask("a", shared), start).Server
			after := table(less, Config{}).Choose(ask("a", shared), start).Server
			if before != "s3" {
				So(after, ShouldEqual, before)
			}
			So(after, ShouldNotEqual, "s3")
		}
	})
	Convey("A holder with much to read is passed over for a server that has little", t, func() {
		tab := table(fleet(10, sheet.Service{}), Config{})
		holder := tab.Choose(ask("a", 7), start).Server
		big := ask("big", 99)
		big.Own = 60_000
		tab.Started(holder, big, start)
		So(tab.Choose(ask("b", 7), start).Server, ShouldNotEqual, holder)
	})
	Convey("Requests without a shared prompt stay in the region and spread over its servers", t, func() {
		tab, used := table(fleet(10, sheet.Service{}), Config{}), map[string]int{}
		for i := range 10 {
			request := ask(fmt.Sprint(i), 0)
			choice := tab.Choose(request, start)
			tab.Started(choice.Server, request, start)
			used[choice.Server]++
		}
		So(used, ShouldHaveLength, 5)
		for _, count := range used {
			So(count, ShouldEqual, 2)
		}
	})
	Convey("Homes bind whatever the cost", t, func() {
		tab := table(fleet(4, sheet.Service{}), Config{})
		for i := range 20 {
			request := ask(fmt.Sprint(i), uint64(i))
			request.Regions = []string{"south"}
			So(tab.Choose(request, start).Server, ShouldBeIn, "s1", "s3")
		}
		request := ask("x", 0)
		request.Regions = []string{"west"}
		So(tab.Choose(request, start).Fault.Code, ShouldEqual, apierror.NoServer)
	})
	Convey("Draining, evacuated and unreachable servers get nothing", t, func() {
		view := fleet(4, sheet.Service{})
		view.Servers["s0"].State = wire.ServerState_SERVER_STATE_DRAINING
		view.Servers["s1"].Reachable = false
		view.Servers["s2"].Zone = "empty"
		view.State.Evacuated = map[string]uint64{"north/empty": 1}
		tab := table(view, Config{})
		for i := range 10 {
			So(tab.Choose(ask(fmt.Sprint(i), uint64(i)), start).Server, ShouldEqual, "s3")
		}
	})
}

func TestFailures(t *testing.T) {
	send := func(tab *Table, id string, now time.Time) *Attempt {
		request := ask(id, 0)
		choice := tab.Choose(request, now)
		So(choice.Fault, ShouldBeNil)
		return tab.Started(choice.Server, request, now)
	}
	Convey("A refused server rests, twice as long each time, until one request has found it back", t, func() {
		tab := table(fleet(1, sheet.Service{}), Config{})
		tab.Finished(send(tab, "a", start), Outcome{Refused: true}, start)
		So(tab.Choose(ask("b", 0), at(999)).Wait, ShouldBeTrue)
		tab.Finished(send(tab, "c", at(1000)), Outcome{Refused: true}, at(1000))
		So(tab.Choose(ask("d", 0), at(2900)).Server, ShouldBeEmpty)
		probe := send(tab, "e", at(3000))
		So(tab.Choose(ask("f", 0), at(3000)).Server, ShouldBeEmpty)
		tab.Finished(probe, Outcome{OK: true}, at(3010))
		So(tab.Choose(ask("g", 0), at(3010)).Server, ShouldEqual, "s0")
	})
	Convey("A server that is silent on what it was sent is told as hung, and passed over", t, func() {
		tab := table(fleet(2, sheet.Service{}), Config{})
		first := send(tab, "a", start)
		So(tab.Silences(at(100)), ShouldBeEmpty)
		So(tab.Silences(at(500))[first.Server()].Silence, ShouldEqual, Long)
		So(tab.Silences(at(700))[first.Server()].Silence, ShouldEqual, Hanging)
		So(tab.Silences(at(2000))[first.Server()].Silence, ShouldEqual, Mute)
		for i := range 5 {
			So(tab.Choose(ask(fmt.Sprint(i), 0), at(2000)).Server, ShouldNotEqual, first.Server())
		}
		tab.Began(first, at(2001))
		So(tab.Silences(at(4000)), ShouldBeEmpty)
	})
	Convey("A server that answers with errors costs more for a while", t, func() {
		tab := table(fleet(4, sheet.Service{}), Config{})
		a := send(tab, "a", start)
		tab.Finished(a, Outcome{Erred: true}, start)
		for i := range 10 {
			So(tab.Choose(ask(fmt.Sprint(i), 0), at(500)).Server, ShouldNotEqual, a.Server())
		}
	})
	Convey("A server at whose address another one was met gets nothing more, whatever the list says", t, func() {
		view := fleet(1, sheet.Service{})
		tab := table(view, Config{})
		tab.Finished(send(tab, "a", start), Outcome{Replaced: true}, start)
		So(tab.Choose(ask("b", 0), at(1)).Fault.Code, ShouldEqual, apierror.NoServer)
		tab.Update(view, at(10_000))
		So(tab.Choose(ask("c", 0), at(10_000)).Fault.Code, ShouldEqual, apierror.NoServer)
	})
	Convey("A server tried before is out of the question", t, func() {
		tab := table(fleet(2, sheet.Service{}), Config{RetrySlack: 100})
		request := ask("a", 0)
		request.Tried, request.Repeat = []string{"s0"}, true
		So(tab.Choose(request, start).Server, ShouldEqual, "s1")
	})
}

func TestBoundsOverTheFleet(t *testing.T) {
	Convey("Connections to a server are parted among the nodes", t, func() {
		tab := table(fleet(1, sheet.Service{MaxConnections: 12}, "f0", "f1", "f2", "f3"), Config{})
		for i := range 3 {
			request := ask(fmt.Sprint(i), 0)
			So(tab.Choose(request, start).Server, ShouldEqual, "s0")
			tab.Started("s0", request, start)
		}
		So(tab.Choose(ask("more", 0), start).Wait, ShouldBeTrue)
		late := ask("late", 0)
		late.Until = start
		So(tab.Choose(late, start).Fault.Code, ShouldEqual, apierror.QueueFull)
	})
	Convey("All nodes together stay within what a cold server bears in any second", t, func() {
		for _, nodes := range []int{1, 3, 9, 40} {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprintf("f%d", i))
			}
			var arrivals []int
			for _, name := range names {
				view := fleet(1, sheet.Service{SlowStartRate: 17}, names...)
				view.Servers["s0"].ColdUntilMs = at(5000).UnixMilli()
				tab := table(view, Config{Self: name, ColdOverage: 1.5, ColdSlack: 5})
				for ms := range 5000 {
					request := ask(fmt.Sprint(ms), 0)
					if tab.Choose(request, at(ms)).Server == "" {
						continue
					}
					tab.Finished(tab.Started("s0", request, at(ms)), Outcome{OK: true}, at(ms))
					arrivals = append(arrivals, ms)
				}
			}
			perMS := make([]int, 6000)
			for _, ms := range arrivals {
				perMS[ms]++
			}
			most := 0
			for from := range 4000 {
				sum := 0
				for _, n := range perMS[from : from+1000] {
					sum += n
				}
				most = max(most, sum)
			}
			So(most, ShouldBeLessThanOrEqualTo, 17*1.5+5)
			So(most, ShouldBeGreaterThan, 10)
		}
	})
	Convey("Nodes that were restarted together and do not know each other yet stay within it too", t, func() {
		var members []string
		for i := range 91 {
			members = append(members, fmt.Sprintf("f%d", i))
		}
		most := 0
		for server := range 4 {
			arrivals := 0
			for i, name := range members {
				view := fleet(server+1, sheet.Service{SlowStartRate: 8.8}, members[i])
				if i >= 30 {
					view.Fronts = members
				}
				view.Members = members
				cold := fmt.Sprintf("s%d", server)
				view.Servers = map[string]*wire.ServerStatus{cold: view.Servers[cold]}
				view.Servers[cold].ColdUntilMs = at(5000).UnixMilli()
				tab := table(view, Config{Self: name, ColdOverage: 1.2, ColdSlack: 4})
				for ms := 0; ms < 1000; ms += 20 {
					request := ask(fmt.Sprint(ms), 0)
					if tab.Choose(request, at(ms)).Server == "" {
						continue
					}
					tab.Finished(tab.Started(cold, request, at(ms)), Outcome{OK: true}, at(ms))
					arrivals++
				}
			}
			most = max(most, arrivals)
		}
		So(most, ShouldBeLessThanOrEqualTo, 8.8*1.2+4)
	})
	Convey("A server that is no longer cold has no such bound", t, func() {
		view := fleet(1, sheet.Service{SlowStartRate: 1})
		view.Servers["s0"].ColdUntilMs = at(100).UnixMilli()
		tab := table(view, Config{})
		for i := range 20 {
			request := ask(fmt.Sprint(i), 0)
			So(tab.Choose(request, at(100)).Server, ShouldEqual, "s0")
			tab.Started("s0", request, at(100))
		}
	})
	Convey("Repeats stay within their share of any window's requests and the node's part of the slack", t, func() {
		tab := table(fleet(3, sheet.Service{}, "f0", "f1"), Config{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second})
		repeats := 0
		for i := range 100 {
			now := at(i * 50)
			tab.Count("pool", now)
			request := ask(fmt.Sprint(i), 0)
			request.Tried, request.Repeat = []string{"s0"}, true
			choice := tab.Choose(request, now)
			if choice.Fault != nil {
				So(choice.Fault.Code, ShouldEqual, apierror.BudgetSpent)
				So(choice.Fault.RetryAfter, ShouldBeGreaterThan, 0)
				continue
			}
			repeats++
			tab.Finished(tab.Started(choice.Server, request, now), Outcome{OK: true}, now)
		}
		So(repeats, ShouldEqual, 25)
	})
}

func TestSpeed(t *testing.T) {
	Convey("The time to read a token is learned as the slope over many sizes", t, func() {
		var s speed
		for i := range 200 {
			tokens := float64(500 + 37*i)
			s.learn(tokens, time.Duration((50+0.02*tokens)*float64(time.Millisecond)))
		}
		So(s.perToken(), ShouldAlmostEqual, 0.02, 0.0005)
	})
	Convey("What is remembered of shared prompts is bounded", t, func() {
		h := newHolders()
		for key := range uint64(3 * holdersMost) {
			h.note(key+1, "s0", at(int(key)))
		}
		So(len(h.places), ShouldBeLessThanOrEqualTo, holdersMost)
		So(h.holds(3*holdersMost, "s0", at(3*holdersMost)), ShouldBeTrue)
	})
}

func TestMechanisms(t *testing.T) {
	Convey("Mechanisms are switched off by their names, and unknown names are refused", t, func() {
		off, err := ParseOff([]string{"doubts", "suspects"})
		So(err, ShouldBeNil)
		So(off, ShouldResemble, Off{Doubts: true, Suspects: true})
		_, err = ParseOff([]string{"doubt"})
		So(err, ShouldNotBeNil)
	})
	Convey("Without affinity there is no holder, without ejection a refused server does not rest, without doubts an error costs nothing", t, func() {
		tab := table(fleet(4, sheet.Service{}), Config{Off: Off{Affinity: true, Ejection: true, Doubts: true}})
		So(tab.holder(ask("a", 7), start), ShouldBeNil)
		tab.Finished(tab.Started("s0", ask("b", 0), start), Outcome{Refused: true}, start)
		So(tab.Resting("s0", at(1)), ShouldBeFalse)
		tab.Finished(tab.Started("s0", ask("c", 0), start), Outcome{Erred: true}, start)
		So(tab.cost(tab.servers["s0"], ask("d", 0), nil, at(1)), ShouldBeLessThan, 10)
	})
}

func TestIsolation(t *testing.T) {
	digest := func(id string, shared uint64) *Request {
		request := ask(id, shared)
		request.Route, request.Pause, request.Own, request.Out = "digest", 400*time.Millisecond, 9000, 60
		return request
	}
	reply := func(id string) *Request {
		request := ask(id, 0)
		request.Route, request.Pause, request.Own, request.Out = "reply", 400*time.Millisecond, 2000, 300
		return request
	}
	serve := func(tab *Table, request *Request, now time.Time) string {
		choice := tab.Choose(request, now)
		attempt := tab.Started(choice.Server, request, now)
		tab.Began(attempt, now)
		tab.Finished(attempt, Outcome{OK: true}, now)
		return choice.Server
	}
	learned := func(off Off, name string) *Table {
		tab := table(fleet(60, sheet.Service{}), Config{Self: name, Off: off})
		for i := range 10 {
			serve(tab, digest(fmt.Sprint(i), uint64(i+1)), at(i*100))
			serve(tab, reply(fmt.Sprint(i)), at(i*100))
		}
		return tab
	}
	Convey("Long answers to short prompts come from servers of each region that long prompts avoid, the same at all nodes", t, func() {
		one, other := learned(nil, "f0"), learned(nil, "f1")
		one.isolate(at(1100))
		other.isolate(at(1100))
		So(one.isolated, ShouldNotBeEmpty)
		So(one.isolated, ShouldResemble, other.isolated)
		regions := map[string]int{}
		for name := range one.isolated {
			regions[one.servers[name].status.Region]++
		}
		So(regions, ShouldResemble, map[string]int{"north": 3, "south": 3})
		for i := range 50 {
			So(one.isolated[serve(one, reply(fmt.Sprint("r", i)), at(1200))], ShouldBeTrue)
			So(one.isolated[serve(other, digest(fmt.Sprint("d", i), uint64(i+50)), at(1200))], ShouldBeFalse)
		}
	})
	Convey("Where the servers that are set aside are out, others serve, and others take their place", t, func() {
		tab := learned(nil, "f0")
		tab.isolate(at(1100))
		view := fleet(60, sheet.Service{})
		for name := range tab.isolated {
			view.Servers[name].Reachable = false
		}
		before := maps.Clone(tab.isolated)
		tab.Update(view, at(1200))
		choice := tab.Choose(reply("a"), at(1200))
		So(before[choice.Server], ShouldBeFalse)
		So(tab.isolated[choice.Server], ShouldBeTrue)
	})
	Convey("While a server that is set aside is overloaded, decode-heavy routes go wherever it costs least, and long prompts still avoid it", t, func() {
		for name, crowd := range map[string]func(*Table, *Attempt){
			"rejects": func(tab *Table, a *Attempt) { tab.Finished(a, Outcome{Rejected: true}, at(1300)) },
			"is slow": func(tab *Table, a *Attempt) { tab.Began(a, at(2600)) },
		} {
			tab := learned(nil, "f0")
			tab.isolate(at(1100))
			first := reply("first")
			attempt := tab.Started(tab.Choose(first, at(1200)).Server, first, at(1200))
			crowd(tab, attempt)
			others := map[bool]int{}
			for i := range 60 {
				request := reply(fmt.Sprint(name, i))
				choice := tab.Choose(request, at(2700))
				tab.Started(choice.Server, request, at(2700))
				others[tab.isolated[choice.Server]]++
			}
			So(others[false], ShouldBeGreaterThan, 30)
			So(tab.isolated[serve(tab, digest("d", 99), at(2700))], ShouldBeFalse)
			So(tab.misplaced(tab.servers["s0"], reply("later"), at(6000)), ShouldEqual, !tab.isolated["s0"])
		}
	})
	Convey("A cold server is not set aside", t, func() {
		tab := learned(nil, "f0")
		tab.isolate(at(1100))
		view := fleet(60, sheet.Service{})
		for name := range tab.isolated {
			view.Servers[name].ColdUntilMs = at(9000).UnixMilli()
		}
		before := maps.Clone(tab.isolated)
		tab.Update(view, at(1200))
		So(tab.isolated, ShouldNotBeEmpty)
		for name := range tab.isolated {
			So(before[name], ShouldBeFalse)
		}
	})
	Convey("Nothing is set aside while routes are not known, where all are alike, in small pools, and when it is switched off", t, func() {
		fresh := table(fleet(60, sheet.Service{}), Config{})
		fresh.isolate(start)
		So(fresh.isolated, ShouldBeEmpty)
		alike := table(fleet(60, sheet.Service{}), Config{})
		for i := range 20 {
			serve(alike, reply(fmt.Sprint(i)), at(i*100))
		}
		alike.isolate(at(2000))
		So(alike.isolated, ShouldBeEmpty)
		small := learned(nil, "f0")
		small.Update(fleet(6, sheet.Service{}), at(1100))
		So(small.isolated, ShouldBeEmpty)
		off := learned(Off{Isolation: true}, "f0")
		off.isolate(at(1100))
		So(off.isolated, ShouldBeEmpty)
	})
}

func TestUpdate(t *testing.T) {
	Convey("A server that the view lacks for a while is taken in again, though its status is the same", t, func() {
		view := fleet(3, sheet.Service{})
		tab := table(view, Config{})
		attempt := tab.Started("s0", ask("a", 0), start)
		without := view
		without.Servers = maps.Clone(view.Servers)
		delete(without.Servers, "s0")
		tab.Update(without, at(1))
		So(tab.Usable("s0"), ShouldBeFalse)
		tab.Update(view, at(2))
		So(tab.Usable("s0"), ShouldBeTrue)
		tab.Finished(attempt, Outcome{OK: true}, at(3))
		So(tab.pools["pool"], ShouldHaveLength, 3)
	})
	Convey("One that drains leaves its pool, and one whose status alone is new stays", t, func() {
		view := fleet(3, sheet.Service{})
		tab := table(view, Config{})
		next := view
		next.Servers = maps.Clone(view.Servers)
		for name, state := range map[string]wire.ServerState{"s0": wire.ServerState_SERVER_STATE_DRAINING, "s1": wire.ServerState_SERVER_STATE_READY} {
			status := proto.Clone(view.Servers[name]).(*wire.ServerStatus)
			status.State, status.Answered = state, 7
			next.Servers[name] = status
		}
		tab.Update(next, at(1))
		So(tab.pools["pool"], ShouldHaveLength, 2)
		So(tab.servers["s1"].status.Answered, ShouldEqual, 7)
	})
	Convey("An update that says the same costs no memory for each server", t, func() {
		few, many := fleet(10, sheet.Service{}), fleet(240, sheet.Service{})
		cost := func(view View) float64 {
			tab := table(view, Config{})
			return testing.AllocsPerRun(20, func() { tab.Update(view, at(1)) })
		}
		So(cost(many), ShouldEqual, cost(few))
	})
}
