package quota

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

const (
	addRateFronts   = 300
	measuredSeconds = 6.0  // duration of the measurement
	settlingSeconds = 4.0  // before the measurement, for shares and spacings to stabilize
	tickSeconds     = 0.02 // time between two sends of urgent counts
)

// addRateFleet simulates the fronts of a large fleet, which send the counts of tenants of
// one owner without delay or loss.
type addRateFleet struct {
	names    []string
	limiters []*Limiter
	counter  *Counter
	requests int
}

func newAddRateFleet() *addRateFleet {
	fleet := &addRateFleet{}
	for i := range addRateFronts {
		fleet.names = append(fleet.names, "f"+strconv.Itoa(i))
	}
	fleet.counter = NewCounter("f0", 1, Config{})
	for _, name := range fleet.names {
		limiter := NewLimiter(name, Config{})
		limiter.SetFronts(fleet.names)
		fleet.limiters = append(fleet.limiters, limiter)
	}
	return fleet
}

// tenants returns the names of a number of tenants whose owner is the counter's front.
func (f *addRateFleet) tenants(number int) []string {
	var names []string
	for i := 0; len(names) < number; i++ {
		if name := fmt.Sprintf("t%d", i); OwnerOf(name, f.names) == "f0" {
			names = append(names, name)
		}
	}
	return names
}

func (f *addRateFleet) send(front int, second float64, batches map[string][]*wire.Count) {
	for _, counts := range batches {
		f.requests++
		req := &wire.AddRequest{Front: f.names[front], Incarnation: 1, Counts: counts}
		f.limiters[front].ApplyTotals(f.counter.Add(req, atSecond(second)), atSecond(second), atSecond(second))
	}
}

// run simulates tenants over their limit and returns the number of Add requests per
// second that the owner received.
func (f *addRateFleet) run(tenants []string) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	ownerOf := func(string) string { return "f0" }
	always := func(string) bool { return true }
	for tick := 0; float64(tick)*tickSeconds < settlingSeconds+measuredSeconds; tick++ {
		second := float64(tick) * tickSeconds
		if second < settlingSeconds {
			f.requests = 0
		}
		if tick%10 == 0 {
			f.counter.SetMembership(f.names, nil, atSecond(second))
		}
		for i, limiter := range f.limiters {
			for _, tenant := range tenants {
				if random.Float64() < 4*tickSeconds {
					limiter.Admit(tenant, 100, Allowance{Rate: 10_000}, atSecond(second))
				}
			}
			if tick%10 == i%10 {
				f.send(i, second, limiter.CountsToSend(atSecond(second), ownerOf))
			}
			f.send(i, second, limiter.UrgentCounts(atSecond(second), ownerOf, always))
		}
	}
	return float64(f.requests) / measuredSeconds
}

// Guards against fronts that send an owner of several tenants MaxAddRate requests per
// second for each of them.
func TestOwnerOfSeveralTenantsIsSentNoMoreThanMaxAddRate(t *testing.T) {
	config := Config{}.withDefaults()
	// Fronts may send up to half an interval before the spacing has elapsed.
	tolerance := (config.Interval / 2).Seconds()
	bound := addRateFronts / (addRateFronts/config.MaxAddRate - tolerance)
	for _, number := range []int{1, 2, 4} {
		Convey(fmt.Sprintf("An owner of %d tenants receives no more requests than its configuration allows", number), t, func() {
			fleet := newAddRateFleet()
			So(fleet.run(fleet.tenants(number)), ShouldBeLessThanOrEqualTo, bound)
		})
	}
}
