package fleet

import (
	"fmt"
	"time"
)

func (w *walk) fault() {
	now := w.clock.Now()
	if w.split != nil && now.After(w.heal) {
		w.fleet.Split(w.split, false)
		w.split = nil
		w.note("heal")
	}
	for i, at := range w.back {
		if now.After(at) {
			delete(w.back, i)
			if err := w.fleet.Up(i); err != nil {
				w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("node %d doesn't start: %v", i, err))
			}
			w.note("up %d", i)
		}
	}
	w.leave(now)
	w.replace(now)
	if w.random.IntN(40) != 0 {
		return
	}
	switch w.random.IntN(7) {
	case 5:
		w.terminate(w.random.IntN(w.n))
	case 6:
		if len(w.turns) == 0 {
			i := w.random.IntN(w.n)
			w.turns = []int{i, (i + 1 + w.random.IntN(w.n-1)) % w.n}
			w.note("replace %v in turn", w.turns)
		}
	case 0, 1:
		w.kill(w.random.IntN(w.n))
	case 2:
		for range 2 + w.random.IntN(3) {
			w.kill(w.random.IntN(w.n))
		}
	default:
		if w.split != nil {
			return
		}
		w.split = map[int]bool{}
		if w.random.IntN(2) == 0 {
			w.split[w.random.IntN(w.n)] = true
		} else {
			for i := range w.n {
				w.split[i] = w.random.IntN(2) == 0
			}
		}
		w.heal = now.Add(time.Duration(3+w.random.IntN(25)) * time.Second)
		w.fleet.Split(w.split, true)
		w.note("split %v", w.split)
	}
}

// terminate asks a node to stop of itself.
func (w *walk) terminate(i int) {
	if !w.fleet.Running(i) || w.leaving[i] {
		return
	}
	w.fleet.Terminate(i)
	w.leaving[i] = true
	w.note("terminate %d", i)
}

// leave looks after those that were asked to stop.
func (w *walk) leave(now time.Time) {
	for i := range w.n {
		if !w.leaving[i] {
			continue
		}
		ended, err := w.fleet.Ended(i)
		if !ended {
			continue
		}
		if err != nil {
			w.violate("node %d ended with %v", i, err)
		}
		delete(w.leaving, i)
		delete(w.took, i)
		w.back[i] = now.Add(time.Duration(1+w.random.IntN(6)) * time.Second)
		w.note("ended %d", i)
	}
}

// replace takes the next node away for good and puts one of the same name and
// without its disk in its place, once the one before is up again for 3 s.
func (w *walk) replace(now time.Time) {
	if len(w.turns) == 0 || now.Before(w.turnAt) {
		return
	}
	i := w.turns[0]
	w.turns = w.turns[1:]
	if !w.fleet.Running(i) {
		return
	}
	w.lose(i, now.Add(2*time.Second), i < w.fleet.config.Cores && w.wipeable(i))
	w.turnAt = now.Add(5 * time.Second)
}

// kill ends a node for a while; one core at a time may lose its disk, and only
// while the others are up.
func (w *walk) kill(i int) {
	if !w.fleet.Running(i) {
		return
	}
	back := w.clock.Now().Add(time.Duration(1+w.random.IntN(12)) * time.Second)
	w.lose(i, back, i < w.fleet.config.Cores && w.random.IntN(3) == 0 && w.wipeable(i))
}

func (w *walk) lose(i int, back time.Time, wiped bool) {
	w.fleet.Kill(i)
	delete(w.took, i)
	delete(w.leaving, i)
	w.back[i] = back
	if w.split != nil {
		w.fleet.Split(w.split, true)
	}
	if wiped {
		if err := w.fleet.Wipe(i); err != nil {
			w.violate("%v", err)
		}
	}
	w.note("kill %d wiped %v", i, wiped)
}

// wipeable tells whether the disks of all other cores are whole and voting.
func (w *walk) wipeable(i int) bool {
	for c := range w.fleet.config.Cores {
		if c == i {
			continue
		}
		if !w.fleet.Running(c) || w.fleet.standing(c) != "voting" {
			return false
		}
	}
	return true
}
