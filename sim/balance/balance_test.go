package balance

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/decision/balance"
)

// meanResult simulates a site under the given number of seeds. It returns the means of
// Worth and SharedTokensReadAgain and the sums of the counts.
func meanResult(site Site, disabled balance.Disabled, seeds int) Result {
	var sum Result
	for seed := range uint64(seeds) {
		r := Simulate(site, Policy{Disabled: disabled}, seed+1)
		sum.Worth += r.Worth / float64(seeds)
		sum.SharedTokensReadAgain += r.SharedTokensReadAgain / float64(seeds)
		sum.Exclusions += r.Exclusions
		if sum.Kinds == nil {
			sum.Kinds = make([]KindResult, len(r.Kinds))
		}
		for i, kind := range r.Kinds {
			sum.Kinds[i].Name = kind.Name
			sum.Kinds[i].Requests += kind.Requests
			sum.Kinds[i].Late += kind.Late
		}
	}
	return sum
}

func lateShare(r Result, kind string) float64 {
	for _, k := range r.Kinds {
		if k.Name == kind {
			return float64(k.Late) / float64(k.Requests)
		}
	}
	return 1
}

func loadSite(name string) Site {
	s, err := Load(name)
	So(err, ShouldBeNil)
	return s
}

func TestPolicies(t *testing.T) {
	Convey("The same seed gives the same result", t, func() {
		short := loadSite("three-regions")
		short.Seconds = 4
		So(Simulate(short, Policy{}, 7), ShouldResemble, Simulate(short, Policy{}, 7))
	})
	Convey("Isolation of decode-heavy routes makes fewer of their requests late, and increases the total worth", t, func() {
		for name, kind := range map[string]string{"three-regions": "hint", "two-regions": "reply"} {
			with, without := meanResult(loadSite(name), nil, 2), meanResult(loadSite(name), balance.Disabled{balance.Isolation: true}, 2)
			So(lateShare(with, kind), ShouldBeLessThan, 0.6*lateShare(without, kind))
			So(with.Worth, ShouldBeGreaterThan, without.Worth+0.003)
		}
	})
	Convey("A burst on a decode-heavy route is not confined to the isolated servers", t, func() {
		burst := loadSite("two-regions")
		burst.Burst = Burst{Kind: "reply", Start: 14, Duration: 8, Factor: 8}
		So(Simulate(burst, Policy{}, 1).Worth, ShouldBeGreaterThan, 0.9)
	})
	Convey("Prefix affinity reduces the tokens that are read again to less than 30%", t, func() {
		with, without := meanResult(loadSite("three-regions"), nil, 1), meanResult(loadSite("three-regions"), balance.Disabled{balance.Affinity: true}, 1)
		So(with.SharedTokensReadAgain, ShouldBeLessThan, 0.3*without.SharedTokensReadAgain)
	})
	Convey("Probing before a report reduces the exclusions of healthy servers to less than a quarter", t, func() {
		with, without := meanResult(loadSite("three-regions"), nil, 1), meanResult(loadSite("three-regions"), balance.Disabled{balance.ProbeBeforeReport: true}, 1)
		So(with.Exclusions, ShouldBeLessThan, without.Exclusions/4)
	})
	Convey("Loading an unknown site returns an error", t, func() {
		_, err := Load("nowhere")
		So(err, ShouldNotBeNil)
	})
}
