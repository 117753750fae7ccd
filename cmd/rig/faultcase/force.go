package faultcase

import (
	"context"
	"fmt"
	"time"
)

// force cuts a group off for most of the run while the others change keys.
func force(s *Stage, group []string) error {
	began := s.Book.Now()
	end := s.beside(func(ctx context.Context) { s.changing(ctx, 700*time.Millisecond, nil) })
	s.Wait(3 * time.Second)
	s.Cut(group, s.Others(group))
	s.Wait(max(20*time.Second, time.Duration(s.Seconds-12)*time.Second))
	if err := s.acknowledged(fmt.Sprintf("%v was cut off", group), 10*time.Second); err != nil && !s.majorityCut(group) {
		return err
	}
	s.Heal()
	s.rest(began)
	s.Wait(3 * time.Second)
	end()
	return s.dayEnd(20 * time.Second)
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
	nodes, _ := s.zone(s.node().Location)
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
	end := s.beside(func(ctx context.Context) { s.changing(ctx, 500*time.Millisecond, nil) })
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
		s.Wait(4 * time.Second)
		s.Heal()
		s.Wait(2 * time.Second)
	}
	s.Wait(2 * time.Second)
	end()
	return s.dayEnd(20 * time.Second)
}
