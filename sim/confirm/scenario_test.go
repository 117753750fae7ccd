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

// scenario leads up to the fault that one rule protects from.
type scenario struct {
	mutation     Mutation
	nodes        int
	spares       int
	acknowledged int // orders acknowledged with the rule
	actions      []action
}

func isOneOf(ids ...int) func(n *nodeState) bool {
	return func(n *nodeState) bool {
		for _, id := range ids {
			if n.id == id {
				return true
			}
		}
		return false
	}
}

// restrictLinks leaves a node no links but those named.
func restrictLinks(w *world, id int, links ...int) {
	for _, n := range w.nodes {
		partitioned := n.id != id && !isOneOf(links...)(n)
		w.partitioned[id][n.id] = partitioned
		w.partitioned[n.id][id] = partitioned
	}
}

func submitOrderAt(id int) func(w *world) { return func(w *world) { w.submitOrder(w.nodes[id]) } }

func split(ids ...int) func(w *world) { return func(w *world) { w.split(isOneOf(ids...)) } }

var scenarios = []scenario{
	{mutation: NoLeaseWait, nodes: 9, acknowledged: 1, actions: []action{
		{10000, split(8)},
		{10200, submitOrderAt(0)},
	}},
	{mutation: NoRosterMajority, nodes: 9, acknowledged: 0, actions: []action{
		{10000, split(2, 5, 6, 7, 8)},
		{13000, submitOrderAt(0)},
	}},
	{mutation: NoStartupGrace, nodes: 9, acknowledged: 1, actions: []action{
		{7000, func(w *world) { restrictLinks(w, 8, 0, 1) }},
		{10000, func(w *world) {
			restrictLinks(w, 8)
			w.kill(w.nodes[1], foreverMS)
			w.kill(w.nodes[0], 100)
		}},
		{10300, submitOrderAt(0)},
	}},
	{mutation: NoCatchUp, nodes: 9, acknowledged: 1, actions: []action{
		{10000, split(8)},
		{10200, submitOrderAt(0)},
		{13500, func(w *world) {
			for _, id := range []int{0, 1} {
				w.synced[id] = w.nodes[2].process.core.learned - 1
				w.kill(w.nodes[id], 100)
			}
			w.heal()
			restrictLinks(w, 2)
			restrictLinks(w, 8, 0, 1)
		}},
	}},
	{mutation: IgnoresOpenSlot, nodes: 9, acknowledged: 0, actions: []action{
		{10000, func(w *world) {
			w.config.LearnChance = 0
			restrictLinks(w, 8, 0, 1, 2)
			w.submitOrder(w.nodes[0])
			restrictLinks(w, 0, 8)
		}},
		{11500, func(w *world) {
			restrictLinks(w, 0)
			w.kill(w.nodes[8], 50)
		}},
	}},
	{mutation: ConfirmedByPeer, nodes: 9, acknowledged: 1, actions: []action{
		{10000, split(2, 6, 7, 8)},
		{10200, submitOrderAt(0)},
		{13500, func(w *world) {
			w.kill(w.nodes[5], 200)
			w.split(isOneOf(2, 5, 6, 7, 8))
		}},
	}},
	{mutation: AnyRefusalCounts, nodes: 9, acknowledged: 1, actions: []action{
		{10000, split(2, 6, 7, 8)},
		{10200, submitOrderAt(0)},
		{13500, func(w *world) {
			for _, id := range []int{0, 1, 3, 4, 5} {
				w.kill(w.nodes[id], foreverMS)
			}
		}},
		{14500, (*world).heal},
	}},
	{mutation: TimeoutIsRefusal, nodes: 9, acknowledged: 1, actions: []action{
		{10000, split(8)},
		{10200, submitOrderAt(0)},
	}},
	{mutation: LeaseFromArrival, nodes: 9, acknowledged: 1, actions: []action{
		{10000, func(w *world) { w.nodes[8].process.frozenUntil = 14000 }},
		{10200, submitOrderAt(0)},
	}},
	{mutation: NoPriorRoster, nodes: 5, spares: 7, acknowledged: 0, actions: []action{
		{9900, split(2, 3, 4)},
		{12500, submitOrderAt(0)},
	}},
}

func (s scenario) run(seed uint64, mutation Mutation) Outcome {
	config := Config{Name: "scenario", Nodes: s.nodes, Spares: s.spares, Cores: 3, Seconds: 20, LearnChance: 0.5, ClockDrift: 0.002, Mutation: mutation}
	w := newWorld(seed, config)
	for _, n := range w.nodes[s.nodes:] {
		n.downUntil = 10000
	}
	remaining := s.actions
	for w.now < int64(config.Seconds)*1000 && w.checker.violation == nil {
		w.step(func() {
			for len(remaining) > 0 && remaining[0].at <= w.now {
				remaining[0].do(w)
				remaining = remaining[1:]
			}
		})
	}
	return w.result()
}

func TestEachRuleIsNeeded(t *testing.T) {
	for _, s := range scenarios {
		Convey("Where "+string(s.mutation)+", the checker finds it; with the rule there is no violation", t, func() {
			found := 0
			var last *Violation
			for seed := range uint64(20) {
				sound := s.run(seed, None)
				So(sound.Violation, ShouldBeNil)
				So(sound.Acknowledged, ShouldEqual, s.acknowledged)
				if broken := s.run(seed, s.mutation); broken.Violation != nil {
					found++
					last = broken.Violation
				}
			}
			t.Logf("%s: seen at %d of 20 seeds; %v", s.mutation, found, last)
			So(found, ShouldBeGreaterThan, 0)
		})
	}
}

func TestSeedReproduces(t *testing.T) {
	Convey("A seed gives the same run each time", t, func() {
		mix := Mixes()[0]
		mix.Mutation = LeaseFromArrival
		least, _, _ := search(1, 40, mix, false)
		So(least, ShouldNotBeNil)
		t.Log(least)
		So(Simulate(least.Seed, mix).Violation, ShouldResemble, least)
		So(Simulate(least.Seed, mix).Violation, ShouldResemble, least)
	})
}
