package faultcase

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/clock"
)

func wait(ctx context.Context, d time.Duration) bool { return owner.Wait(ctx, d) }

// Case causes one kind of trouble.
type Case struct {
	Name    string
	Group   int // number in the list of what must never happen
	Help    string
	Seconds int // the usual length
	Fleet   func(*Options)
	Run     func(*Stage) error
}

// Cases are all cases, in the order of their groups. Faults also have two other
// tables: those that the mix draws at random (troubles) and those that a scenario's
// file may name (scenarioFaults, caused by Stage.causeOne). What a single server does
// wrong is in package emulator.
var Cases = []Case{
	{"shots_reset", 1, "web servers reset kept-alive connections before reading, before and after running, truncate and cross answers", 20, nil, shotsReset},
	{"shots_fronts", 1, "fronts killed and frozen 5 s in the middle of one-shots", 25, nil, shotsFronts},
	{"shots_deadline", 1, "dark web servers, full pending, deadlines that pass while waiting", 25, nil, shotsDeadline},
	{"streams_faults", 2, "model servers end early, leave out, repeat and cross events, answer under other ids", 20, nil, streamsFaults},
	{"streams_crash", 2, "model servers crash and go dark, fronts are killed, callers are slow or leave", 25, nil, streamsCrash},
	{"orders_kills", 3, "changes in quick succession with every core killed and restarted, then read back", 40, nil, ordersKills},
	{"orders_wipe", 3, "an acknowledged order followed at once by a wiped disk on one core, then on another after repair", 40, nil, ordersWipe},
	{"orders_disk", 3, "one core with a full disk, then one 2 s slow a sync, with torn tails", 40, ordersDiskFleet, ordersDisk},
	{"orders_disks", 3, "one core with a full disk and one 2 s slow a sync at once", 45, ordersDiskFleet, ordersDisks},
	{"orders_race", 3, "two operators on one base at all cores at once, with lost answers and cuts", 30, nil, ordersRace},
	{"orders_invalid", 3, "invalid and very large sheets among good ones", 20, nil, ordersInvalid},
	{"force_node", 4, "one node cut off in silence for 20 s while keys are revoked", 40, nil, forceNode},
	{"force_core", 4, "one core cut off in silence for 20 s while keys are revoked", 40, nil, forceCore},
	{"force_zone", 4, "a zone cut off in silence for 20 s while keys are revoked", 40, nil, forceZone},
	{"force_cores", 4, "two cores and two fronts cut off from the rest in silence", 40, nil, forceCores},
	{"force_freeze", 4, "nodes frozen and thawed, restarted into a partition", 40, nil, forceFreeze},
	{"drain", 5, "servers drain and leave, with a core and a front killed in the same second", 30, nil, drains},
	{"evacuate", 5, "a zone is evacuated and taken back, with a core and a front killed in the same second", 35, nil, evacuate},
	{"cold_start", 6, "all servers begin cold, model and web", 25, coldFleet, coldStart},
	{"cold", 6, "a server comes back cold; a second one is lost right after", 40, nil, cold},
	{"replace", 6, "all model servers of a zone replaced one after another", 40, nil, replace},
	{"crowd", 6, "a crowd tenfold at once; long prompts turn to long answers", 30, nil, crowd},
	{"tally_tenfold", 7, "one tenant asks tenfold, clients move between zones", 50, nil, tallyTenfold},
	{"tally_restart", 7, "nodes killed and restarted in turn under excess demand, one clock wrong", 50, tallyClock, tallyRestart},
	{"tally_cut", 7, "a region cut off under excess demand", 50, nil, tallyCut},
	{"rolling", 8, "machines stopped and restarted in turn; each leaves by itself and cuts nothing", 50, nil, rollingRestart},
	{"final_nodes", 8, "half of the nodes killed at once", 30, nil, finalNodes},
	{"final_cores", 8, "two of three cores killed", 30, nil, finalCores},
	{"final_zone", 8, "one zone gone with its nodes and servers", 30, nil, finalZone},
	{"final_region", 8, "one region cut off", 30, nil, finalRegion},
	{"final_rolling", 8, "half of the nodes killed right after a rolling restart", 60, nil, finalRolling},
	{"final_all_cores", 8, "all cores killed", 30, nil, finalAllCores},
}

// Find returns a case by name.
func Find(name string) (Case, bool) {
	if name == RollingUpgrade.Name {
		return RollingUpgrade, true
	}
	for _, c := range Cases {
		if c.Name == name {
			return c, true
		}
	}
	return Case{}, false
}

func (s *Stage) rest(began history.At) {
	if left := began + time.Duration(s.Seconds)*time.Second - s.Book.Now(); left > 0 {
		s.Wait(left)
	}
}

func (s *Stage) left(began history.At) bool {
	return s.ctx.Err() == nil && s.Book.Now() < began+time.Duration(s.Seconds)*time.Second
}

func drains(s *Stage) error {
	began := s.Book.Now()
	for s.left(began) {
		drained, leaving := s.model(), s.model()
		web := s.Fleet.Webs[s.Random.IntN(3)]
		s.Book.Mark("drain "+drained.Name, false)
		s.Fleet.Platform.State(drained.Name, "draining", 0)
		s.Fleet.Platform.State(web.Name, "draining", 0)
		if leaving != drained {
			s.Fleet.Platform.State(leaving.Name, "leaving", clock.System().Now().Add(4*time.Second).UnixMilli())
		}
		core, front := s.core(), s.frontOnly()
		core.Kill()
		front.Kill()
		s.Wait(6 * time.Second)
		for _, n := range []*fleet.Node{core, front} {
			if err := n.Start(); err != nil {
				return err
			}
		}
		s.Wait(2 * time.Second)
		for _, name := range []string{drained.Name, leaving.Name, web.Name} {
			s.Fleet.Platform.State(name, "ready", 0)
		}
		s.Wait(2 * time.Second)
	}
	return nil
}

func evacuate(s *Stage) error {
	began := s.Book.Now()
	for i := uint64(0); s.left(began); i++ {
		zone := []string{"lagos/a", "lagos/b", "abeokuta/a"}[s.Random.IntN(3)]
		core, front := s.core(), s.frontOnly()
		kills := s.beside(func(ctx context.Context) {
			wait(ctx, seconds(s.Random.Float64()*0.3))
			core.Kill()
			front.Kill()
		})
		if won, _ := s.push(s.Control.Evacuate("ade", zone), i, 15*time.Second); !won {
			return errors.Errorf("the evacuation of %s was not acknowledged within 15 s", zone)
		}
		s.Wait(7 * time.Second)
		kills()
		for _, n := range []*fleet.Node{core, front} {
			if err := n.Start(); err != nil {
				return err
			}
		}
		s.Wait(2 * time.Second)
		if won, _ := s.push(s.Control.Restore("bola", zone), i, 15*time.Second); !won {
			return errors.Errorf("the restore of %s was not acknowledged within 15 s", zone)
		}
		s.Wait(3 * time.Second)
	}
	return nil
}

func coldFleet(o *Options) { o.Spec.Warm = false }

func coldStart(s *Stage) error {
	s.rest(s.Book.Now())
	return nil
}

func cold(s *Stage) error {
	began := s.Book.Now()
	s.Crowd.Scale("", 1.5)
	for s.left(began) {
		first, second := s.model(), s.model()
		s.Fleet.CrashModel(first.Name)
		s.Wait(3 * time.Second)
		if err := s.Fleet.ReturnModel(first.Name); err != nil {
			return err
		}
		s.Wait(seconds(0.5 + s.Random.Float64()))
		if second != first {
			s.Fleet.CrashModel(second.Name)
		}
		s.Wait(5 * time.Second)
		if err := s.Fleet.ReturnModel(second.Name); err != nil {
			return err
		}
		s.Wait(4 * time.Second)
	}
	return nil
}

func replace(s *Stage) error {
	began := s.Book.Now()
	zone := s.Fleet.Spec.Models[s.Random.IntN(len(s.Fleet.Spec.Models))]
	for s.left(began) {
		_, servers := s.zone(zone)
		for _, name := range servers {
			if s.Fleet.Model(name) == nil || !s.left(began) {
				continue
			}
			s.Fleet.Platform.State(name, "draining", 0)
			s.Wait(3 * time.Second)
			s.Fleet.CrashModel(name)
			s.Fleet.Platform.Drop(name)
			s.Wait(time.Second)
			if err := s.Fleet.ReturnModel(name); err != nil {
				return err
			}
			s.Fleet.List(name, "cold")
			s.Wait(2 * time.Second)
			s.Fleet.Platform.State(name, "ready", 0)
		}
	}
	return nil
}

func crowd(s *Stage) error {
	s.Wait(6 * time.Second)
	s.Book.Mark("crowd tenfold", false)
	s.Crowd.Scale("desk", 10)
	s.Crowd.Scale("grid", 10)
	s.Wait(8 * time.Second)
	s.Crowd.Scale("", 1)
	s.Book.Mark("long answers", false)
	s.Crowd.Scale("press", 0.2)
	s.Crowd.Scale("helpdesk", 2)
	s.Wait(8 * time.Second)
	s.Crowd.Scale("", 1)
	s.Wait(6 * time.Second)
	return nil
}
