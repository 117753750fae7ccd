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
	for _, event := range s {
		text += fmt.Sprintf("%s %05b at %d ms for %d; ", event.Kind, event.Mask, event.At, event.Span)
	}
	return text
}

const (
	exploreNodes = 5
	exploreFrom  = 4000  // ms, of the first fault
	exploreEnd   = 15000 // ms
	faultsWithin = 3000  // ms from exploreFrom until the last fault
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
			for _, span := range []int64{1200, 3600, foreverMS} {
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
	w := newWorld(1, Config{
		Name:         schedule.String(),
		Nodes:        exploreNodes,
		Cores:        3,
		LearnChance:  0.5,
		FinishChance: 0.05,
		FixedLatency: true,
		Mutation:     mutation,
	})
	for w.now < exploreEnd && w.checker.violation == nil {
		w.step(func() {
			switch w.now {
			case 4600, 6100:
				if node := w.nodes[w.now/6000]; w.running(node) {
					w.submitOrder(node)
				}
			}
			for _, event := range schedule {
				w.apply(event)
			}
		})
	}
	return w.result()
}

// apply causes or ends a fault that is due now.
func (w *world) apply(event Event) {
	if event.Kind == partitionEvent && w.now == event.At+event.Span {
		w.heal()
	}
	if w.now != event.At {
		return
	}
	affected := func(node *nodeState) bool { return event.Mask>>node.id&1 == 1 }
	if event.Kind == partitionEvent {
		w.split(affected)
		return
	}
	for _, node := range w.nodes {
		switch {
		case !affected(node) || node.process == nil:
		case event.Kind == killEvent:
			w.kill(node, event.Span)
		default:
			node.process.frozenUntil = w.now + event.Span
		}
	}
}
