package faultcase

import (
	"context"
	"fmt"
	"time"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
)

// trouble is one fault that a mix may draw; it returns what mends it.
type trouble struct {
	name string
	do   func(s *Stage) (mend func() error)
}

// troubles are the faults that a mix draws from, at the seed's choice.
var troubles = []trouble{
	{"kill a front", func(s *Stage) func() error { n := s.frontOnly(); n.Kill(); return n.Start }},
	{"kill a core", func(s *Stage) func() error { n := s.core(); n.Kill(); return n.Start }},
	{"kill two nodes at once", func(s *Stage) func() error {
		a, b := s.node(), s.frontOnly()
		kill([]*fleet.Node{a, b})
		return func() error {
			if err := a.Start(); err != nil {
				return err
			}
			return b.Start()
		}
	}},
	{"stop and restart a node", func(s *Stage) func() error { n := s.node(); n.Term(12 * time.Second); return n.Start }},
	{"freeze a node", func(s *Stage) func() error { n := s.node(); n.Freeze(); return func() error { n.Thaw(); return nil } }},
	{"isolate a node", func(s *Stage) func() error {
		group := []string{s.node().Name}
		s.Cut(group, s.Others(group))
		return func() error { s.Heal(); return nil }
	}},
	{"split the cores", func(s *Stage) func() error {
		group := []string{s.core().Name, s.frontOnly().Name}
		s.Cut(group, s.Others(group))
		return func() error { s.Heal(); return nil }
	}},
	{"crash a model server", func(s *Stage) func() error {
		name := s.model().Name
		s.Fleet.CrashModel(name)
		return func() error { return s.Fleet.ReturnModel(name) }
	}},
	{"a model server goes dark", func(s *Stage) func() error {
		m := s.model()
		s.Book.Mark("dark "+m.Name, false)
		m.Dark(true)
		return func() error { m.Dark(false); return nil }
	}},
	{"drain a model server", func(s *Stage) func() error {
		name := s.model().Name
		s.Fleet.Platform.State(name, "draining", 0)
		return func() error { s.Fleet.Platform.State(name, "ready", 0); return nil }
	}},
	{"faulty streams", func(s *Stage) func() error {
		s.modelOdds(emulator.Odds{emulator.EarlyEnd: .02, emulator.TooLittle: .02, emulator.Repeat: .02, emulator.Cross: .02, emulator.WrongID: .01, emulator.Abort: .03, emulator.Busy: .03})
		return func() error { s.modelOdds(nil); return nil }
	}},
	{"faulty web servers", func(s *Stage) func() error {
		s.webOdds(emulator.Odds{emulator.ResetEarly: .03, emulator.ResetRead: .03, emulator.ResetRan: .05, emulator.Truncated: .02, emulator.WrongID: .02, emulator.CrossBody: .02, emulator.Slow: .05})
		return func() error { s.webOdds(nil); return nil }
	}},
	{"one tenant asks sixfold", func(s *Stage) func() error {
		s.Crowd.Scale("crews", 6)
		return func() error { s.Crowd.Scale("crews", 1); return nil }
	}},
	{"callers move to one zone", func(s *Stage) func() error {
		s.Crowd.From(map[string]float64{s.node().ZoneName(): 1})
		return func() error { s.Crowd.From(nil); return nil }
	}},
	{"evacuate a zone", func(s *Stage) func() error {
		zone := []string{"lagos/a", "lagos/b"}[s.Random.IntN(2)]
		s.push(s.Control.Evacuate("ade", zone), s.Random.Uint64()%9, 10*time.Second)
		return func() error {
			s.push(s.Control.Restore("bola", zone), s.Random.Uint64()%9, 10*time.Second)
			return nil
		}
	}},
	{"wipe a core's disk", func(s *Stage) func() error {
		core := s.core()
		core.Kill()
		if err := core.Wipe(); err != nil {
			return func() error { return err }
		}
		return core.Start
	}},
}

// mix draws faults from the seed, at any moment, together and twice, while
// operators submit changes; then all is mended and read back, and a final
// fault follows.
func mix(s *Stage) error {
	began := s.Book.Now()
	end := s.beside(func(ctx context.Context) { s.changing(ctx, 400*time.Millisecond, nil) })
	type open struct {
		name  string
		until time.Duration
		mend  func() error
	}
	var standing []open
	mend := func(all bool) error {
		kept := standing[:0]
		var failed error
		for _, o := range standing {
			if !all && s.Book.Now() < o.until {
				kept = append(kept, o)
				continue
			}
			s.Book.Mark("mend: "+o.name, false)
			if err := o.mend(); err != nil {
				failed = fmt.Errorf("mend %s: %w", o.name, err)
			}
		}
		standing = kept
		return failed
	}
	busy := began + time.Duration(max(10, s.Seconds-22))*time.Second
	for s.Book.Now() < busy && s.ctx.Err() == nil {
		if len(standing) < 3 {
			t := troubles[s.Random.IntN(len(troubles))]
			s.Book.Mark("trouble: "+t.name, false)
			undo := t.do(s)
			standing = append(standing, open{t.name, s.Book.Now() + seconds(1+s.Random.Float64()*6), undo})
		}
		s.Wait(seconds(0.2 + s.Random.Float64()*2))
		if err := mend(false); err != nil {
			return err
		}
	}
	if err := mend(true); err != nil {
		return err
	}
	s.Wait(4 * time.Second)
	end()
	if err := s.dayEnd(15 * time.Second); err != nil {
		return err
	}
	s.Wait(2 * time.Second)
	killHalf(s)
	s.final("four of nine nodes killed at the end of the mix")
	return nil
}

// Mix is the case that a seed draws.
var Mix = Case{"mix", 0, "faults drawn by the seed, together and twice, then a final fault", 40, nil, mix}
