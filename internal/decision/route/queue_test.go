package route

import (
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// fullTable returns a table whose only server has 20 requests in flight and no capacity
// left.
func fullTable(maxQueued int) *Table {
	servers := map[string]*wire.ServerStatus{"m0": modelServer("m0", "lagos", "a")}
	table := New(Config{Self: "n1", Region: "lagos", Zone: "a", MaxQueued: maxQueued})
	table.Update(viewOf(servers))
	for i := range 20 {
		if table.Choose(requestNumber(i), start).Server == "" {
			panic("server m0 has no capacity although fewer than 20 requests are in flight")
		}
		table.Started("m0")
	}
	return table
}

func TestQueue(t *testing.T) {
	Convey("Queued requests", t, func() {
		table := fullTable(3)
		late, soon := requestNumber(100), requestNumber(101)
		soon.Deadline = start.Add(10 * time.Second)
		So(table.Choose(late, start).Queued, ShouldBeTrue)
		So(table.Enqueue(late, start), ShouldBeNil)
		So(table.Enqueue(soon, start), ShouldBeNil)
		Convey("leave the queue in order of deadline as capacity becomes available", func() {
			_, ok := table.Next(start)
			So(ok, ShouldBeFalse)
			table.Finished("m0", Outcome{Result: Answered}, start)
			ready, ok := table.Next(start)
			So(ok, ShouldBeTrue)
			So(ready.Request.ID, ShouldEqual, soon.ID)
			So(ready.Choice.Server, ShouldEqual, "m0")
			table.Started("m0")
			_, ok = table.Next(start)
			So(ok, ShouldBeFalse)
		})
		Convey("are not overtaken by a new request", func() {
			table.Finished("m0", Outcome{Result: Answered}, start)
			So(table.Choose(requestNumber(200), start).Queued, ShouldBeTrue)
		})
		Convey("are limited in number", func() {
			So(table.Enqueue(requestNumber(102), start), ShouldBeNil)
			choice := table.Choose(requestNumber(103), start)
			So(choice.Queued, ShouldBeFalse)
			So(choice.Err.Code, ShouldEqual, apierror.QueueFull)
			So(choice.Err.RetryAfter, ShouldBeGreaterThan, 0)
			So(table.Enqueue(requestNumber(103), start).Code, ShouldEqual, apierror.QueueFull)
		})
		Convey("are rejected at their deadline", func() {
			ready, ok := table.Next(start.Add(10 * time.Second))
			So(ok, ShouldBeTrue)
			So(ready.Request.ID, ShouldEqual, soon.ID)
			So(ready.Choice.Err.Code, ShouldEqual, apierror.DeadlineExceeded)
			wake, ok := table.NextWake(late.Deadline.Add(-time.Millisecond))
			So(ok, ShouldBeTrue)
			So(wake, ShouldEqual, late.Deadline)
		})
		Convey("are rejected at once when their servers are gone", func() {
			table.Update(viewOf(map[string]*wire.ServerStatus{}))
			ready, ok := table.Next(start)
			So(ok, ShouldBeTrue)
			So(ready.Choice.Err.Code, ShouldEqual, apierror.NoServer)
		})
		Convey("are removed when the caller cancels", func() {
			So(table.Cancel(soon.ID), ShouldBeTrue)
			So(table.Cancel(soon.ID), ShouldBeFalse)
			So(table.Queued(), ShouldEqual, 1)
		})
		Convey("do not include a request that would wait beyond its deadline", func() {
			table = fullTable(256)
			for i := range 40 {
				answeredAt := start.Add(time.Duration(i) * 100 * time.Millisecond)
				table.Finished("m0", Outcome{Result: Answered}, answeredAt)
				table.Started("m0")
			}
			now := start.Add(4 * time.Second)
			for i := range 30 {
				So(table.Enqueue(requestNumber(300+i), now), ShouldBeNil)
			}
			short := requestNumber(400)
			short.Deadline = now.Add(50 * time.Millisecond)
			tooShort := table.Choose(short, now).Err
			So(tooShort.Code, ShouldEqual, apierror.DeadlineTooShort)
			So(tooShort.Detail, ShouldNotContainSubstring, "server")
			So(tooShort.Detail, ShouldContainSubstring, "the deadline is in "+short.Deadline.Sub(now).String())
			long := requestNumber(401)
			choice := table.Choose(long, now)
			So(choice.Queued, ShouldBeTrue)
			So(choice.EstimatedWait, ShouldBeBetween, time.Second, 6*time.Second)
		})
	})
}

// TestQueueOrder enqueues, cancels and dequeues requests at random: requests leave the
// queue in order of deadline, and none is lost or leaves twice.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := fullTable(64)
		waiting := map[string]time.Time{}
		dequeued := map[string]bool{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				req := requestNumber(1000 + i)
				req.Deadline = start.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "deadline")) * time.Second)
				if table.Enqueue(req, start) == nil {
					waiting[req.ID] = req.Deadline
				}
			case 2:
				table.Finished("m0", Outcome{Result: Answered}, start)
				ready, ok := table.Next(start)
				if ok != (len(waiting) > 0) {
					t.Fatalf("%d requests are queued, but Next returned %v", len(waiting), ok)
				}
				if !ok {
					table.Started("m0")
					continue
				}
				table.Started(ready.Choice.Server)
				for id, deadline := range waiting {
					if deadline.Before(ready.Request.Deadline) {
						t.Fatalf("%s left the queue before %s, which has an earlier deadline", ready.Request.ID, id)
					}
				}
				if dequeued[ready.Request.ID] {
					t.Fatalf("%s left the queue twice", ready.Request.ID)
				}
				dequeued[ready.Request.ID] = true
				delete(waiting, ready.Request.ID)
			case 3:
				for id := range waiting {
					if !table.Cancel(id) {
						t.Fatalf("%s is missing from the queue", id)
					}
					delete(waiting, id)
					break
				}
			}
			if table.Queued() != len(waiting) || table.Queued() > 64 {
				t.Fatalf("Queued returned %d, want %d and at most 64", table.Queued(), len(waiting))
			}
		}
	})
}

// TestCapsHoldAcrossFronts runs one or more fronts that share servers in slow start. During
// slow start the requests in flight at a server from all fronts must not exceed the first
// cap plus one for each answer. They must never exceed the full cap times the number of
// fronts, or times three with more than three fronts.
func TestCapsHoldAcrossFronts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fronts := make([]string, rapid.IntRange(1, 12).Draw(t, "fronts"))
		tables := make([]*Table, len(fronts))
		for i := range fronts {
			fronts[i] = fmt.Sprintf("n%d", i)
			tables[i] = New(Config{Self: fronts[i], Region: "lagos", Strategy: rapid.SampledFrom([]Strategy{Affinity, LeastLoaded, RoundRobin}).Draw(t, "strategy")})
		}
		servers := fleet(4)
		answered, running := map[string]uint64{}, map[string]int{}
		type flight struct{ front, server string }
		var flights []flight
		for name := range servers {
			servers = withServer(servers, name, func(s *wire.ServerStatus) { s.Answered = 0 })
		}
		publish := func() {
			for name, s := range servers {
				servers = withServer(servers, name, func(next *wire.ServerStatus) {
					next.Incarnation, next.Answered, next.Running = s.Incarnation, answered[name], uint32(running[name])
				})
			}
			view := viewOf(servers, fronts...)
			for _, table := range tables {
				table.Update(view)
			}
		}
		publish()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				frontIndex := rapid.IntRange(0, len(tables)-1).Draw(t, "front")
				req := requestNumber(rapid.IntRange(0, 9).Draw(t, "id"))
				req.Prefix = uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))
				for range rapid.IntRange(1, 30).Draw(t, "burst") {
					choice := tables[frontIndex].Choose(req, start)
					if choice.Server == "" {
						break
					}
					tables[frontIndex].Started(choice.Server)
					running[choice.Server]++
					flights = append(flights, flight{fronts[frontIndex], choice.Server})
					if answered[choice.Server] < 18 && running[choice.Server] > 2+int(answered[choice.Server]) {
						t.Fatalf("%s has %d requests in flight after %d answers, more than its slow-start cap", choice.Server, running[choice.Server], answered[choice.Server])
					}
					if running[choice.Server] > 20*min(len(tables), 3) {
						t.Fatalf("%s has %d requests in flight, too many for its cap of 20", choice.Server, running[choice.Server])
					}
				}
			case 3, 4:
				for range rapid.IntRange(1, 10).Draw(t, "ends") {
					if len(flights) == 0 {
						break
					}
					i := rapid.IntRange(0, len(flights)-1).Draw(t, "which")
					f := flights[i]
					flights = append(flights[:i], flights[i+1:]...)
					running[f.server]--
					answered[f.server]++
					for k, name := range fronts {
						if name == f.front {
							tables[k].Finished(f.server, Outcome{Result: Answered}, start)
						}
					}
				}
			case 5:
				publish()
			}
		}
	})
}
