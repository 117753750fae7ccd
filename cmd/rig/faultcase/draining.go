package faultcase

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/owner"
	"stepwick/internal/clock"
)

// Server states in the platform's listing.
const (
	stateReady    = "ready"
	stateCold     = "cold"
	stateDraining = "draining"
	stateLeaving  = "leaving"
)

const (
	leaveDelay       = 4 * time.Second // from the listing as leaving to the leave time
	zoneOrderTimeout = 15 * time.Second
	maxKillDelaySec  = 0.3 // from the start of an evacuation order
)

// leaveTime returns the time after a delay, in Unix milliseconds.
func leaveTime(delay time.Duration) int64 { return clock.System().Now().Add(delay).UnixMilli() }

func drainServers(r *Run) error {
	start := r.Recorder.Now()
	platform := r.Fleet.Platform
	for r.hasTimeLeft(start) {
		drained := r.randomModelServer()
		leaving := r.randomModelServer()
		web := r.randomWebServer()
		r.Recorder.AddAction("drain "+drained.Name, false)
		platform.SetState(drained.Name, stateDraining, 0)
		platform.SetState(web.Name, stateDraining, 0)
		if leaving != drained {
			platform.SetState(leaving.Name, stateLeaving, leaveTime(leaveDelay))
		}
		core := r.randomCore()
		front := r.randomFront()
		core.Kill()
		front.Kill()
		r.Wait(6 * time.Second)
		if err := startAll(core, front); err != nil {
			return err
		}
		r.Wait(2 * time.Second)
		for _, name := range []string{drained.Name, leaving.Name, web.Name} {
			platform.SetState(name, stateReady, 0)
		}
		r.Wait(2 * time.Second)
	}
	return nil
}

func evacuateZone(r *Run) error {
	start := r.Recorder.Now()
	zones := []string{"lagos/a", "lagos/b", "abeokuta/a"}
	for number := uint64(0); r.hasTimeLeft(start); number++ {
		zone := zones[r.Random.IntN(len(zones))]
		core := r.randomCore()
		front := r.randomFront()
		awaitKills := r.runInBackground(func(ctx context.Context) {
			owner.Sleep(ctx, seconds(r.Random.Float64()*maxKillDelaySec))
			core.Kill()
			front.Kill()
		})
		if acknowledged, _ := r.submit(r.Operators.Evacuate(firstOperator, zone), number, zoneOrderTimeout); !acknowledged {
			return errors.Errorf("the evacuation of %s was not acknowledged within %s", zone, zoneOrderTimeout)
		}
		r.Wait(7 * time.Second)
		awaitKills()
		if err := startAll(core, front); err != nil {
			return err
		}
		r.Wait(2 * time.Second)
		if acknowledged, _ := r.submit(r.Operators.Restore(secondOperator, zone), number, zoneOrderTimeout); !acknowledged {
			return errors.Errorf("the restore of %s was not acknowledged within %s", zone, zoneOrderTimeout)
		}
		r.Wait(3 * time.Second)
	}
	return nil
}
