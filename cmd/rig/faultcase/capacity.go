package faultcase

import "time"

func startServersWarmingUp(options *Options) { options.Spec.ServersStartWarm = false }

func serveDuringWarmUp(r *Run) error {
	r.waitUntilEnd(r.Recorder.Now())
	return nil
}

// crashDuringWarmUp crashes a model server, and a second one while the first
// warms up after its restart.
func crashDuringWarmUp(r *Run) error {
	start := r.Recorder.Now()
	r.Callers.SetLoadFactor("", 1.5)
	for r.hasTimeLeft(start) {
		first := r.randomModelServer()
		second := r.randomModelServer()
		r.Fleet.CrashModelServer(first.Name)
		r.Wait(3 * time.Second)
		if err := r.Fleet.RestartModelServer(first.Name); err != nil {
			return err
		}
		r.Wait(seconds(0.5 + r.Random.Float64()))
		if second != first {
			r.Fleet.CrashModelServer(second.Name)
		}
		r.Wait(5 * time.Second)
		if err := r.Fleet.RestartModelServer(second.Name); err != nil {
			return err
		}
		r.Wait(4 * time.Second)
	}
	return nil
}

// replaceZoneServers replaces the model servers of one zone in turn.
func replaceZoneServers(r *Run) error {
	start := r.Recorder.Now()
	zone := r.Fleet.Spec.ModelLocations[r.Random.IntN(len(r.Fleet.Spec.ModelLocations))]
	for r.hasTimeLeft(start) {
		_, servers := r.zoneMembers(zone)
		for _, name := range servers {
			if r.Fleet.ModelServer(name) == nil || !r.hasTimeLeft(start) {
				continue
			}
			if err := r.replaceModelServer(name); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *Run) replaceModelServer(name string) error {
	r.Fleet.Platform.SetState(name, stateDraining, 0)
	r.Wait(3 * time.Second)
	r.Fleet.CrashModelServer(name)
	r.Fleet.Platform.RemoveServer(name)
	r.Wait(time.Second)
	if err := r.Fleet.RestartModelServer(name); err != nil {
		return err
	}
	r.Fleet.PutServer(name, stateCold)
	r.Wait(2 * time.Second)
	r.Fleet.Platform.SetState(name, stateReady, 0)
	return nil
}

// burstOfCalls raises the load of two tenants tenfold without a ramp, and later
// shifts the load from long prompts to long answers.
func burstOfCalls(r *Run) error {
	r.Wait(6 * time.Second)
	r.Recorder.AddAction("crowd tenfold", false)
	r.Callers.SetLoadFactor("desk", 10)
	r.Callers.SetLoadFactor("grid", 10)
	r.Wait(8 * time.Second)
	r.Callers.SetLoadFactor("", 1)
	r.Recorder.AddAction("long answers", false)
	r.Callers.SetLoadFactor("press", 0.2)
	r.Callers.SetLoadFactor("helpdesk", 2)
	r.Wait(8 * time.Second)
	r.Callers.SetLoadFactor("", 1)
	r.Wait(6 * time.Second)
	return nil
}
