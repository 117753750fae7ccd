package faultcase

import (
	"time"

	"stepwick/cmd/rig/emulator"
)

func shotsReset(s *Stage) error {
	s.shotLoad()
	s.webOdds(emulator.FaultOdds{emulator.ResetBeforeRead: .05, emulator.ResetBeforeRun: .05, emulator.ResetAfterRun: .05, emulator.TruncatedBody: .03, emulator.WrongID: .03,
		emulator.CrossedBody: .03, emulator.Busy: .05, emulator.SlowAnswer: .02})
	s.rest(s.Book.Now())
	return nil
}

func (s *Stage) shotLoad() {
	s.Crowd.SetLoadFactor("", 0.3)
	s.Crowd.SetLoadFactor("grid", 1.9)
	s.Crowd.SetLoadFactor("crews", 1.9)
}

func shotsFronts(s *Stage) error {
	began := s.Book.Now()
	s.shotLoad()
	s.webOdds(emulator.FaultOdds{emulator.SlowAnswer: .2, emulator.ResetAfterRun: .02, emulator.ResetBeforeRun: .02})
	for s.left(began) {
		killed, frozen := s.frontOnly(), s.node()
		killed.Kill()
		if frozen != killed {
			frozen.Freeze()
		}
		s.Wait(5 * time.Second)
		frozen.Thaw()
		if err := killed.Start(); err != nil {
			return err
		}
		s.Wait(2 * time.Second)
	}
	return nil
}

func shotsDeadline(s *Stage) error {
	began := s.Book.Now()
	s.shotLoad()
	for s.left(began) {
		s.Book.AddAction("web servers dark", false)
		for _, w := range s.Fleet.Webs {
			w.SetUnresponsive(true)
		}
		s.Wait(4 * time.Second)
		for _, w := range s.Fleet.Webs {
			w.SetUnresponsive(false)
		}
		s.webOdds(emulator.FaultOdds{emulator.SlowAnswer: .6})
		s.Wait(3 * time.Second)
		s.webOdds(nil)
		name := s.Fleet.Webs[s.Random.IntN(3)].Name
		s.crash(name)
		s.Wait(2 * time.Second)
		if err := s.back(name); err != nil {
			return err
		}
		s.Wait(time.Second)
	}
	return nil
}

func streamsFaults(s *Stage) error {
	s.Crowd.Behavior.LeaveOdds, s.Crowd.Behavior.SlowReadOdds = .03, .05
	s.modelOdds(emulator.FaultOdds{emulator.EarlyEnd: .02, emulator.DroppedEvent: .02, emulator.DuplicatedEvent: .02, emulator.CrossedEvent: .03, emulator.WrongID: .02, emulator.AbortedStream: .02, emulator.Busy: .05, emulator.StalledStream: .01})
	s.rest(s.Book.Now())
	return nil
}

func streamsCrash(s *Stage) error {
	began := s.Book.Now()
	s.Crowd.Behavior.LeaveOdds, s.Crowd.Behavior.SlowReadOdds = .03, .05
	for s.left(began) {
		crashed, dark, killed := s.model(), s.model(), s.frontOnly()
		s.Fleet.CrashModelServer(crashed.Name)
		s.Book.AddAction("dark "+dark.Name, false)
		dark.SetUnresponsive(true)
		s.Wait(2 * time.Second)
		killed.Kill()
		s.Wait(2 * time.Second)
		dark.SetUnresponsive(false)
		if err := s.Fleet.RestartModelServer(crashed.Name); err != nil {
			return err
		}
		if err := killed.Start(); err != nil {
			return err
		}
		s.Wait(2 * time.Second)
	}
	return nil
}
