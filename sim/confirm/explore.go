package confirm

import "fmt"

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	partitionEvent EventKind = "partition"
	freezeEvent    EventKind = "freeze"
	killEvent      EventKind = "kill"
)

// Event is a fault in a Schedule.
type Event struct {
	Kind       EventKind
	AtMS       int64
	DurationMS int64 // how long the fault lasts
	Mask       uint  // bit set of the IDs of the affected nodes, or of those on one side of a partition
	Refuses    bool  // whether a partition refuses connections
}

// Schedule is a sequence of faults in a small fleet of three cores and two nodes with
// only a front. Orders are submitted to the first and the second core at fixed
// instants.
type Schedule []Event

func (s Schedule) String() string {
	text := ""
	for _, event := range s {
		text += fmt.Sprintf("%s %05b at %d ms for %d ms", event.Kind, event.Mask, event.AtMS, event.DurationMS)
		if event.Refuses {
			text += ", refusing"
		}
		text += "; "
	}
	return text
}

const (
	exploreNodes  = 5
	firstFaultMS  = 4000 // instant of the earliest fault
	exploreEndMS  = 15000
	faultWindowMS = 3000 // faults start within this time after firstFaultMS
)

// Schedules returns every combination of one partition with one freeze or one kill,
// with each fault at each of several instants and of several durations. step is the
// distance between the instants in ms.
func Schedules(step int64) []Schedule {
	var schedules []Schedule
	for _, partition := range partitions(step) {
		for _, fault := range nodeFaults(step) {
			schedules = append(schedules, Schedule{partition, fault})
		}
	}
	return schedules
}

// partitions returns every partition of the fleet at each instant, silent and refusing.
func partitions(step int64) []Event {
	var events []Event
	for at := int64(firstFaultMS); at < firstFaultMS+faultWindowMS; at += step {
		for mask := uint(1); mask < 1<<(exploreNodes-1); mask++ {
			for _, span := range []int64{1200, 3600, foreverMS} {
				for _, refuses := range []bool{false, true} {
					events = append(events, Event{Kind: partitionEvent, AtMS: at, DurationMS: span, Mask: mask, Refuses: refuses})
				}
			}
		}
	}
	return events
}

// nodeFaults returns every freeze and kill of one node at each instant.
func nodeFaults(step int64) []Event {
	var events []Event
	for at := int64(firstFaultMS); at < firstFaultMS+faultWindowMS; at += step {
		for node := range exploreNodes {
			for _, span := range []int64{1000, 4000} {
				events = append(events, Event{Kind: freezeEvent, AtMS: at, DurationMS: span, Mask: 1 << node})
			}
			for _, span := range []int64{150, 2200} {
				events = append(events, Event{Kind: killEvent, AtMS: at, DurationMS: span, Mask: 1 << node})
			}
		}
	}
	return events
}

// Explore simulates one schedule. Messages take one tick and clocks do not drift.
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
	for w.now < exploreEndMS && w.checker.violation == nil {
		w.runTick(func() {
			switch w.now {
			case 4600, 6100:
				if node := w.nodes[w.now/6000]; w.running(node) {
					w.submitOrder(node)
				}
			}
			for _, event := range schedule {
				w.applyEvent(event)
			}
		})
	}
	return w.finalOutcome()
}

// applyEvent starts a fault that is due now, or heals a partition whose duration is
// over.
func (w *world) applyEvent(event Event) {
	if event.Kind == partitionEvent && w.now == event.AtMS+event.DurationMS {
		w.healPartitions()
	}
	if w.now != event.AtMS {
		return
	}
	affected := func(node *nodeState) bool { return event.Mask>>node.id&1 == 1 }
	if event.Kind == partitionEvent {
		w.partitionNodes(affected)
		w.setRefused(event.Refuses)
		return
	}
	for _, node := range w.nodes {
		switch {
		case !affected(node) || node.process == nil:
		case event.Kind == killEvent:
			w.kill(node, event.DurationMS)
		default:
			node.process.frozenUntil = w.now + event.DurationMS
		}
	}
}
