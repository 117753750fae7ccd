package faultcase

import "time"

func tallyTenfold(s *Stage) error {
	began := s.Book.Now()
	s.Wait(5 * time.Second)
	s.Book.AddAction("crews and grid ask tenfold", false)
	s.Crowd.SetLoadFactor("crews", 10)
	s.Crowd.SetLoadFactor("grid", 6)
	for i := 0; s.left(began); i++ {
		s.Wait(12 * time.Second)
		home := []string{"lagos/a", "abeokuta/a", "lagos/b"}[i%3]
		s.Book.AddAction("callers move to "+home, false)
		s.Crowd.SetZoneShares(map[string]float64{home: 1})
	}
	return nil
}

func tallyClock(o *Options) {
	for i := range o.Spec.Nodes {
		if o.Spec.Nodes[i].Name == "front4" {
			o.Spec.Nodes[i].Settings = map[string]string{"clock.step": "37s"}
		}
	}
}

func tallyRestart(s *Stage) error {
	began := s.Book.Now()
	s.Crowd.SetLoadFactor("crews", 6)
	s.Crowd.SetLoadFactor("grid", 4)
	s.Wait(18 * time.Second)
	for i := 0; s.left(began); i++ {
		n := s.Fleet.Nodes[(i*2)%9]
		if i%2 == 0 {
			if err := s.bounce(n, seconds(s.Random.Float64()*3)); err != nil {
				return err
			}
		} else {
			n.Terminate(12 * time.Second)
			if err := n.Start(); err != nil {
				return err
			}
		}
		s.Wait(4 * time.Second)
	}
	return nil
}

func tallyCut(s *Stage) error {
	began := s.Book.Now()
	s.Crowd.SetLoadFactor("crews", 6)
	s.Crowd.SetLoadFactor("grid", 4)
	s.Wait(18 * time.Second)
	s.Cut(s.region("abeokuta"), s.region("lagos"))
	s.Wait(16 * time.Second)
	s.Heal()
	s.rest(began)
	return nil
}
