package faultcase

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
)

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
	s.Wait(8 * time.Second)
	killHalf(s)
	s.final("four of nine nodes killed at once")
	return nil
}

func finalCores(s *Stage) error {
	s.Wait(8 * time.Second)
	kill(s.Fleet.Cores()[:2])
	s.final("two of three cores killed")
	return nil
}

func finalAllCores(s *Stage) error {
	s.Wait(8 * time.Second)
	kill(s.Fleet.Cores())
	s.final("all cores killed")
	return nil
}

func finalZone(s *Stage) error {
	s.Wait(8 * time.Second)
	nodes, servers := s.zone(fleet.Location{Region: "lagos", Zone: "a"})
	kill(nodes)
	for _, name := range servers {
		s.crash(name)
	}
	s.final("zone lagos/a gone")
	return nil
}

func finalRegion(s *Stage) error {
	s.Wait(8 * time.Second)
	s.Cut(s.region("abeokuta"), s.region("lagos"))
	s.final("regions cut off from each other")
	return nil
}

func rollingRestart(s *Stage) error {
	if err := s.rolling(3 * time.Second); err != nil {
		return err
	}
	l := s.Book.Snapshot()
	if cut := cutStreams(&l); cut > 0 {
		return errors.Errorf("%d streams were cut although every node left by itself", cut)
	}
	return nil
}

func finalRolling(s *Stage) error {
	if err := s.rolling(2 * time.Second); err != nil {
		return err
	}
	s.Wait(7 * time.Second)
	killHalf(s)
	s.final("four of nine nodes killed after a rolling restart")
	return nil
}
