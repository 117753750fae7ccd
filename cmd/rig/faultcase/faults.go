package faultcase

import (
	"context"
	"fmt"
	"time"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/loadgen"
)

// part of a case's work that runs beside its faults; wait for it with the
// function returned, which may be called again.
func (s *Stage) beside(f func(ctx context.Context)) (end func()) {
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	go func() { f(ctx); close(done) }()
	return func() { cancel(); <-done }
}

func (s *Stage) node() *fleet.Node { return s.Fleet.Nodes[s.Random.IntN(len(s.Fleet.Nodes))] }

func (s *Stage) core() *fleet.Node {
	cores := s.Fleet.Cores()
	return cores[s.Random.IntN(len(cores))]
}

// frontOnly picks a node without a disk.
func (s *Stage) frontOnly() *fleet.Node {
	for {
		if n := s.node(); !n.Core {
			return n
		}
	}
}

func (s *Stage) model() *emulator.Model { return s.Fleet.Models[s.Random.IntN(len(s.Fleet.Models))] }

// shuffled returns all nodes in an order that the number decides.
func (s *Stage) shuffled(i uint64) []*fleet.Node {
	return s.Fleet.From(int((i*7 + s.Seed*3) % uint64(len(s.Fleet.Nodes))))
}

// running keeps the nodes whose process runs.
func running(nodes []*fleet.Node) (out []*fleet.Node) {
	for _, n := range nodes {
		if _, runs := n.Running(); runs {
			out = append(out, n)
		}
	}
	return out
}

// changing submits one change after another through changing nodes, loses
// every fifth answer, and sends each order until it is settled. The order that
// is open when ctx ends is left as it is.
func (s *Stage) changing(ctx context.Context, every time.Duration, more func(i uint64) []map[string]any) {
	_, base := s.Control.Newest()
	for i := uint64(0); ctx.Err() == nil; i++ {
		var extra []map[string]any
		if more != nil {
			extra = more(i)
		}
		o := s.Control.Change([]string{"ade", "bola"}[i%2], base, extra...)
		nodes := s.shuffled(i)
		if i%5 == 4 {
			s.Control.Send(o, nodes[0], time.Duration(1+i%40)*time.Millisecond)
			nodes = nodes[1:]
		}
		told := s.Control.Push(ctx, o, nodes)
		switch {
		case told.Won():
			base = told.Version
		case ctx.Err() == nil:
			if b, ok := s.Control.Base(ctx, nodes); ok {
				base = b
			}
		}
		if !wait(ctx, every) {
			return
		}
	}
}

// push submits an order within a span and returns what was told last.
func (s *Stage) push(o *loadgen.Order, from uint64, within time.Duration) (won bool, version uint64) {
	ctx, cancel := context.WithTimeout(s.ctx, within)
	defer cancel()
	told := s.Control.Push(ctx, o, s.shuffled(from))
	return told.Won(), told.Version
}

// dayEnd reads the sheet back through every running node, and again until a
// read succeeds through at least one.
func (s *Stage) dayEnd(within time.Duration) error {
	until := s.Book.Now() + within
	for {
		read := 0
		for _, n := range running(s.Fleet.Nodes) {
			if back, _ := s.Control.Read(n, true); back.Status == 200 {
				read++
			}
		}
		if read > 0 {
			return nil
		}
		if s.Book.Now() > until || !s.Wait(500*time.Millisecond) {
			return fmt.Errorf("no node gave the sheet at day's end within %s", within)
		}
	}
}

func (s *Stage) bounce(n *fleet.Node, down time.Duration) error {
	n.Kill()
	s.Wait(down)
	return n.Start()
}

func (s *Stage) webOdds(odds emulator.Odds) {
	for _, w := range s.Fleet.Webs {
		w.Odds(odds)
	}
}

func (s *Stage) modelOdds(odds emulator.Odds) {
	for _, m := range s.Fleet.Models {
		m.Odds(odds)
	}
}

// zone returns the nodes and servers of a zone.
func (s *Stage) zone(p fleet.Place) (nodes []*fleet.Node, servers []string) {
	for _, n := range s.Fleet.Nodes {
		if n.Place == p {
			nodes = append(nodes, n)
		}
	}
	servers = s.Fleet.Names(func(name string, q fleet.Place) bool { return q == p && s.Fleet.Node(name) == nil })
	return nodes, servers
}

func (s *Stage) region(region string) []string {
	return s.Fleet.Names(func(_ string, p fleet.Place) bool { return p.Region == region })
}

func (s *Stage) crash(server string) {
	if s.Fleet.Model(server) != nil {
		s.Fleet.CrashModel(server)
		return
	}
	s.Fleet.CrashWeb(server)
}

func (s *Stage) back(server string) error {
	if s.Fleet.Model(server) != nil {
		return s.Fleet.ReturnModel(server)
	}
	return s.Fleet.ReturnWeb(server)
}

// final notes that nothing is mended from now on, and waits until service can
// be judged.
func (s *Stage) final(what string) {
	s.Book.Mark(what, true)
	s.Wait(17 * time.Second)
}

// rolling restarts every node in turn; each must leave by itself with code 0.
func (s *Stage) rolling(gap time.Duration) error {
	for _, n := range s.Fleet.Nodes {
		if err := restartGracefully(n); err != nil {
			return err
		}
		if !s.Wait(gap) {
			return nil
		}
	}
	return nil
}

// restartGracefully stops a node, which must leave by itself with code 0, and
// starts it again with its data kept.
func restartGracefully(n *fleet.Node) error {
	if !n.Term(gracefulStopTimeout) {
		return fmt.Errorf("%s did not leave cleanly within %s: exit code %d", n.Name, gracefulStopTimeout, n.ExitCode())
	}
	return n.Start()
}
