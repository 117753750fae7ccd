package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/statemachine"
)

// TestFleetUnderFaults retries each order through different cores until it succeeds,
// while cores are stopped, wiped, partitioned and slowed down. At the end, every order
// must be in the history exactly once, at the version that was returned for it.
func TestFleetUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= uint64(*fleetSeeds); seed++ {
		inVirtualTime(t, fmt.Sprint("seed ", seed), func(f *fleet) {
			f.cfg.SnapshotRecords = 40
			f.form()
			random := rand.New(rand.NewPCG(seed, 3))
			names := []string{"a", "b", "c"}
			ended, stopped := make(chan struct{}), make(chan struct{})
			go func() {
				defer close(stopped)
				for {
					select {
					case <-ended:
						return
					case <-time.After(time.Duration(random.IntN(2500)) * time.Millisecond):
					}
					name := names[random.IntN(3)]
					pause := time.Duration(1+random.IntN(1500)) * time.Millisecond
					switch random.IntN(4) {
					case 0:
						f.stop[name]()
						<-time.After(pause)
						f.start(name)
					case 1:
						f.partitioned[name].Store(true)
						<-time.After(pause)
						f.partitioned[name].Store(false)
					case 2:
						if f.voting("a", "b", "c")() {
							f.wipe(name)
							<-time.After(pause / 10)
							f.start(name)
						}
					case 3:
						f.stop[name]()
						slow := f.disk[name]
						slow.SyncDelay = pause / 5 * time.Duration(random.IntN(2))
						f.disk[name] = slow
						f.start(name)
					}
				}
			}()
			answered := map[string]statemachine.Result{}
			for n := range 60 {
				id := fmt.Sprint(n)
				for attempt := 0; ; attempt++ {
					So(attempt, ShouldBeLessThan, 100)
					core := f.core(names[(n+attempt)%3])
					if core == nil {
						<-time.After(50 * time.Millisecond)
						continue
					}
					_, result, err := core.Propose(withTimeout(2*time.Second), evacuate(id))
					if err == nil {
						So(result.Code, ShouldEqual, apierror.OK)
						answered[id] = result
						break
					}
					<-time.After(50 * time.Millisecond)
				}
			}
			close(ended)
			<-stopped
			So(f.waitUntil(60*time.Second, f.voting("a", "b", "c")), ShouldBeTrue)
			for _, name := range names {
				state, err := f.core(name).ReadMajority(withTimeout(10 * time.Second))
				So(err, ShouldBeNil)
				So(len(state.History), ShouldEqual, 60)
				for _, order := range state.History {
					So(answered[order.OrderID].Version, ShouldEqual, order.Version)
				}
			}
		})
	}
}

var fleetSeeds = flag.Int("fleetseeds", 6, "number of random fleets to run")
