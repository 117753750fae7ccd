package faultcase

import (
	"time"

	"stepwick/cmd/rig/emulator"
)

// favorOneShots shifts most of the load to one-shot requests.
func (r *Run) favorOneShots() {
	r.Callers.SetLoadFactor("", 0.3)
	r.Callers.SetLoadFactor("grid", 1.9)
	r.Callers.SetLoadFactor("crews", 1.9)
}

func oneShotsReset(r *Run) error {
	r.favorOneShots()
	r.setWebFaults(emulator.FaultOdds{
		emulator.ResetBeforeRead: .05,
		emulator.ResetBeforeRun:  .05,
		emulator.ResetAfterRun:   .05,
		emulator.TruncatedBody:   .03,
		emulator.WrongID:         .03,
		emulator.CrossedBody:     .03,
		emulator.Busy:            .05,
		emulator.SlowAnswer:      .02,
	})
	r.waitUntilEnd(r.Recorder.Now())
	return nil
}

func oneShotsThroughFaultyFronts(r *Run) error {
	start := r.Recorder.Now()
	r.favorOneShots()
	r.setWebFaults(emulator.FaultOdds{
		emulator.SlowAnswer:     .2,
		emulator.ResetAfterRun:  .02,
		emulator.ResetBeforeRun: .02,
	})
	for r.hasTimeLeft(start) {
		killed := r.randomFront()
		frozen := r.randomNode()
		killed.Kill()
		if frozen != killed {
			frozen.Freeze()
		}
		r.Wait(5 * time.Second)
		frozen.Thaw()
		if err := killed.Start(); err != nil {
			return err
		}
		r.Wait(2 * time.Second)
	}
	return nil
}

func oneShotsPastDeadline(r *Run) error {
	start := r.Recorder.Now()
	r.favorOneShots()
	for r.hasTimeLeft(start) {
		r.Recorder.AddAction("web servers dark", false)
		r.setWebsUnresponsive(true)
		r.Wait(4 * time.Second)
		r.setWebsUnresponsive(false)
		r.setWebFaults(emulator.FaultOdds{emulator.SlowAnswer: .6})
		r.Wait(3 * time.Second)
		r.setWebFaults(nil)
		name := r.randomWebServer().Name
		r.crashServer(name)
		r.Wait(2 * time.Second)
		if err := r.restartServer(name); err != nil {
			return err
		}
		r.Wait(time.Second)
	}
	return nil
}

func (r *Run) setWebsUnresponsive(unresponsive bool) {
	for _, server := range r.Fleet.WebServers {
		server.SetUnresponsive(unresponsive)
	}
}

// setImpatientCallers makes some callers disconnect early or read slowly.
func (r *Run) setImpatientCallers() {
	r.Callers.Behavior.AbandonOdds = .03
	r.Callers.Behavior.SlowReadOdds = .05
}

func streamsFaults(r *Run) error {
	r.setImpatientCallers()
	r.setModelFaults(emulator.FaultOdds{
		emulator.EarlyEnd:        .02,
		emulator.DroppedEvent:    .02,
		emulator.DuplicatedEvent: .02,
		emulator.CrossedEvent:    .03,
		emulator.WrongID:         .02,
		emulator.AbortedStream:   .02,
		emulator.Busy:            .05,
		emulator.StalledStream:   .01,
	})
	r.waitUntilEnd(r.Recorder.Now())
	return nil
}

func streamsCrash(r *Run) error {
	start := r.Recorder.Now()
	r.setImpatientCallers()
	for r.hasTimeLeft(start) {
		crashed := r.randomModelServer()
		unresponsive := r.randomModelServer()
		killed := r.randomFront()
		r.Fleet.CrashModelServer(crashed.Name)
		r.Recorder.AddAction("dark "+unresponsive.Name, false)
		unresponsive.SetUnresponsive(true)
		r.Wait(2 * time.Second)
		killed.Kill()
		r.Wait(2 * time.Second)
		unresponsive.SetUnresponsive(false)
		if err := r.Fleet.RestartModelServer(crashed.Name); err != nil {
			return err
		}
		if err := killed.Start(); err != nil {
			return err
		}
		r.Wait(2 * time.Second)
	}
	return nil
}
