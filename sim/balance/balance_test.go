package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/balance"
)

// mean plays a site under some seeds and returns the means of what a policy came
// to.
func mean(site Site, off balance.Disabled, seeds int) Result {
	var sum Result
	for seed := range uint64(seeds) {
		r := Play(site, Policy{Disabled: off}, seed+1)
		sum.Worth += r.Worth / float64(seeds)
		sum.ReadAgain += r.ReadAgain / float64(seeds)
		sum.Excluded += r.Excluded
		if sum.Kinds == nil {
			sum.Kinds = make([]KindResult, len(r.Kinds))
		}
		for i, kind := range r.Kinds {
			sum.Kinds[i].Name = kind.Name
			sum.Kinds[i].Asked += kind.Asked
			sum.Kinds[i].Late += kind.Late
		}
	}
	return sum
}

func late(r Result, kind string) float64 {
	for _, k := range r.Kinds {
		if k.Name == kind {
			return float64(k.Late) / float64(k.Asked)
		}
	}
	return 1
}

func site(name string) Site {
	s, err := Load(name)
	So(err, ShouldBeNil)
	return s
}

func TestPolicies(t *testing.T) {
	Convey("A run repeats by its seed", t, func() {
		short := site("three-regions")
		short.Seconds = 4
		So(Play(short, Policy{}, 7), ShouldResemble, Play(short, Policy{}, 7))
	})
	Convey("Long answers to short prompts that are isolated pause less often, and nothing else suffers much", t, func() {
		for name, kind := range map[string]string{"three-regions": "hint", "two-regions": "reply"} {
			with, without := mean(site(name), nil, 2), mean(site(name), balance.Disabled{balance.Isolation: true}, 2)
			So(late(with, kind), ShouldBeLessThan, 0.6*late(without, kind))
			So(with.Worth, ShouldBeGreaterThan, without.Worth+0.003)
		}
	})
	Convey("A crowd of a decode-heavy route is not left at the servers that are set aside", t, func() {
		crowd := site("two-regions")
		crowd.Burst = Burst{Kind: "reply", At: 14, For: 8, Times: 8}
		So(Play(crowd, Policy{}, 1).Worth, ShouldBeGreaterThan, 0.9)
	})
	Convey("Requests that share a prompt and meet at one server read a fraction of what they read elsewhere", t, func() {
		with, without := mean(site("three-regions"), nil, 1), mean(site("three-regions"), balance.Disabled{balance.Affinity: true}, 1)
		So(with.ReadAgain, ShouldBeLessThan, 0.3*without.ReadAgain)
	})
	Convey("Servers that are probed before the fleet is told are seldom out on a calm day", t, func() {
		with, without := mean(site("three-regions"), nil, 1), mean(site("three-regions"), balance.Disabled{balance.ProbeBeforeReport: true}, 1)
		So(with.Excluded, ShouldBeLessThan, without.Excluded/4)
	})
	Convey("A site that does not come with the program is refused", t, func() {
		_, err := Load("nowhere")
		So(err, ShouldNotBeNil)
	})
}
