package prove

import (
	"fmt"
	"strings"
	"sync"

	"github.com/pkg/errors"

	"stepwick/internal/kernel"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/ledger"
	"stepwick/cmd/rig/load"
	"stepwick/cmd/rig/own"
	"stepwick/cmd/rig/standin"
)

func wait(ctx kernel.Context, d kernel.Duration) bool { return own.Wait(ctx, d) }

// Case causes one kind of trouble.
type Case struct {
	Name    string
	Group   int // number in the list of what must never happen
	Help    string
	Seconds int // the usual length
	Fleet   func(*Options)
	Run     func(*Stage) error
}

// Cases are all cases, in the order of their groups.
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
	for _, c := range Cases {
		if c.Name == name {
			return c, true
		}
	}
	return Case{}, false
}

func (s *Stage) rest(began ledger.At) {
	if left := began + kernel.Duration(s.Seconds)*kernel.Second - s.Book.Now(); left > 0 {
		s.Wait(left)
	}
}

func (s *Stage) left(began ledger.At) bool {
	return s.ctx.Err() == nil && s.Book.Now() < began+kernel.Duration(s.Seconds)*kernel.Second
}

func shotsReset(s *Stage) error {
	s.shotLoad()
	s.webOdds(standin.Odds{standin.ResetEarly: .05, standin.ResetRead: .05, standin.ResetRan: .05, standin.Truncated: .03, standin.WrongID: .03,
		standin.CrossBody: .03, standin.Busy: .05, standin.Slow: .02})
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
	s.webOdds(standin.Odds{standin.Slow: .2, standin.ResetRan: .02, standin.ResetRead: .02})
	for s.left(began) {
		killed, frozen := s.frontOnly(), s.node()
		killed.Kill()
		if frozen != killed {
			frozen.Freeze()
		}
		s.Wait(5 * kernel.Second)
		frozen.Thaw()
		if err := killed.Start(); err != nil {
			return err
		}
		s.Wait(2 * kernel.Second)
	}
	return nil
}

func shotsDeadline(s *Stage) error {
	began := s.Book.Now()
	s.shotLoad()
	for s.left(began) {
		s.Book.Mark("web servers dark", false)
		for _, w := range s.Fleet.Webs {
			w.Dark(true)
		}
		s.Wait(4 * kernel.Second)
		for _, w := range s.Fleet.Webs {
			w.Dark(false)
		}
		s.webOdds(standin.Odds{standin.Slow: .6})
		s.Wait(3 * kernel.Second)
		s.webOdds(nil)
		name := s.Fleet.Webs[s.Random.IntN(3)].Name
		s.crash(name)
		s.Wait(2 * kernel.Second)
		if err := s.back(name); err != nil {
			return err
		}
		s.Wait(kernel.Second)
	}
	return nil
}

func streamsFaults(s *Stage) error {
	s.Crowd.Mood.GoneOdds, s.Crowd.Mood.SlowOdds = .03, .05
	s.modelOdds(standin.Odds{standin.EarlyEnd: .02, standin.TooLittle: .02, standin.Repeat: .02, standin.Cross: .03, standin.WrongID: .02, standin.Abort: .02, standin.Busy: .05, standin.Stall: .01})
	s.rest(s.Book.Now())
	return nil
}

func streamsCrash(s *Stage) error {
	began := s.Book.Now()
	s.Crowd.Mood.GoneOdds, s.Crowd.Mood.SlowOdds = .03, .05
	for s.left(began) {
		crashed, dark, killed := s.model(), s.model(), s.frontOnly()
		s.Fleet.CrashModel(crashed.Name)
		s.Book.Mark("dark "+dark.Name, false)
		dark.Dark(true)
		s.Wait(2 * kernel.Second)
		killed.Kill()
		s.Wait(2 * kernel.Second)
		dark.Dark(false)
		if err := s.Fleet.ReturnModel(crashed.Name); err != nil {
			return err
		}
		if err := killed.Start(); err != nil {
			return err
		}
		s.Wait(2 * kernel.Second)
	}
	return nil
}

func ordersKills(s *Stage) error {
	began := s.Book.Now()
	end := s.beside(func(ctx kernel.Context) { s.changing(ctx, 10*kernel.Millisecond, nil) })
	for i := 0; s.left(began); i++ {
		core := s.Fleet.Cores()[i%3]
		core.Kill()
		s.Wait(seconds(0.2 + s.Random.Float64()*2))
		if s.Random.IntN(3) == 0 {
			if err := core.Tear(); err != nil {
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
	s.Wait(4 * kernel.Second)
	end()
	for _, core := range s.Fleet.Cores() {
		core.Kill()
	}
	for _, core := range s.Fleet.Cores() {
		if err := core.Start(); err != nil {
			return err
		}
	}
	s.Wait(5 * kernel.Second)
	return s.dayEnd(20 * kernel.Second)
}

func ordersWipe(s *Stage) error {
	began := s.Book.Now()
	_, base := s.Control.Newest()
	for i := uint64(0); s.left(began); i++ {
		won, epoch := s.push(s.Control.Change("ade", base), i, 15*kernel.Second)
		if !won {
			return errors.Errorf("round %d: the order was not accepted within 15 s", i)
		}
		base = epoch
		core := s.Fleet.Cores()[i%3]
		core.Kill()
		if err := core.Wipe(); err != nil {
			return err
		}
		s.Wait(seconds(s.Random.Float64()))
		if err := core.Start(); err != nil {
			return err
		}
		if !s.repaired(core, 20*kernel.Second) {
			return errors.Errorf("round %d: %s was not repaired within 20 s", i, core.Name)
		}
		if _, err := s.readAll(); err != nil {
			return err
		}
	}
	return s.dayEnd(20 * kernel.Second)
}

// repaired waits until a restarted core serves again by the newest key.
func (s *Stage) repaired(core *fleet.Node, within kernel.Duration) bool {
	until := s.Book.Now() + within
	for s.Book.Now() < until {
		key, _ := s.Control.Newest()
		if s.Control.Probe(core, key).Passed() {
			return s.Wait(2 * kernel.Second)
		}
		if !s.Wait(200 * kernel.Millisecond) {
			return false
		}
	}
	return false
}

func (s *Stage) readAll() (ok int, err error) {
	for _, n := range running(s.Fleet.Nodes) {
		if back, _ := s.Control.Read(n, false); back.Status == 200 {
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
	end := s.beside(func(ctx kernel.Context) { s.changing(ctx, 20*kernel.Millisecond, s.fat) })
	defer end()
	s.Wait(14 * kernel.Second)
	if err := s.acknowledged("core1's disk was full", 5*kernel.Second); err != nil {
		return err
	}
	if err := s.restartWith(s.Fleet.Cores()[0], "disk.quota", ""); err != nil {
		return err
	}
	s.Wait(4 * kernel.Second)
	if err := s.restartWith(s.Fleet.Cores()[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	s.Wait(14 * kernel.Second)
	if err := s.acknowledged("core2's disk was slow", 8*kernel.Second); err != nil {
		return err
	}
	end()
	return s.dayEnd(20 * kernel.Second)
}

// ordersDisks has one disk full and one slow at once.
func ordersDisks(s *Stage) error {
	end := s.beside(func(ctx kernel.Context) { s.changing(ctx, 20*kernel.Millisecond, s.fat) })
	defer end()
	s.Wait(12 * kernel.Second)
	if err := s.restartWith(s.Fleet.Cores()[1], "disk.sync_delay", "2s"); err != nil {
		return err
	}
	s.Wait(26 * kernel.Second)
	if err := s.acknowledged("core1's disk was full and core2's slow", 20*kernel.Second); err != nil {
		return err
	}
	end()
	return s.dayEnd(20 * kernel.Second)
}

// restartWith ends a core, tears the tail of its log and starts it with a
// changed setting.
func (s *Stage) restartWith(core *fleet.Node, name, value string) error {
	core.Kill()
	core.Set(name, value)
	if err := core.Tear(); err != nil {
		return err
	}
	return core.Start()
}

// acknowledged wants at least one order to have been acknowledged lately.
func (s *Stage) acknowledged(while string, lately kernel.Duration) error {
	l := s.Book.Copy()
	for _, o := range l.Orders {
		if o.Won() && o.Told > s.Book.Now()-lately {
			return nil
		}
	}
	return errors.Errorf("no order was acknowledged in %s while %s", lately, while)
}

// fat makes some changes add many tenants, so that a small disk fills.
func (s *Stage) fat(i uint64) (more []map[string]any) {
	if i%4 != 0 {
		return nil
	}
	for j := range 60 {
		more = append(more, map[string]any{"path": fmt.Sprintf("tenants.extra%d", (i*60+uint64(j))%900), "value": map[string]any{"rate": 10 + i, "keys": []string{fleet.Hash(fmt.Sprint("x", i, j))}}})
	}
	return more
}

func ordersRace(s *Stage) error {
	began := s.Book.Now()
	_, base := s.Control.Newest()
	for i := uint64(0); s.left(began); i++ {
		if i%3 == 2 {
			cut := []string{s.core().Name}
			s.Cut(cut, s.Others(cut))
		}
		ctx, cancel := kernel.WithTimeout(s.ctx, 15*kernel.Second)
		var all sync.WaitGroup
		for j := range 3 {
			o := s.Control.Change([]string{"ade", "bola"}[j%2], base)
			o.Race = fmt.Sprintf("race %d", i)
			nodes := append([]*fleet.Node{s.Fleet.Cores()[j]}, s.shuffled(i+uint64(j))...)
			lose := s.Random.IntN(3) == 0
			all.Go(func() {
				if lose {
					s.Control.Send(o, nodes[0], 3*kernel.Millisecond)
				}
				s.Control.Push(ctx, o, nodes)
			})
		}
		all.Wait()
		if i%3 == 2 {
			s.Heal()
		}
		next, ok := s.Control.Base(ctx, s.Fleet.Nodes)
		cancel()
		if ok {
			base = next
		}
		s.Wait(200 * kernel.Millisecond)
	}
	return s.dayEnd(20 * kernel.Second)
}

func ordersInvalid(s *Stage) error {
	began := s.Book.Now()
	_, base := s.Control.Newest()
	for i := uint64(0); s.left(began); i++ {
		key := s.Control.NextKey()
		sheet := load.FirstSheet(s.Fleet, s.Tenants, key)
		bad := s.Control.Put("bola", base, sheet, key)
		bad.Invalid = true
		switch i % 6 {
		case 0:
			sheet.Weights["digest"] = map[string]float64{"lagos": -1, "abeokuta": 2}
		case 1:
			sheet.Weights["digest"] = map[string]float64{"lagos": 0, "abeokuta": 0}
		case 2:
			bad.Body["sheet"] = map[string]any{"services": sheet.Services, "weights": sheet.Weights, "tenants": sheet.Tenants, "colour": "red"}
		case 3:
			sheet.Tenants["press"] = load.SheetTenant{Rate: -5, Keys: []string{fleet.Hash("key-of-press")}}
		case 4:
			sheet.Weights["nosuch"] = map[string]float64{"lagos": 1}
		case 5:
			sheet.Tenants["huge"] = load.SheetTenant{Rate: 1, Home: strings.Repeat("x", 17<<20)}
		}
		told := s.Control.Send(bad, s.node(), 0)
		if told.Status == 0 && i%6 != 5 {
			return errors.Errorf("an invalid sheet got no answer: %s", told.Detail)
		}
		large := s.Control.NextKey()
		big := load.FirstSheet(s.Fleet, s.Tenants, large)
		for j := range 3000 {
			big.Tenants[fmt.Sprintf("town%d", j)] = load.SheetTenant{Rate: float64(i + 1), Burst: 10, Keys: []string{fleet.Hash(fmt.Sprint("town", j))}}
		}
		won, epoch := s.push(s.Control.Put("ade", base, big, large), i, 15*kernel.Second)
		if !won {
			return errors.Errorf("round %d: a sheet of 3,000 tenants was not accepted within 15 s", i)
		}
		base = epoch
		s.Wait(500 * kernel.Millisecond)
	}
	return s.dayEnd(20 * kernel.Second)
}

// force cuts a group off for most of the run while the others change keys.
func force(s *Stage, group []string) error {
	began := s.Book.Now()
	end := s.beside(func(ctx kernel.Context) { s.changing(ctx, 700*kernel.Millisecond, nil) })
	s.Wait(3 * kernel.Second)
	s.Cut(group, s.Others(group))
	s.Wait(max(20*kernel.Second, kernel.Duration(s.Seconds-12)*kernel.Second))
	if err := s.acknowledged(fmt.Sprintf("%v was cut off", group), 10*kernel.Second); err != nil && !s.majorityCut(group) {
		return err
	}
	s.Heal()
	s.rest(began)
	s.Wait(3 * kernel.Second)
	end()
	return s.dayEnd(20 * kernel.Second)
}

// majorityCut tells whether a cut leaves neither side with most cores and most
// nodes, so that no order can be acknowledged.
func (s *Stage) majorityCut(group []string) bool {
	cores := 0
	for _, name := range group {
		if s.Fleet.Node(name).Core {
			cores++
		}
	}
	inside := 2*len(group) > len(s.Fleet.Nodes)
	return (2*cores > len(s.Fleet.Cores())) != inside
}

func forceNode(s *Stage) error { return force(s, []string{s.frontOnly().Name}) }
func forceCore(s *Stage) error { return force(s, []string{s.core().Name}) }

func forceZone(s *Stage) error {
	nodes, _ := s.zone(s.node().Place)
	var names []string
	for _, n := range nodes {
		names = append(names, n.Name)
	}
	return force(s, names)
}

func forceCores(s *Stage) error {
	return force(s, []string{s.Fleet.Cores()[0].Name, s.Fleet.Cores()[1].Name, s.Fleet.Nodes[3].Name, s.Fleet.Nodes[4].Name})
}

func forceFreeze(s *Stage) error {
	began := s.Book.Now()
	end := s.beside(func(ctx kernel.Context) { s.changing(ctx, 500*kernel.Millisecond, nil) })
	for s.left(began) {
		a, b := s.node(), s.frontOnly()
		a.Freeze()
		s.Wait(seconds(3 + s.Random.Float64()*4))
		a.Thaw()
		b.Kill()
		s.Cut([]string{b.Name}, s.Others([]string{b.Name}))
		if err := b.Start(); err != nil {
			return err
		}
		s.Wait(4 * kernel.Second)
		s.Heal()
		s.Wait(2 * kernel.Second)
	}
	s.Wait(2 * kernel.Second)
	end()
	return s.dayEnd(20 * kernel.Second)
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
			s.Fleet.Platform.State(leaving.Name, "leaving", kernel.System().Now().Add(4*kernel.Second).UnixMilli())
		}
		core, front := s.core(), s.frontOnly()
		core.Kill()
		front.Kill()
		s.Wait(6 * kernel.Second)
		for _, n := range []*fleet.Node{core, front} {
			if err := n.Start(); err != nil {
				return err
			}
		}
		s.Wait(2 * kernel.Second)
		for _, name := range []string{drained.Name, leaving.Name, web.Name} {
			s.Fleet.Platform.State(name, "ready", 0)
		}
		s.Wait(2 * kernel.Second)
	}
	return nil
}

func evacuate(s *Stage) error {
	began := s.Book.Now()
	for i := uint64(0); s.left(began); i++ {
		locality := []string{"lagos/a", "lagos/b", "abeokuta/a"}[s.Random.IntN(3)]
		core, front := s.core(), s.frontOnly()
		kills := s.beside(func(ctx kernel.Context) {
			wait(ctx, seconds(s.Random.Float64()*0.3))
			core.Kill()
			front.Kill()
		})
		if won, _ := s.push(s.Control.Evacuate("ade", locality), i, 15*kernel.Second); !won {
			return errors.Errorf("the evacuation of %s was not acknowledged within 15 s", locality)
		}
		s.Wait(7 * kernel.Second)
		kills()
		for _, n := range []*fleet.Node{core, front} {
			if err := n.Start(); err != nil {
				return err
			}
		}
		s.Wait(2 * kernel.Second)
		if won, _ := s.push(s.Control.Restore("bola", locality), i, 15*kernel.Second); !won {
			return errors.Errorf("the restore of %s was not acknowledged within 15 s", locality)
		}
		s.Wait(3 * kernel.Second)
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
		s.Wait(3 * kernel.Second)
		if err := s.Fleet.ReturnModel(first.Name); err != nil {
			return err
		}
		s.Wait(seconds(0.5 + s.Random.Float64()))
		if second != first {
			s.Fleet.CrashModel(second.Name)
		}
		s.Wait(5 * kernel.Second)
		if err := s.Fleet.ReturnModel(second.Name); err != nil {
			return err
		}
		s.Wait(4 * kernel.Second)
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
			s.Wait(3 * kernel.Second)
			s.Fleet.CrashModel(name)
			s.Fleet.Platform.Drop(name)
			s.Wait(kernel.Second)
			if err := s.Fleet.ReturnModel(name); err != nil {
				return err
			}
			s.Fleet.List(name, "cold")
			s.Wait(2 * kernel.Second)
			s.Fleet.Platform.State(name, "ready", 0)
		}
	}
	return nil
}

func crowd(s *Stage) error {
	s.Wait(6 * kernel.Second)
	s.Book.Mark("crowd tenfold", false)
	s.Crowd.Scale("desk", 10)
	s.Crowd.Scale("grid", 10)
	s.Wait(8 * kernel.Second)
	s.Crowd.Scale("", 1)
	s.Book.Mark("long answers", false)
	s.Crowd.Scale("press", 0.2)
	s.Crowd.Scale("helpdesk", 2)
	s.Wait(8 * kernel.Second)
	s.Crowd.Scale("", 1)
	s.Wait(6 * kernel.Second)
	return nil
}

func tallyTenfold(s *Stage) error {
	began := s.Book.Now()
	s.Wait(5 * kernel.Second)
	s.Book.Mark("crews and grid ask tenfold", false)
	s.Crowd.Scale("crews", 10)
	s.Crowd.Scale("grid", 6)
	for i := 0; s.left(began); i++ {
		s.Wait(12 * kernel.Second)
		home := []string{"lagos/a", "abeokuta/a", "lagos/b"}[i%3]
		s.Book.Mark("callers move to "+home, false)
		s.Crowd.From(map[string]float64{home: 1})
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
	s.Crowd.Scale("crews", 6)
	s.Crowd.Scale("grid", 4)
	s.Wait(18 * kernel.Second)
	for i := 0; s.left(began); i++ {
		n := s.Fleet.Nodes[(i*2)%9]
		if i%2 == 0 {
			if err := s.bounce(n, seconds(s.Random.Float64()*3)); err != nil {
				return err
			}
		} else {
			n.Term(12 * kernel.Second)
			if err := n.Start(); err != nil {
				return err
			}
		}
		s.Wait(4 * kernel.Second)
	}
	return nil
}

func tallyCut(s *Stage) error {
	began := s.Book.Now()
	s.Crowd.Scale("crews", 6)
	s.Crowd.Scale("grid", 4)
	s.Wait(18 * kernel.Second)
	s.Cut(s.region("abeokuta"), s.region("lagos"))
	s.Wait(16 * kernel.Second)
	s.Heal()
	s.rest(began)
	return nil
}

// killHalf kills four nodes of nine; one core is among them at the most.
func killHalf(s *Stage) {
	killed := []*fleet.Node{s.core()}
	for len(killed) < 4 {
		n := s.frontOnly()
		fresh := true
		for _, k := range killed {
			fresh = fresh && k != n
		}
		if fresh {
			killed = append(killed, n)
		}
	}
	kill(killed)
}

func kill(nodes []*fleet.Node) {
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(n.Kill)
	}
	all.Wait()
}

func finalNodes(s *Stage) error {
	s.Wait(8 * kernel.Second)
	killHalf(s)
	s.final("four of nine nodes killed at once")
	return nil
}

func finalCores(s *Stage) error {
	s.Wait(8 * kernel.Second)
	kill(s.Fleet.Cores()[:2])
	s.final("two of three cores killed")
	return nil
}

func finalAllCores(s *Stage) error {
	s.Wait(8 * kernel.Second)
	kill(s.Fleet.Cores())
	s.final("all cores killed")
	return nil
}

func finalZone(s *Stage) error {
	s.Wait(8 * kernel.Second)
	nodes, servers := s.zone(fleet.Place{Region: "lagos", Zone: "a"})
	kill(nodes)
	for _, name := range servers {
		s.crash(name)
	}
	s.final("zone lagos/a gone")
	return nil
}

func finalRegion(s *Stage) error {
	s.Wait(8 * kernel.Second)
	s.Cut(s.region("abeokuta"), s.region("lagos"))
	s.final("regions cut off from each other")
	return nil
}

func rollingRestart(s *Stage) error {
	if err := s.rolling(3 * kernel.Second); err != nil {
		return err
	}
	l := s.Book.Copy()
	cut := 0
	for _, a := range l.Attempts {
		if len(a.Events) > 0 && a.End != ledger.Served && a.End != ledger.GaveUp {
			cut++
		}
	}
	if cut > 0 {
		return errors.Errorf("%d streams were cut although every node left by itself", cut)
	}
	return nil
}

func finalRolling(s *Stage) error {
	if err := s.rolling(2 * kernel.Second); err != nil {
		return err
	}
	s.Wait(7 * kernel.Second)
	killHalf(s)
	s.final("four of nine nodes killed after a rolling restart")
	return nil
}
