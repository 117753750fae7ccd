package confirm

import "fmt"

// EventKind is a kind of fault.
type EventKind string

// Kinds of faults.
const (
	partitionEvent EventKind = "cut"
	freezeEvent    EventKind = "freeze"
	killEvent      EventKind = "kill"
)

// Event is a fault of a Schedule.
type Event struct {
	Kind EventKind
	At   int64 // ms
	Span int64 // ms, how long the fault lasts
	Mask uint  // the nodes that fail, or those on one side of a partition
}

// Schedule is a course of faults in a small fleet: three cores and two more
// fronts, with orders at the first and the second core between the faults.
type Schedule []Event

func (s Schedule) String() string {
	text := ""
	for _, e := range s {
		text += fmt.Sprintf("%s %05b at %d ms for %d; ", e.Kind, e.Mask, e.At, e.Span)
	}
	return text
}

const (
	exploreNodes = 5
	exploreFrom  = 4000
	exploreEnd   = 15000
	faultsWithin = 3000 // ms from exploreFrom until the last fault
)

// Schedules returns every course of one partition and one freeze, and of one
// partition and one kill, with the faults at each of some instants and of each of
// some lengths. Step is the distance of the instants in ms.
func Schedules(step int64) []Schedule {
	var schedules []Schedule
	for _, partition := range partitions(step) {
		for _, fault := range nodeFaults(step) {
			schedules = append(schedules, Schedule{partition, fault})
		}
	}
	return schedules
}

// partitions returns every partition of the fleet at each of the instants.
func partitions(step int64) []Event {
	var events []Event
	for at := int64(exploreFrom); at < exploreFrom+faultsWithin; at += step {
		for mask := uint(1); mask < 1<<(exploreNodes-1); mask++ {
			for _, span := range []int64{1200, 3600, forever} {
				events = append(events, Event{Kind: partitionEvent, At: at, Span: span, Mask: mask})
			}
		}
	}
	return events
}

// nodeFaults returns every freeze and kill of a node at each of the instants.
func nodeFaults(step int64) []Event {
	var events []Event
	for at := int64(exploreFrom); at < exploreFrom+faultsWithin; at += step {
		for node := range exploreNodes {
			for _, span := range []int64{1000, 4000} {
				events = append(events, Event{Kind: freezeEvent, At: at, Span: span, Mask: 1 << node})
			}
			for _, span := range []int64{150, 2200} {
				events = append(events, Event{Kind: killEvent, At: at, Span: span, Mask: 1 << node})
			}
		}
	}
	return events
}

// Explore simulates one schedule. Messages take one tick, clocks have no drift.
func Explore(schedule Schedule, mutation Mutation) Outcome {
	w := newWorld(1, Config{Name: schedule.String(), Nodes: exploreNodes, Cores: 3, Gossip: 0.5, Finish: 0.05, Exact: true, Mutation: mutation})
	for w.now < exploreEnd && w.found == nil {
		w.step(func() {
			switch w.now {
			case 4600, 6100:
				if n := w.nodes[w.now/6000]; w.running(n) {
					w.order(n)
				}
			}
			for _, e := range schedule {
				w.apply(e)
			}
		})
	}
	return w.end()
}

// apply causes or ends a fault that is due now.
func (w *world) apply(e Event) {
	if e.Kind == partitionEvent && w.now == e.At+e.Span {
		w.heal()
	}
	if w.now != e.At {
		return
	}
	affected := func(n *node) bool { return e.Mask>>n.id&1 == 1 }
	if e.Kind == partitionEvent {
		w.split(affected)
		return
	}
	for _, n := range w.nodes {
		switch {
		case !affected(n) || n.process == nil:
		case e.Kind == killEvent:
			w.kill(n, e.Span)
		default:
			n.process.frozenUntil = w.now + e.Span
		}
	}
}
