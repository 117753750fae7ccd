package confirm

import "fmt"

// Event is a fault of a Schedule. Mask names the nodes on one side of a cut;
// Span is how long it lasts, in ms.
type Event struct {
	Kind string // cut, freeze or kill
	At   int64
	Span int64
	Mask uint
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
)

// Schedules returns every course of one cut and one freeze, and of one cut and
// one kill, with the faults at each of some instants and of each of some spans.
// Step is the distance of the instants in ms.
func Schedules(step int64) []Schedule {
	var all []Schedule
	for cutAt := int64(exploreFrom); cutAt < exploreFrom+3000; cutAt += step {
		for mask := uint(1); mask < 1<<(exploreNodes-1); mask++ {
			for _, cutSpan := range []int64{1200, 3600, forever} {
				cut := Event{Kind: "cut", At: cutAt, Span: cutSpan, Mask: mask}
				for at := int64(exploreFrom); at < exploreFrom+3000; at += step {
					for node := range exploreNodes {
						for _, span := range []int64{1000, 4000} {
							all = append(all, Schedule{cut, {Kind: "freeze", At: at, Span: span, Mask: 1 << node}})
						}
						for _, span := range []int64{150, 2200} {
							all = append(all, Schedule{cut, {Kind: "kill", At: at, Span: span, Mask: 1 << node}})
						}
					}
				}
			}
		}
	}
	return all
}

// Explore runs one schedule. Messages take one tick, clocks run true.
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
				w.happen(e)
			}
		})
	}
	return w.end()
}

func (w *world) happen(e Event) {
	if e.Kind == "cut" && w.now == e.At+e.Span {
		w.heal()
	}
	if w.now != e.At {
		return
	}
	in := func(n *node) bool { return e.Mask>>n.id&1 == 1 }
	if e.Kind == "cut" {
		w.split(in)
		return
	}
	for _, n := range w.nodes {
		switch {
		case !in(n) || n.process == nil:
		case e.Kind == "kill":
			w.kill(n, e.Span)
		default:
			n.process.frozenUntil = w.now + e.Span
		}
	}
}
