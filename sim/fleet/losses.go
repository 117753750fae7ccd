package fleet

import (
	"context"
	"net/http"
	"time"

	"stepwick/internal/clock"
	"stepwick/internal/events"
)

// grown is the fleet of the grown deployments: six machines with a disk, of
// which five vote and one stands by, and two disks may be lost at once.
func grown(seeds []int) Config {
	return Config{Nodes: 12, Cores: 6, Voters: 5, Join: true, Seeds: seeds}
}

// recoverWithin is how soon after the last machine is back an acknowledged
// configuration must be readable again.
const recoverWithin = 10 * time.Second

// Losses simulates large power failures: every core loses power at one moment and
// comes back; then, around an order, all nodes lose power and two cores their
// disks as well. The order, if it was acknowledged, must be read back. Which
// cores lose their disks, which are seeds and when each machine is back is drawn.
func Losses(ctx context.Context, seed uint64, folder string, log func(node int) events.Log) (report Report, err error) {
	report.Seed = seed
	random := Draw(seed)
	cores := random.Perm(6)
	config := grown(cores[:3])
	config.Log = log
	f, err := Start(ctx, config, folder)
	if err != nil {
		return report, err
	}
	defer f.Close()
	w := &simulation{fleet: f, random: random, clock: clock.System(), report: &report, n: config.Nodes}
	w.start = w.clock.Now()
	w.note("seeds %v", config.Seeds)
	if !w.form() {
		w.violate("no first sheet in force within 30 s: %s", w.fleet.formation())
		return report, nil
	}
	w.pause(3 * time.Second)
	if random.IntN(3) > 0 {
		w.loseCores(config)
	}
	w.lastFault(config)
	return report, nil
}

// loseCores takes the power of every core, for three seconds or a little more
// each.
func (w *simulation) loseCores(config Config) {
	lost := upTo(config.Cores)
	w.fleet.PowerOff(lost...)
	w.note("cores without power")
	w.bringBack(lost, 3*time.Second, 2*time.Second)
	w.pause(8 * time.Second)
}

// lastFault sends an order, takes the power of all nodes some milliseconds later
// and the disks of two cores, and reads back.
func (w *simulation) lastFault(config Config) {
	w.key++
	s := &sending{key: w.key}
	w.send(s)
	w.pause(time.Duration(5+w.random.IntN(400)) * time.Millisecond)
	w.fleet.PowerOff(upTo(config.Nodes)...)
	wiped := w.random.Perm(config.Cores)[:2]
	w.note("all without power, disks lost of %v", wiped)
	for _, i := range wiped {
		if err := w.fleet.Wipe(i); err != nil {
			w.violate("%v", err)
		}
	}
	w.bringBack(upTo(config.Nodes), 300*time.Millisecond, time.Second)
	acknowledged := false
	select {
	case a := <-s.answers:
		acknowledged = a.Status == http.StatusOK && a.InForce
	default:
	}
	w.readBack(acknowledged)
}

// readBack retries until a sheet is read, and checks it.
func (w *simulation) readBack(acknowledged bool) {
	until := w.clock.Now().Add(recoverWithin)
	for w.clock.Now().Before(until) {
		a := w.fleet.Read(w.random.IntN(w.n))
		if a.Status != http.StatusOK {
			w.pause(200 * time.Millisecond)
			continue
		}
		if acknowledged && !a.Holds(w.key) {
			w.violate("read back without the acknowledged key %d", w.key)
		}
		if !a.Holds(w.key) && !a.Holds(0) {
			w.violate("read back what was never sent")
		}
		return
	}
	w.violate("nothing can be read back within %v", recoverWithin)
}

// bringBack starts nodes again, each after a least time and a random part of a
// spread.
func (w *simulation) bringBack(nodes []int, least, spread time.Duration) {
	w.pause(least)
	delays := make(map[int]time.Duration, len(nodes))
	for _, i := range nodes {
		delays[i] = time.Duration(w.random.Int64N(int64(spread)))
	}
	for passed := time.Duration(0); len(delays) > 0; passed += backStep {
		w.startDue(delays, passed)
		w.pause(backStep)
	}
}

const backStep = 10 * time.Millisecond

func (w *simulation) startDue(delays map[int]time.Duration, passed time.Duration) {
	for i := range w.n {
		delay, waits := delays[i]
		if !waits || delay > passed {
			continue
		}
		delete(delays, i)
		if err := w.fleet.Up(i); err != nil {
			w.violate("node %d doesn't start: %v", i, err)
		}
	}
}

func upTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}
