package faultcase

import "time"

// Tenants whose demand exceeds their allowance in the quota cases.
const (
	mostExcessiveTenant = "crews"
	excessiveTenant     = "grid"
)

const steadyDemandTime = 18 * time.Second // before the first fault

// exceedQuotas raises the demand of two tenants above their allowances.
func (r *Run) exceedQuotas() {
	r.Callers.SetLoadFactor(mostExcessiveTenant, 6)
	r.Callers.SetLoadFactor(excessiveTenant, 4)
}

func quotaExcess(r *Run) error {
	start := r.Recorder.Now()
	r.Wait(5 * time.Second)
	r.Recorder.AddAction("crews and grid ask tenfold", false)
	r.Callers.SetLoadFactor(mostExcessiveTenant, 10)
	r.Callers.SetLoadFactor(excessiveTenant, 6)
	zones := []string{"lagos/a", "abeokuta/a", "lagos/b"}
	for i := 0; r.hasTimeLeft(start); i++ {
		r.Wait(12 * time.Second)
		zone := zones[i%len(zones)]
		r.Recorder.AddAction("callers move to "+zone, false)
		r.Callers.SetZoneShares(map[string]float64{zone: 1})
	}
	return nil
}

// stepOneClock sets the clock of front4 wrong by 37 s.
func stepOneClock(options *Options) {
	options.setNodeSettings("front4", map[string]string{"clock.step": "37s"})
}

// setNodeSettings replaces the settings of a node.
func (o *Options) setNodeSettings(name string, settings map[string]string) {
	for i := range o.Spec.Nodes {
		if o.Spec.Nodes[i].Name == name {
			o.Spec.Nodes[i].Settings = settings
		}
	}
}

// quotaRestarts restarts every second node under excess demand, alternately after
// SIGKILL and after SIGTERM.
func quotaRestarts(r *Run) error {
	start := r.Recorder.Now()
	r.exceedQuotas()
	r.Wait(steadyDemandTime)
	for i := 0; r.hasTimeLeft(start); i++ {
		node := r.Fleet.Nodes[(i*2)%len(r.Fleet.Nodes)]
		if i%2 == 0 {
			if err := r.killAndRestart(node, seconds(r.Random.Float64()*3)); err != nil {
				return err
			}
		} else {
			node.Terminate(uncheckedStopTimeout)
			if err := node.Start(); err != nil {
				return err
			}
		}
		r.Wait(4 * time.Second)
	}
	return nil
}

func quotaPartition(r *Run) error {
	start := r.Recorder.Now()
	r.exceedQuotas()
	r.Wait(steadyDemandTime)
	r.Partition(r.regionMemberNames("abeokuta"), r.regionMemberNames("lagos"))
	r.Wait(16 * time.Second)
	r.Heal()
	r.waitUntilEnd(start)
	return nil
}
