package confirm

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// action is what a scenario does at an instant, in ms.
type action struct {
	at int64
	do func(w *world)
}

// scenario leads up to the fault that one rule is there for.
type scenario struct {
	mutation Mutation
	nodes    int
	spares   int
	acked    int // orders acknowledged with the rule
	actions  []action
}

func among(ids ...int) func(n *node) bool {
	return func(n *node) bool {
		for _, id := range ids {
			if n.id == id {
				return true
			}
		}
		return false
	}
}

// only leaves a node no links but those named.
func only(w *world, id int, links ...int) {
	for _, n := range w.nodes {
		cut := n.id != id && !among(links...)(n)
		w.partitioned[id][n.id], w.partitioned[n.id][id] = cut, cut
	}
}

func orderAt(id int) func(w *world) { return func(w *world) { w.order(w.nodes[id]) } }

func split(ids ...int) func(w *world) { return func(w *world) { w.split(among(ids...)) } }

var scenarios = []scenario{
	{mutation: NoWaiting, nodes: 9, acked: 1, actions: []action{
		{10000, split(8)},
		{10200, orderAt(0)},
	}},
	{mutation: NoRoster, nodes: 9, acked: 0, actions: []action{
		{10000, split(2, 5, 6, 7, 8)},
		{13000, orderAt(0)},
	}},
	{mutation: Unsettled, nodes: 9, acked: 1, actions: []action{
		{7000, func(w *world) { only(w, 8, 0, 1) }},
		{10000, func(w *world) {
			only(w, 8)
			w.kill(w.nodes[1], forever)
			w.kill(w.nodes[0], 100)
		}},
		{10300, orderAt(0)},
	}},
	{mutation: NoOpening, nodes: 9, acked: 1, actions: []action{
		{10000, split(8)},
		{10200, orderAt(0)},
		{13500, func(w *world) {
			for _, id := range []int{0, 1} {
				w.synced[id] = w.nodes[2].process.core.learned - 1
				w.kill(w.nodes[id], 100)
			}
			w.heal()
			only(w, 2)
			only(w, 8, 0, 1)
		}},
	}},
	{mutation: OpenBallot, nodes: 9, acked: 0, actions: []action{
		{10000, func(w *world) {
			w.config.Gossip = 0
			only(w, 8, 0, 1, 2)
			w.order(w.nodes[0])
			only(w, 0, 8)
		}},
		{11500, func(w *world) {
			only(w, 0)
			w.kill(w.nodes[8], 50)
		}},
	}},
	{mutation: Hearsay, nodes: 9, acked: 1, actions: []action{
		{10000, split(2, 6, 7, 8)},
		{10200, orderAt(0)},
		{13500, func(w *world) {
			w.kill(w.nodes[5], 200)
			w.split(among(2, 5, 6, 7, 8))
		}},
	}},
	{mutation: AnyRefusal, nodes: 9, acked: 1, actions: []action{
		{10000, split(2, 6, 7, 8)},
		{10200, orderAt(0)},
		{13500, func(w *world) {
			for _, id := range []int{0, 1, 3, 4, 5} {
				w.kill(w.nodes[id], forever)
			}
		}},
		{14500, (*world).heal},
	}},
	{mutation: SilenceIsDead, nodes: 9, acked: 1, actions: []action{
		{10000, split(8)},
		{10200, orderAt(0)},
	}},
	{mutation: ArrivalTime, nodes: 9, acked: 1, actions: []action{
		{10000, func(w *world) { w.nodes[8].process.frozenUntil = 14000 }},
		{10200, orderAt(0)},
	}},
	{mutation: NoPrior, nodes: 5, spares: 7, acked: 0, actions: []action{
		{9900, split(2, 3, 4)},
		{12500, orderAt(0)},
	}},
}

func (s scenario) run(seed uint64, mutation Mutation) Outcome {
	config := Config{Name: "scenario", Nodes: s.nodes, Spares: s.spares, Cores: 3, Seconds: 20, Gossip: 0.5, Drift: 0.002, Mutation: mutation}
	w := newWorld(seed, config)
	for _, n := range w.nodes[s.nodes:] {
		n.downUntil = 10000
	}
	left := s.actions
	for w.now < int64(config.Seconds)*1000 && w.found == nil {
		w.step(func() {
			for len(left) > 0 && left[0].at <= w.now {
				left[0].do(w)
				left = left[1:]
			}
		})
	}
	return w.end()
}

func TestEachRuleIsNeeded(t *testing.T) {
	for _, s := range scenarios {
		Convey("Where "+string(s.mutation)+", the checker sees it; with the rule nothing is wrong", t, func() {
			seen, last := 0, (*Violation)(nil)
			for seed := range uint64(20) {
				sound := s.run(seed, None)
				So(sound.Violation, ShouldBeNil)
				So(sound.Acked, ShouldEqual, s.acked)
				if broken := s.run(seed, s.mutation); broken.Violation != nil {
					seen++
					last = broken.Violation
				}
			}
			t.Logf("%s: seen at %d of 20 seeds; %v", s.mutation, seen, last)
			So(seen, ShouldBeGreaterThan, 0)
		})
	}
}

func TestSeedReproduces(t *testing.T) {
	Convey("A seed gives the same walk each time", t, func() {
		mix := Mixes()[0]
		mix.Mutation = ArrivalTime
		least, _, _ := search(1, 40, mix, false)
		So(least, ShouldNotBeNil)
		t.Log(least)
		So(Simulate(least.Seed, mix).Violation, ShouldResemble, least)
		So(Simulate(least.Seed, mix).Violation, ShouldResemble, least)
	})
}
