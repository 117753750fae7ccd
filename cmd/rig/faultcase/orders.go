package faultcase

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/loadgen"
)

func ordersKills(s *Stage) error {
	began := s.Book.Now()
	end := s.beside(func(ctx context.Context) { s.changing(ctx, 10*time.Millisecond, nil) })
	for i := 0; s.left(began); i++ {
		core := s.Fleet.Cores()[i%3]
		core.Kill()
		s.Wait(seconds(0.2 + s.Random.Float64()*2))
		if s.Random.IntN(3) == 0 {
			if err := core.TearLog(); err != nil {
				return err
			}
		}
		if i%4 == 3 {
			other := s.Fleet.Cores()[(i+1)%3]
			if err := s.bounce(other, seconds(s.Random.Float64())); err != nil {
				return err
			}
		}
		if err := core.Start(); err != nil {
			return err
		}
		s.Wait(seconds(1 + s.Random.Float64()*2))
	}
	s.Wait(4 * time.Second)
	end()
	for _, core := range s.Fleet.Cores() {
		core.Kill()
	}
	for _, core := range s.Fleet.Cores() {
		if err := core.Start(); err != nil {
			return err
		}
	}
	s.Wait(5 * time.Second)
	return s.dayEnd(20 * time.Second)
}

func ordersWipe(s *Stage) error {
	began := s.Book.Now()
	_, base := s.Control.NewestKey()
	for i := uint64(0); s.left(began); i++ {
		won, version := s.push(s.Control.Change("ade", base), i, 15*time.Second)
		if !won {
			return errors.Errorf("round %d: the order was not accepted within 15 s", i)
		}
		base = version
		core := s.Fleet.Cores()[i%3]
		core.Kill()
		if err := core.Wipe(); err != nil {
			return err
		}
		s.Wait(seconds(s.Random.Float64()))
		if err := core.Start(); err != nil {
			return err
		}
		if !s.repaired(core, 20*time.Second) {
			return errors.Errorf("round %d: %s was not repaired within 20 s", i, core.Name)
		}
		if _, err := s.readAll(); err != nil {
			return err
		}
	}
	return s.dayEnd(20 * time.Second)
}

// repaired waits until a restarted core serves again by the newest key, and 2 s more.
func (s *Stage) repaired(core *fleet.Node, within time.Duration) bool {
	return s.serves(core, within) && s.Wait(2*time.Second)
}

// serves waits until a node serves by the newest key.
func (s *Stage) serves(n *fleet.Node, within time.Duration) bool {
	until := s.Book.Now() + within
	for s.Book.Now() < until {
		key, _ := s.Control.NewestKey()
		if s.Control.CheckKey(n, key).Accepted() {
			return true
		}
		if !s.Wait(200 * time.Millisecond) {
			return false
		}
	}
	return false
}

func (s *Stage) readAll() (ok int, err error) {
	for _, n := range running(s.Fleet.Nodes) {
		if back, _ := s.Control.ReadSheet(n, false); back.Status == 200 {
			ok++
		}
	}
	return ok, nil
}

func ordersDiskFleet(o *Options) {
	for i := range o.Spec.Nodes {
		if o.Spec.Nodes[i].Name == "core1" {
			o.Spec.Nodes[i].Settings = map[string]string{"disk.quota": "256KiB", "disk.segment": "64KiB"}
		}
	}
}

// ordersDisk lets core1 fill its disk, then gives it room and slows core2's
// disk. Two cores with good disks are left at each time, so orders must go on.
func ordersDisk(s *Stage) error {
	end := s.beside(func(ctx context.Context) { s.changing(ctx, 20*time.Millisecond, s.fat) })
	defer end()
	s.Wait(14 * time.Second)
	if err := s.acknowledged("core1's disk was full", 5*time.Second); err != nil {
		return err
	}
	if err := s.restartWith(s.Fleet.Cores()[0], "disk.quota", ""); err != nil {
		return err
	}
	s.Wait(4 * time.Second)
	if err := s.restartWith(s.Fleet.Cores()[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	s.Wait(14 * time.Second)
	if err := s.acknowledged("core2's disk was slow", 8*time.Second); err != nil {
		return err
	}
	end()
	return s.dayEnd(20 * time.Second)
}

// ordersDisks has one disk full and one slow at once.
func ordersDisks(s *Stage) error {
	end := s.beside(func(ctx context.Context) { s.changing(ctx, 20*time.Millisecond, s.fat) })
	defer end()
	s.Wait(12 * time.Second)
	if err := s.restartWith(s.Fleet.Cores()[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	s.Wait(26 * time.Second)
	if err := s.acknowledged("core1's disk was full and core2's slow", 20*time.Second); err != nil {
		return err
	}
	end()
	return s.dayEnd(20 * time.Second)
}

// restartWith ends a core, tears the tail of its log and starts it with a
// changed setting.
func (s *Stage) restartWith(core *fleet.Node, name, value string) error {
	core.Kill()
	core.SetSetting(name, value)
	if err := core.TearLog(); err != nil {
		return err
	}
	return core.Start()
}

// acknowledged wants at least one order to have been acknowledged lately.
func (s *Stage) acknowledged(while string, lately time.Duration) error {
	l := s.Book.Snapshot()
	for _, o := range l.Orders {
		if o.Acknowledged() && o.Answered > s.Book.Now()-lately {
			return nil
		}
	}
	return errors.Errorf("no order was acknowledged in %s while %s", lately, while)
}

// fat makes some changes add many tenants, so that a small disk fills.
func (s *Stage) fat(i uint64) (more []loadgen.Change) {
	if i%4 != 0 {
		return nil
	}
	for j := range 60 {
		more = append(more, loadgen.Change{Path: fmt.Sprintf("tenants.extra%d", (i*60+uint64(j))%900), Value: loadgen.SheetTenant{Rate: float64(10 + i), Keys: []string{fleet.HashKey(fmt.Sprint("x", i, j))}}})
	}
	return more
}

func ordersRace(s *Stage) error {
	began := s.Book.Now()
	_, base := s.Control.NewestKey()
	for i := uint64(0); s.left(began); i++ {
		if i%3 == 2 {
			cut := []string{s.core().Name}
			s.Cut(cut, s.Others(cut))
		}
		ctx, cancel := context.WithTimeout(s.ctx, 15*time.Second)
		var all sync.WaitGroup
		for j := range 3 {
			o := s.Control.Change([]string{"ade", "bola"}[j%2], base)
			o.Race = fmt.Sprintf("race %d", i)
			nodes := append([]*fleet.Node{s.Fleet.Cores()[j]}, s.shuffled(i+uint64(j))...)
			lose := s.Random.IntN(3) == 0
			all.Go(func() {
				if lose {
					s.Control.Send(o, nodes[0], 3*time.Millisecond)
				}
				s.Control.Submit(ctx, o, nodes)
			})
		}
		all.Wait()
		if i%3 == 2 {
			s.Heal()
		}
		next, ok := s.Control.SheetVersion(ctx, s.Fleet.Nodes)
		cancel()
		if ok {
			base = next
		}
		s.Wait(200 * time.Millisecond)
	}
	return s.dayEnd(20 * time.Second)
}

// sheetWithUnknownField is a sheet with a field that no sheet has.
type sheetWithUnknownField struct {
	loadgen.Sheet
	Colour string `json:"colour"`
}

func ordersInvalid(s *Stage) error {
	began := s.Book.Now()
	_, base := s.Control.NewestKey()
	for i := uint64(0); s.left(began); i++ {
		key := s.Control.NextKey()
		sheet := loadgen.NewSheet(s.Fleet, s.Tenants, key)
		bad := s.Control.Put("bola", base, sheet, key)
		bad.Invalid = true
		switch i % 6 {
		case 0:
			sheet.Weights["digest"] = map[string]float64{"lagos": -1, "abeokuta": 2}
		case 1:
			sheet.Weights["digest"] = map[string]float64{"lagos": 0, "abeokuta": 0}
		case 2:
			bad.Body.Sheet = sheetWithUnknownField{Sheet: sheet, Colour: "red"}
		case 3:
			sheet.Tenants["press"] = loadgen.SheetTenant{Rate: -5, Keys: []string{fleet.HashKey("key-of-press")}}
		case 4:
			sheet.Weights["nosuch"] = map[string]float64{"lagos": 1}
		case 5:
			sheet.Tenants["huge"] = loadgen.SheetTenant{Rate: 1, Home: strings.Repeat("x", 17<<20)}
		}
		told := s.Control.Send(bad, s.node(), 0)
		if told.Status == 0 && i%6 != 5 {
			return errors.Errorf("an invalid sheet got no answer: %s", told.Detail)
		}
		large := s.Control.NextKey()
		big := loadgen.NewSheet(s.Fleet, s.Tenants, large)
		for j := range 3000 {
			big.Tenants[fmt.Sprintf("town%d", j)] = loadgen.SheetTenant{Rate: float64(i + 1), Burst: 10, Keys: []string{fleet.HashKey(fmt.Sprint("town", j))}}
		}
		won, version := s.push(s.Control.Put("ade", base, big, large), i, 15*time.Second)
		if !won {
			return errors.Errorf("round %d: a sheet of 3,000 tenants was not accepted within 15 s", i)
		}
		base = version
		s.Wait(500 * time.Millisecond)
	}
	return s.dayEnd(20 * time.Second)
}
