package faultcase

import (
	"time"

	"stepwick/cmd/rig/emulator"
)

func shotsReset(s *Stage) error {
	s.shotLoad()
	s.webOdds(emulator.Odds{emulator.ResetEarly: .05, emulator.ResetRead: .05, emulator.ResetRan: .05, emulator.Truncated: .03, emulator.WrongID: .03,
		emulator.CrossBody: .03, emulator.Busy: .05, emulator.Slow: .02})
	s.rest(s.Book.Now())
	return nil
}

func (s *Stage) shotLoad() {
	s.Crowd.Scale("", 0.3)
	s.Crowd.Scale("grid", 1.9)
	s.Crowd.Scale("crews", 1.9)
}

func shotsFronts(s *Stage) error {
	began := s.Book.Now()
	s.shotLoad()
	s.webOdds(emulator.Odds{emulator.Slow: .2, emulator.ResetRan: .02, emulator.ResetRead: .02})
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
			w.Dark(true)
		}
		s.Wait(4 * time.Second)
		for _, w := range s.Fleet.Webs {
			w.Dark(false)
		}
		s.webOdds(emulator.Odds{emulator.Slow: .6})
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
	s.Crowd.Mood.GoneOdds, s.Crowd.Mood.SlowOdds = .03, .05
	s.modelOdds(emulator.Odds{emulator.EarlyEnd: .02, emulator.TooLittle: .02, emulator.Repeat: .02, emulator.Cross: .03, emulator.WrongID: .02, emulator.Abort: .02, emulator.Busy: .05, emulator.Stall: .01})
	s.rest(s.Book.Now())
	return nil
}

func streamsCrash(s *Stage) error {
	began := s.Book.Now()
	s.Crowd.Mood.GoneOdds, s.Crowd.Mood.SlowOdds = .03, .05
	for s.left(began) {
		crashed, dark, killed := s.model(), s.model(), s.frontOnly()
		s.Fleet.CrashModel(crashed.Name)
		s.Book.AddAction("dark "+dark.Name, false)
		dark.Dark(true)
		s.Wait(2 * time.Second)
		killed.Kill()
		s.Wait(2 * time.Second)
		dark.Dark(false)
		if err := s.Fleet.ReturnModel(crashed.Name); err != nil {
			return err
		}
		if err := killed.Start(); err != nil {
			return err
		}
		s.Wait(2 * time.Second)
	}
	return nil
}
