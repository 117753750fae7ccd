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

// newTestView returns a view of n servers of the service pool, alternating between two regions.
func newTestView(n int, service sheet.Service, fronts ...string) View {
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

func newTestTable(view View, config Config) *Table {
	if config.Self == "" {
		config.Self = "f0"
	}
	config.Region, config.Zone = "north", "z"
	t := New(config)
	t.Update(view, start)
	return t
}

// newTestRequest returns a request of 500 tokens of its own, beside 5000 of a shared prompt
// where it has one.
func newTestRequest(id string, shared uint64) *Request {
	request := &Request{ID: id, Service: "pool", Affinity: shared, OwnTokens: 500, QueueUntil: at(1000)}
	if shared != 0 {
		request.SharedTokens = 5000
	}
	return request
}

func TestChoose(t *testing.T) {
	Convey("All nodes send requests that share a prefix to the same server", t, func() {
		for shared := uint64(1); shared < 50; shared++ {
			one := newTestTable(newTestView(10, sheet.Service{}), Config{Self: "f0"}).Choose(newTestRequest("a", shared), start)
			other := newTestTable(newTestView(10, sheet.Service{}), Config{Self: "f1"}).Choose(newTestRequest("b", shared), start)
			So(one.Server, ShouldEqual, other.Server)
		}
	})
	Convey("The removal of a server moves only its own prefixes", t, func() {
		full, less := newTestView(10, sheet.Service{}), newTestView(10, sheet.Service{})
		delete(less.Servers, "s3")
		for shared := uint64(1); shared < 100; shared++ {
			before := newTestTable(full, Config{}).Choose(newTestRequest("a", shared), start).Server
			after := newTestTable(less, Config{}).Choose(newTestRequest("a", shared), start).Server
			if before != "s3" {
				So(after, ShouldEqual, before)
			}
			So(after, ShouldNotEqual, "s3")
		}
	})
	Convey("A preferred server with a long prefill backlog is avoided for an idle one", t, func() {
		balancer := newTestTable(newTestView(10, sheet.Service{}), Config{})
		holder := balancer.Choose(newTestRequest("a", 7), start).Server
		big := newTestRequest("big", 99)
		big.OwnTokens = 60_000
		balancer.StartAttempt(holder, big, start)
		So(balancer.Choose(newTestRequest("b", 7), start).Server, ShouldNotEqual, holder)
	})
	Convey("Requests without a shared prefix stay in the region and are spread over its servers", t, func() {
		balancer, used := newTestTable(newTestView(10, sheet.Service{}), Config{}), map[string]int{}
		for i := range 10 {
			request := newTestRequest(fmt.Sprint(i), 0)
			choice := balancer.Choose(request, start)
			balancer.StartAttempt(choice.Server, request, start)
			used[choice.Server]++
		}
		So(used, ShouldHaveLength, 5)
		for _, count := range used {
			So(count, ShouldEqual, 2)
		}
	})
	Convey("Allowed regions hold whatever the cost", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{})
		for i := range 20 {
			request := newTestRequest(fmt.Sprint(i), uint64(i))
			request.Regions = []string{"south"}
			So(balancer.Choose(request, start).Server, ShouldBeIn, "s1", "s3")
		}
		request := newTestRequest("x", 0)
		request.Regions = []string{"west"}
		So(balancer.Choose(request, start).Err.Code, ShouldEqual, apierror.NoServer)
	})
	Convey("Draining, evacuated and unreachable servers get no requests", t, func() {
		view := newTestView(4, sheet.Service{})
		view.Servers["s0"].State = wire.ServerState_SERVER_STATE_DRAINING
		view.Servers["s1"].Reachable = false
		view.Servers["s2"].Zone = "empty"
		view.State.Evacuated = map[string]uint64{"north/empty": 1}
		balancer := newTestTable(view, Config{})
		for i := range 10 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), uint64(i)), start).Server, ShouldEqual, "s3")
		}
	})
}

func TestHealth(t *testing.T) {
	send := func(balancer *Table, id string, now time.Time) *Attempt {
		request := newTestRequest(id, 0)
		choice := balancer.Choose(request, now)
		So(choice.Err, ShouldBeNil)
		return balancer.StartAttempt(choice.Server, request, now)
	}
	Convey("A server that refuses a connection is ejected, twice as long each time, until one probing request succeeds", t, func() {
		balancer := newTestTable(newTestView(1, sheet.Service{}), Config{})
		balancer.FinishAttempt(send(balancer, "a", start), OutcomeRefused, start)
		So(balancer.Choose(newTestRequest("b", 0), at(999)).Wait, ShouldBeTrue)
		balancer.FinishAttempt(send(balancer, "c", at(1000)), OutcomeRefused, at(1000))
		So(balancer.Choose(newTestRequest("d", 0), at(2900)).Server, ShouldBeEmpty)
		probe := send(balancer, "e", at(3000))
		So(balancer.Choose(newTestRequest("f", 0), at(3000)).Server, ShouldBeEmpty)
		balancer.FinishAttempt(probe, OutcomeSucceeded, at(3010))
		So(balancer.Choose(newTestRequest("g", 0), at(3010)).Server, ShouldEqual, "s0")
	})
	Convey("A server that does not respond is reported as stalled, and avoided", t, func() {
		balancer := newTestTable(newTestView(2, sheet.Service{}), Config{})
		first := send(balancer, "a", start)
		So(balancer.StalledServers(at(100)), ShouldBeEmpty)
		So(balancer.StalledServers(at(500))[first.Server()].Level, ShouldEqual, Slow)
		So(balancer.StalledServers(at(700))[first.Server()].Level, ShouldEqual, Stalled)
		So(balancer.StalledServers(at(2000))[first.Server()].Level, ShouldEqual, Unresponsive)
		for i := range 5 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), 0), at(2000)).Server, ShouldNotEqual, first.Server())
		}
		balancer.ResponseStarted(first, at(2001))
		So(balancer.StalledServers(at(4000)), ShouldBeEmpty)
	})
	Convey("A server that responds with errors costs more for a while", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{})
		a := send(balancer, "a", start)
		balancer.FinishAttempt(a, OutcomeServerError, start)
		for i := range 10 {
			So(balancer.Choose(newTestRequest(fmt.Sprint(i), 0), at(500)).Server, ShouldNotEqual, a.Server())
		}
	})
	Convey("A server whose address another server has gets no more requests, whatever the view says", t, func() {
		view := newTestView(1, sheet.Service{})
		balancer := newTestTable(view, Config{})
		balancer.FinishAttempt(send(balancer, "a", start), OutcomeReplaced, start)
		So(balancer.Choose(newTestRequest("b", 0), at(1)).Err.Code, ShouldEqual, apierror.NoServer)
		balancer.Update(view, at(10_000))
		So(balancer.Choose(newTestRequest("c", 0), at(10_000)).Err.Code, ShouldEqual, apierror.NoServer)
	})
	Convey("A server that was tried before is not chosen", t, func() {
		balancer := newTestTable(newTestView(2, sheet.Service{}), Config{RetrySlack: 100})
		request := newTestRequest("a", 0)
		request.ExcludedServers = []string{"s0"}
		request.Retry = true
		So(balancer.Choose(request, start).Server, ShouldEqual, "s1")
	})
}

func TestFleetLimits(t *testing.T) {
	Convey("Connections to a server are divided among the nodes", t, func() {
		balancer := newTestTable(newTestView(1, sheet.Service{MaxConnections: 12}, "f0", "f1", "f2", "f3"), Config{})
		for i := range 3 {
			request := newTestRequest(fmt.Sprint(i), 0)
			So(balancer.Choose(request, start).Server, ShouldEqual, "s0")
			balancer.StartAttempt("s0", request, start)
		}
		So(balancer.Choose(newTestRequest("more", 0), start).Wait, ShouldBeTrue)
		late := newTestRequest("late", 0)
		late.QueueUntil = start
		So(balancer.Choose(late, start).Err.Code, ShouldEqual, apierror.QueueFull)
	})
	Convey("All nodes together stay within what a server in slow start accepts in any second", t, func() {
		for _, nodes := range []int{1, 3, 9, 40} {
			var names []string
			for i := range nodes {
				names = append(names, fmt.Sprintf("f%d", i))
			}
			var arrivals []int
			for _, name := range names {
				view := newTestView(1, sheet.Service{SlowStartRate: 17}, names...)
				view.Servers["s0"].ColdUntilMs = at(5000).UnixMilli()
				balancer := newTestTable(view, Config{Self: name, SlowStartOverage: 1.5, SlowStartSlack: 5})
				for ms := range 5000 {
					request := newTestRequest(fmt.Sprint(ms), 0)
					if balancer.Choose(request, at(ms)).Server == "" {
						continue
					}
					balancer.FinishAttempt(balancer.StartAttempt("s0", request, at(ms)), OutcomeSucceeded, at(ms))
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
				view := newTestView(server+1, sheet.Service{SlowStartRate: 8.8}, members[i])
				if i >= 30 {
					view.Fronts = members
				}
				view.Members = members
				cold := fmt.Sprintf("s%d", server)
				view.Servers = map[string]*wire.ServerStatus{cold: view.Servers[cold]}
				view.Servers[cold].ColdUntilMs = at(5000).UnixMilli()
				balancer := newTestTable(view, Config{Self: name, SlowStartOverage: 1.2, SlowStartSlack: 4})
				for ms := 0; ms < 1000; ms += 20 {
					request := newTestRequest(fmt.Sprint(ms), 0)
					if balancer.Choose(request, at(ms)).Server == "" {
						continue
					}
					balancer.FinishAttempt(balancer.StartAttempt(cold, request, at(ms)), OutcomeSucceeded, at(ms))
					arrivals++
				}
			}
			most = max(most, arrivals)
		}
		So(most, ShouldBeLessThanOrEqualTo, 8.8*1.2+4)
	})
	Convey("A server whose slow start is over has no such limit", t, func() {
		view := newTestView(1, sheet.Service{SlowStartRate: 1})
		view.Servers["s0"].ColdUntilMs = at(100).UnixMilli()
		balancer := newTestTable(view, Config{})
		for i := range 20 {
			request := newTestRequest(fmt.Sprint(i), 0)
			So(balancer.Choose(request, at(100)).Server, ShouldEqual, "s0")
			balancer.StartAttempt("s0", request, at(100))
		}
	})
	Convey("Retries stay within their fraction of any window's requests and the node's share of the slack", t, func() {
		balancer := newTestTable(newTestView(3, sheet.Service{}, "f0", "f1"), Config{RetryRatio: 0.2, RetrySlack: 10, RetryWindow: 10 * time.Second})
		retries := 0
		for i := range 100 {
			now := at(i * 50)
			balancer.CountRequest("pool", now)
			request := newTestRequest(fmt.Sprint(i), 0)
			request.ExcludedServers = []string{"s0"}
			request.Retry = true
			choice := balancer.Choose(request, now)
			if choice.Err != nil {
				So(choice.Err.Code, ShouldEqual, apierror.BudgetSpent)
				So(choice.Err.RetryAfter, ShouldBeGreaterThan, 0)
				continue
			}
			retries++
			balancer.FinishAttempt(balancer.StartAttempt(choice.Server, request, now), OutcomeSucceeded, now)
		}
		So(retries, ShouldEqual, 25)
	})
}

func TestLearnedState(t *testing.T) {
	Convey("The prefill time per token is learned as the slope over many prompt sizes", t, func() {
		var s prefillSpeed
		for i := range 200 {
			tokens := float64(500 + 37*i)
			s.addSample(tokens, time.Duration((50+0.02*tokens)*float64(time.Millisecond)))
		}
		So(s.perToken(), ShouldAlmostEqual, 0.02, 0.0005)
	})
	Convey("The number of remembered prefixes is limited", t, func() {
		h := newPrefixCaches()
		for key := range uint64(3 * maxPrefixes) {
			h.record(key+1, "s0", at(int(key)))
		}
		So(len(h.locations), ShouldBeLessThanOrEqualTo, maxPrefixes)
		So(h.holds(3*maxPrefixes, "s0", at(3*maxPrefixes)), ShouldBeTrue)
	})
}

func TestMechanisms(t *testing.T) {
	Convey("Mechanisms are switched off by their names, and unknown names are refused", t, func() {
		off, err := ParseDisabled([]string{"doubts", "suspects"})
		So(err, ShouldBeNil)
		So(off, ShouldResemble, Disabled{SuspicionCost: true, UnresponsiveReports: true})
		_, err = ParseDisabled([]string{"doubt"})
		So(err, ShouldNotBeNil)
	})
	Convey("Without affinity there is no preferred server, without ejection a refusing server is not ejected, without suspicion an error costs nothing", t, func() {
		balancer := newTestTable(newTestView(4, sheet.Service{}), Config{Disabled: Disabled{Affinity: true, Ejection: true, SuspicionCost: true}})
		So(balancer.preferredServer(newTestRequest("a", 7), start), ShouldBeNil)
		balancer.FinishAttempt(balancer.StartAttempt("s0", newTestRequest("b", 0), start), OutcomeRefused, start)
		So(balancer.servers["s0"].ejection.ejected(at(1)), ShouldBeFalse)
		balancer.FinishAttempt(balancer.StartAttempt("s0", newTestRequest("c", 0), start), OutcomeServerError, start)
		So(balancer.cost(balancer.servers["s0"], newTestRequest("d", 0), nil, at(1)), ShouldBeLessThan, 10)
	})
}

func TestIsolation(t *testing.T) {
	digest := func(id string, shared uint64) *Request {
		request := newTestRequest(id, shared)
		request.Route = "digest"
		request.MaxEventGap = 400 * time.Millisecond
		request.OwnTokens = 9000
		request.OutputTokens = 60
		return request
	}
	reply := func(id string) *Request {
		request := newTestRequest(id, 0)
		request.Route = "reply"
		request.MaxEventGap = 400 * time.Millisecond
		request.OwnTokens = 2000
		request.OutputTokens = 300
		return request
	}
	serve := func(balancer *Table, request *Request, now time.Time) string {
		choice := balancer.Choose(request, now)
		attempt := balancer.StartAttempt(choice.Server, request, now)
		balancer.ResponseStarted(attempt, now)
		balancer.FinishAttempt(attempt, OutcomeSucceeded, now)
		return choice.Server
	}
	learned := func(off Disabled, name string) *Table {
		balancer := newTestTable(newTestView(60, sheet.Service{}), Config{Self: name, Disabled: off})
		for i := range 10 {
			serve(balancer, digest(fmt.Sprint(i), uint64(i+1)), at(i*100))
			serve(balancer, reply(fmt.Sprint(i)), at(i*100))
		}
		return balancer
	}
	Convey("Decode-heavy routes use servers of each region that long prompts avoid, the same at all nodes", t, func() {
		one, other := learned(nil, "f0"), learned(nil, "f1")
		one.isolate(at(1100))
		other.isolate(at(1100))
		So(one.isolation.servers, ShouldNotBeEmpty)
		So(one.isolation.servers, ShouldResemble, other.isolation.servers)
		regions := map[string]int{}
		for name := range one.isolation.servers {
			regions[one.servers[name].status.Region]++
		}
		So(regions, ShouldResemble, map[string]int{"north": 3, "south": 3})
		for i := range 50 {
			So(one.isolation.servers[serve(one, reply(fmt.Sprint("r", i)), at(1200))], ShouldBeTrue)
			So(one.isolation.servers[serve(other, digest(fmt.Sprint("d", i), uint64(i+50)), at(1200))], ShouldBeFalse)
		}
	})
	Convey("When isolated servers become unreachable, others serve and others are isolated", t, func() {
		balancer := learned(nil, "f0")
		balancer.isolate(at(1100))
		view := newTestView(60, sheet.Service{})
		for name := range balancer.isolation.servers {
			view.Servers[name].Reachable = false
		}
		before := maps.Clone(balancer.isolation.servers)
		balancer.Update(view, at(1200))
		choice := balancer.Choose(reply("a"), at(1200))
		So(before[choice.Server], ShouldBeFalse)
		So(balancer.isolation.servers[choice.Server], ShouldBeTrue)
	})
	Convey("While an isolated server is overloaded, decode-heavy routes go wherever it costs least, and long prompts still avoid it", t, func() {
		for name, overload := range map[string]func(*Table, *Attempt){
			"rejects": func(balancer *Table, a *Attempt) { balancer.FinishAttempt(a, OutcomeRejected, at(1300)) },
			"is slow": func(balancer *Table, a *Attempt) { balancer.ResponseStarted(a, at(2600)) },
		} {
			balancer := learned(nil, "f0")
			balancer.isolate(at(1100))
			first := reply("first")
			attempt := balancer.StartAttempt(balancer.Choose(first, at(1200)).Server, first, at(1200))
			overload(balancer, attempt)
			others := map[bool]int{}
			for i := range 60 {
				request := reply(fmt.Sprint(name, i))
				choice := balancer.Choose(request, at(2700))
				balancer.StartAttempt(choice.Server, request, at(2700))
				others[balancer.isolation.servers[choice.Server]]++
			}
			So(others[false], ShouldBeGreaterThan, 30)
			So(balancer.isolation.servers[serve(balancer, digest("d", 99), at(2700))], ShouldBeFalse)
			So(balancer.misplaced(balancer.servers["s0"], reply("later"), at(6000)), ShouldEqual, !balancer.isolation.servers["s0"])
		}
	})
	Convey("A server in slow start is not isolated", t, func() {
		balancer := learned(nil, "f0")
		balancer.isolate(at(1100))
		view := newTestView(60, sheet.Service{})
		for name := range balancer.isolation.servers {
			view.Servers[name].ColdUntilMs = at(9000).UnixMilli()
		}
		before := maps.Clone(balancer.isolation.servers)
		balancer.Update(view, at(1200))
		So(balancer.isolation.servers, ShouldNotBeEmpty)
		for name := range balancer.isolation.servers {
			So(before[name], ShouldBeFalse)
		}
	})
	Convey("No server is isolated while routes are unknown, where all are alike, in small pools, and when isolation is switched off", t, func() {
		fresh := newTestTable(newTestView(60, sheet.Service{}), Config{})
		fresh.isolate(start)
		So(fresh.isolation.servers, ShouldBeEmpty)
		alike := newTestTable(newTestView(60, sheet.Service{}), Config{})
		for i := range 20 {
			serve(alike, reply(fmt.Sprint(i)), at(i*100))
		}
		alike.isolate(at(2000))
		So(alike.isolation.servers, ShouldBeEmpty)
		small := learned(nil, "f0")
		small.Update(newTestView(6, sheet.Service{}), at(1100))
		So(small.isolation.servers, ShouldBeEmpty)
		off := learned(Disabled{Isolation: true}, "f0")
		off.isolate(at(1100))
		So(off.isolation.servers, ShouldBeEmpty)
	})
}

// mayGetRequests reports whether a table has a server that is not excluded.
func mayGetRequests(t *Table, name string) bool {
	s := t.servers[name]
	return s != nil && s.exclusion == ""
}

func TestUpdate(t *testing.T) {
	Convey("A server that the view lacks for a while returns to its pool with an unchanged status", t, func() {
		view := newTestView(3, sheet.Service{})
		balancer := newTestTable(view, Config{})
		attempt := balancer.StartAttempt("s0", newTestRequest("a", 0), start)
		without := view
		without.Servers = maps.Clone(view.Servers)
		delete(without.Servers, "s0")
		balancer.Update(without, at(1))
		So(mayGetRequests(balancer, "s0"), ShouldBeFalse)
		balancer.Update(view, at(2))
		So(mayGetRequests(balancer, "s0"), ShouldBeTrue)
		balancer.FinishAttempt(attempt, OutcomeSucceeded, at(3))
		So(balancer.pools["pool"], ShouldHaveLength, 3)
	})
	Convey("A draining server leaves its pool, and one whose status changes otherwise stays", t, func() {
		view := newTestView(3, sheet.Service{})
		balancer := newTestTable(view, Config{})
		next := view
		next.Servers = maps.Clone(view.Servers)
		for name, state := range map[string]wire.ServerState{"s0": wire.ServerState_SERVER_STATE_DRAINING, "s1": wire.ServerState_SERVER_STATE_READY} {
			status := proto.Clone(view.Servers[name]).(*wire.ServerStatus)
			status.State, status.Answered = state, 7
			next.Servers[name] = status
		}
		balancer.Update(next, at(1))
		So(balancer.pools["pool"], ShouldHaveLength, 2)
		So(balancer.servers["s1"].status.Answered, ShouldEqual, 7)
	})
	Convey("An update without changes allocates nothing per server", t, func() {
		few, many := newTestView(10, sheet.Service{}), newTestView(240, sheet.Service{})
		cost := func(view View) float64 {
			balancer := newTestTable(view, Config{})
			return testing.AllocsPerRun(20, func() { balancer.Update(view, at(1)) })
		}
		So(cost(many), ShouldEqual, cost(few))
	})
}
