package quota

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Scenario is a kind of run with its requirement. A requirement of zero is none.
type Scenario struct {
	Name    string
	Make    func(random *rand.Rand) (fleet Fleet, from, until time.Duration)
	High    float64 // most in any span
	Low     float64 // least in a span of steady excess demand
	Side    float64 // least of each region in such a span
	Refusal float64 // most refused of what is offered under 0.8; negative: not asked
	Beside  float64 // where one exact log in one place gives less than Low, how far below it the least may be
}

// Broken names the requirements that a run breaks. exact is what one exact log
// in one place makes of the same requests.
func (s Scenario) Broken(found, exact Finding) []string {
	var broken []string
	least := s.Low
	if s.Beside > 0 {
		least = min(least, exact.Low-s.Beside)
	}
	if found.High > s.High {
		broken = append(broken, fmt.Sprintf("%.3f of the limit passed in the span from %v, over %.2f", found.High, found.HighAt, s.High))
	}
	if found.Low >= 0 && found.Low < least {
		broken = append(broken, fmt.Sprintf("%.3f of the limit passed in the span from %v, under %.3f", found.Low, found.LowAt, least))
	}
	if side := min(found.ByRegion[0], found.ByRegion[1]); s.Side > 0 && side < s.Side {
		broken = append(broken, fmt.Sprintf("one side of the cut got %.3f of the limit, under %.2f", side, s.Side))
	}
	if s.Refusal >= 0 && found.Refused > s.Refusal {
		broken = append(broken, fmt.Sprintf("%.5f of what was offered under 0.8 was refused", found.Refused))
	}
	return broken
}

const (
	second = time.Second
	high   = 1.15
	low    = 0.85
)

func evenly(multiple float64) func(time.Duration, int) float64 {
	return func(time.Duration, int) float64 { return multiple / 9 }
}

func jump(at time.Duration, before, after float64) func(time.Duration, int) float64 {
	return func(now time.Duration, _ int) float64 {
		if now < at {
			return before / 9
		}
		return after / 9
	}
}

// zones sends all of the demand to the three fronts of one zone, another one
// every stay.
func zones(multiple float64, stay time.Duration, first int) func(time.Duration, int) float64 {
	return func(now time.Duration, front int) float64 {
		if (first+int(now/stay))%3 == front/3 {
			return multiple / 3
		}
		return 0
	}
}

func between(random *rand.Rand, a, b float64) float64 { return a + random.Float64()*(b-a) }

func some(random *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(random.Int64N(int64(b-a)))
}

// calm is a tenant under 0.75 of its limit, with requests of 2 to 10% of it, at
// some of the fronts.
func calm(random *rand.Rand) Fleet {
	multiple, weights, sum := between(random, 0.3, 0.75), [9]float64{}, 0.0
	for i := range weights {
		if i == 0 || random.IntN(3) > 0 {
			weights[i] = between(random, 0.2, 1)
			sum += weights[i]
		}
	}
	return Fleet{Size: between(random, 0.02, 0.1), Length: 60 * second, Follows: true, HolderFirst: true,
		Demand: func(_ time.Duration, front int) float64 { return multiple * weights[front] / sum }}
}

// Scenarios returns all kinds of runs.
func Scenarios() []Scenario {
	return []Scenario{
		{"steady excess", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: evenly(between(random, 1.2, 5)), Length: 60 * second}, 0, 60 * second
		}, high, low, 0, -1, 0},
		{"steady excess after start", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: evenly(between(random, 1.2, 5)), Length: 60 * second}, 17 * second, 60 * second
		}, high, low, 0, -1, 0},
		{"steady excess, at random", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: evenly(between(random, 1.2, 5)), Random: true, Length: 60 * second}, 17 * second, 60 * second
		}, high, low, 0, -1, 0.1},
		{"tenfold jump, at random", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			at, before := some(random, 16*second, 24*second), between(random, 0.12, 1)
			return Fleet{Demand: jump(at, before, 10*before), Random: true, Length: 60 * second}, at, 60 * second
		}, high, low, 0, 0, 0.1},
		{"excess at one front", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			at, multiple := random.IntN(9), between(random, 1.2, 5)
			return Fleet{Demand: func(_ time.Duration, front int) float64 {
				if front == at {
					return multiple
				}
				return 0
			}, Length: 60 * second}, 0, 60 * second
		}, high, low, 0, -1, 0},
		{"excess, most of it at one front", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			at, multiple := random.IntN(9), between(random, 1.3, 5)
			return Fleet{Demand: func(_ time.Duration, front int) float64 {
				if front == at {
					return 0.9 * multiple
				}
				return 0.1 / 8 * multiple
			}, Length: 60 * second}, 0, 60 * second
		}, high, low, 0, -1, 0},
		{"tenfold jump", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			at, before := some(random, 16*second, 24*second), between(random, 0.12, 1)
			return Fleet{Demand: jump(at, before, 10*before), Length: 60 * second}, at, 60 * second
		}, high, low, 0, 0, 0},
		{"moving zones in excess", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: zones(between(random, 1.5, 5), some(random, 5*second, 15*second), random.IntN(3)), Length: 80 * second}, 0, 80 * second
		}, high, low, 0, -1, 0},
		{"tenfold jump in one zone that moves", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			before, stay, first := between(random, 0.12, 1), some(random, 10*second, 20*second), random.IntN(3)
			return Fleet{Demand: func(now time.Duration, front int) float64 {
				multiple := before
				if now >= stay {
					multiple *= 10
				}
				return zones(multiple, stay, first)(now, front)
			}, Length: 60 * second}, stay, 60 * second
		}, high, low, 0, 0, 0},
		{"late and early", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			late := between(random, 0.3, 1.5)
			return Fleet{Demand: func(now time.Duration, _ int) float64 {
				window, offset := now/(8*second), (now % (8 * second)).Seconds()
				if (window%3 == 1 && offset > 8-late) || (window%3 == 2 && offset < late) {
					return 1.5 * 8 / late / 9
				}
				return 0
			}, Length: 100 * second}, 0, 0
		}, high, 0, 0, 0, 0},
		{"under, evenly", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: evenly(between(random, 0.3, 0.75)), Length: 80 * second}, 0, 0
		}, high, 0, 0, 0, 0},
		{"under, moving zones", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: zones(between(random, 0.3, 0.75), some(random, 3*second, 15*second), random.IntN(3)), Length: 80 * second}, 0, 0
		}, high, 0, 0, 0, 0},
		{"under, early in windows", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: func(now time.Duration, _ int) float64 {
				window, offset := now/(8*second), (now % (8 * second)).Seconds()
				if (window%2 == 0 && offset < 1) || (window%2 == 1 && offset > 0.5 && offset < 1.5) {
					return 0.7 * 8 / 9
				}
				return 0
			}, Length: 100 * second}, 0, 0
		}, high, 0, 0, 0, 0},
		{"under, at once at one front", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := Fleet{Length: 80 * second}
			for at := some(random, 0, 8*second); at < 70*second; at += some(random, 8100*time.Millisecond, 12*second) {
				f.Bursts = append(f.Bursts, Burst{at, random.IntN(9), between(random, 0.3, 0.75)})
			}
			return f, 0, 0
		}, high, 0, 0, 0, 0},
		{"large requests", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			return Fleet{Demand: evenly(between(random, 1.5, 10)), Size: between(random, 0.02, 0.05), Length: 60 * second}, 0, 60 * second
		}, high, low, 0, -1, 0.1},
		{"losses", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			at, before := some(random, 16*second, 24*second), between(random, 0.12, 1)
			return Fleet{Demand: jump(at, before, 10*before), Loss: 0.05, Length: 60 * second}, at, 60 * second
		}, high, low, 0, 0, 0},
		{"holder killed", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := Fleet{Demand: evenly(between(random, 1.5, 5)), Length: 60 * second, Forgets: 2 * second, HolderFirst: true}
			at := some(random, 16*second, 24*second)
			f.Down = func(now time.Duration, front int) bool { return now >= at && front == 0 }
			return f, 0, 60 * second
		}, high, low, 0, -1, 0},
		{"holder killed, under", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := Fleet{Demand: evenly(between(random, 0.3, 0.75)), Length: 60 * second, Forgets: 2 * second, HolderFirst: true}
			at := some(random, 16*second, 24*second)
			f.Down = func(now time.Duration, front int) bool { return now >= at && front == 0 }
			return f, 0, 0
		}, high, 0, 0, 0, 0},
		{"under, holder frozen", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := calm(random)
			at := some(random, 16*second, 20*second)
			f.Frozen = func(now time.Duration, front int) bool {
				return front == 0 && now >= at && (now-at)%(17*second) < 5*second
			}
			return f, 0, 0
		}, high, 0, 0, 0, 0},
		{"under, holder killed with others", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := calm(random)
			at, more := some(random, 16*second, 24*second), 1+random.IntN(3)
			f.Down = func(now time.Duration, front int) bool { return now >= at && front%2 == 0 && front/2 <= more }
			return f, 0, 0
		}, high, 0, 0, 0, 0},
		{"under, holder frozen while two are killed", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := calm(random)
			at := some(random, 16*second, 24*second)
			f.Frozen = func(now time.Duration, front int) bool { return front == 0 && now >= at && now < at+5*second }
			f.Down = func(now time.Duration, front int) bool {
				return (front == 3 || front == 7) && now >= at+2*second && now < at+9*second
			}
			return f, 0, 0
		}, high, 0, 0, 0, 0},
		{"holder frozen", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := Fleet{Demand: evenly(between(random, 1.5, 5)), Length: 60 * second, Follows: true, HolderFirst: true}
			at := some(random, 16*second, 24*second)
			f.Frozen = func(now time.Duration, front int) bool { return front == 0 && now >= at && now < at+5*second }
			return f, 0, 60 * second
		}, high, low, 0, -1, 0},
		{"under, jump in all while the holder is frozen", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			at, before := some(random, 16*second, 24*second), between(random, 0.1, 0.75)
			f := Fleet{Demand: jump(at+some(random, 0, 4*second), before, 10*before), Length: 50 * second, Follows: true, HolderFirst: true}
			f.Frozen = func(now time.Duration, front int) bool { return front == 0 && now >= at && now < at+5*second }
			return f, 0, 0
		}, high, 0, 0, -1, 0},
		{"under, region cut, jump on both sides", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			at, before := some(random, 16*second, 24*second), between(random, 0.1, 0.75)
			f := Fleet{Split: 3 + random.IntN(4), Demand: jump(at+some(random, 0, 4*second), before, 10*before), Length: 60 * second, Follows: true}
			f.Cut = func(now time.Duration) bool { return now >= at && now < at+25*second }
			return f, 0, 0
		}, 1.3, 0, 0, -1, 0},
		{"holder dark for long", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := Fleet{Demand: evenly(between(random, 1.5, 5)), Length: 60 * second, HolderFirst: true}
			at := some(random, 16*second, 24*second)
			f.Down = func(now time.Duration, front int) bool { return now >= at && now < at+20*second && front == 0 }
			return f, 0, 60 * second
		}, high, 0, 0, -1, 0},
		{"restarts in turn", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := Fleet{Demand: evenly(between(random, 1.5, 5)), Length: 80 * second, Flushed: random.IntN(2) == 0}
			gap := some(random, 3*second, 6*second)
			f.Down = func(now time.Duration, front int) bool {
				begin := 12*second + time.Duration(front)*gap
				return now >= begin && now < begin+1500*time.Millisecond
			}
			return f, 0, 80 * second
		}, high, low, 0, -1, 0},
		{"region cut", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			first, second2 := between(random, 1.5, 5), between(random, 1.5, 5)
			f := Fleet{Split: 3 + random.IntN(4), Length: 70 * second}
			split := f.Split
			f.Demand = func(_ time.Duration, front int) float64 {
				if front < split {
					return first / float64(split)
				}
				return second2 / float64(9-split)
			}
			at := some(random, 16*second, 24*second)
			f.Cut = func(now time.Duration) bool { return now >= at && now < at+25*second }
			return f, 8 * second, 70 * second
		}, 1.3, low, 0.2, -1, 0},
		{"region cut, load jumps where it was not", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			multiple, before := between(random, 1.5, 5), random.IntN(2) == 0
			f := Fleet{Split: 3 + random.IntN(4), Length: 70 * second}
			split := f.Split
			at := some(random, 16*second, 24*second)
			f.Demand = func(now time.Duration, front int) float64 {
				if now < at+2*second && (front < split) != before {
					return 0
				}
				if front < split {
					return multiple / float64(split)
				}
				return multiple / float64(9-split)
			}
			f.Cut = func(now time.Duration) bool { return now >= at && now < at+25*second }
			return f, at + 2*second, at + 25*second
		}, 1.3, 0, 0.2, -1, 0},
		{"clock step of one front", func(random *rand.Rand) (Fleet, time.Duration, time.Duration) {
			f := Fleet{Demand: evenly(between(random, 1.5, 5)), Length: 60 * second}
			at, front, step := some(random, 10*second, 20*second), random.IntN(9), time.Duration(between(random, -1, 1)*float64(second))
			f.Clock = func(now time.Duration, i int) time.Duration {
				if i == front && now >= at && now < at+20*second {
					return step
				}
				return 0
			}
			return f, 0, 60 * second
		}, high, low, 0, -1, 0},
	}
}
