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
	addRateFronts = 300
	addRateSpan   = 6.0  // seconds that are counted
	addRateFrom   = 4.0  // until then shares and spacings settle
	addRateTick   = 0.02 // between two sends of urgent counts
)

// addRateFleet has the fronts of a large fleet send the counts of tenants with one
// owner, at once and without loss.
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

// tenants returns the names of some tenants whose owner is the counter's front.
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
		f.limiters[front].ApplyTotals(f.counter.Add(req, after(second)), after(second), after(second))
	}
}

// run plays tenants that are over their limit and returns the requests with counts
// that the owner received in a second.
func (f *addRateFleet) run(tenants []string) float64 {
	random := rand.New(rand.NewPCG(1, 1))
	ownerOf := func(string) string { return "f0" }
	always := func(string) bool { return true }
	for tick := 0; float64(tick)*addRateTick < addRateFrom+addRateSpan; tick++ {
		second := float64(tick) * addRateTick
		if second < addRateFrom {
			f.requests = 0
		}
		if tick%10 == 0 {
			f.counter.SetMembership(f.names, nil, after(second))
		}
		for i, limiter := range f.limiters {
			for _, tenant := range tenants {
				if random.Float64() < 4*addRateTick {
					limiter.Admit(tenant, 100, Allowance{Rate: 10_000}, after(second))
				}
			}
			if tick%10 == i%10 {
				f.send(i, second, limiter.CountsToSend(after(second), ownerOf))
			}
			f.send(i, second, limiter.UrgentCounts(after(second), ownerOf, always))
		}
	}
	return float64(f.requests) / addRateSpan
}

// Guards against an owner of several tenants that gets MaxAddRate requests for each of them.
func TestOwnerOfSeveralTenantsIsSentNoMoreThanMaxAddRate(t *testing.T) {
	config := Config{}.withDefaults()
	// Fronts may send half an interval before the spacing is over.
	early := (config.Interval / 2).Seconds()
	bound := addRateFronts / (addRateFronts/config.MaxAddRate - early)
	for _, number := range []int{1, 2, 4} {
		Convey(fmt.Sprintf("An owner of %d tenants receives the requests that its configuration allows", number), t, func() {
			fleet := newAddRateFleet()
			So(fleet.run(fleet.tenants(number)), ShouldBeLessThanOrEqualTo, bound)
		})
	}
}
