package faultcase

import (
	"context"
	"fmt"
	"time"
)

const (
	partitionChangeInterval = 700 * time.Millisecond
	freezeChangeInterval    = 500 * time.Millisecond
	minPartitionTime        = 20 * time.Second
	partitionMargin         = 12 * time.Second // length of a case minus that of its partition
)

// partitionDuringChanges partitions a group of nodes from the others for most of the case
// while the operators revoke keys.
func partitionDuringChanges(r *Run, group []string) error {
	start := r.Recorder.Now()
	stopChanges := r.runInBackground(func(ctx context.Context) { r.submitChanges(ctx, partitionChangeInterval, nil) })
	r.Wait(3 * time.Second)
	r.isolate(group...)
	r.Wait(max(minPartitionTime, time.Duration(r.Seconds)*time.Second-partitionMargin))
	err := r.checkAcknowledged(fmt.Sprintf("%v was partitioned from the other nodes", group), 10*time.Second)
	if err != nil && !r.neitherSideCommits(group) {
		return err
	}
	r.Heal()
	r.waitUntilEnd(start)
	r.Wait(3 * time.Second)
	stopChanges()
	return r.readBack(readBackTimeout)
}

// neitherSideCommits reports whether neither side of a partition has a majority of
// both the cores and the nodes, so that no order can be acknowledged.
func (r *Run) neitherSideCommits(group []string) bool {
	cores := 0
	for _, name := range group {
		if r.Fleet.Node(name).Core {
			cores++
		}
	}
	hasMostCores := 2*cores > len(r.Fleet.Cores())
	hasMostNodes := 2*len(group) > len(r.Fleet.Nodes)
	return hasMostCores != hasMostNodes
}

func partitionNode(r *Run) error { return partitionDuringChanges(r, []string{r.randomFront().Name}) }

func partitionCore(r *Run) error { return partitionDuringChanges(r, []string{r.randomCore().Name}) }

func partitionZone(r *Run) error {
	nodes, _ := r.zoneMembers(r.randomNode().Location)
	var names []string
	for _, node := range nodes {
		names = append(names, node.Name)
	}
	return partitionDuringChanges(r, names)
}

func partitionTwoCores(r *Run) error {
	cores := r.Fleet.Cores()
	return partitionDuringChanges(r, []string{
		cores[0].Name,
		cores[1].Name,
		r.Fleet.Nodes[3].Name,
		r.Fleet.Nodes[4].Name,
	})
}

// freezeDuringChanges freezes and resumes nodes, and restarts others in a partition,
// while the operators revoke keys.
func freezeDuringChanges(r *Run) error {
	start := r.Recorder.Now()
	stopChanges := r.runInBackground(func(ctx context.Context) { r.submitChanges(ctx, freezeChangeInterval, nil) })
	for r.hasTimeLeft(start) {
		frozen := r.randomNode()
		isolated := r.randomFront()
		frozen.Freeze()
		r.Wait(seconds(3 + r.Random.Float64()*4))
		frozen.Thaw()
		isolated.Kill()
		r.isolate(isolated.Name)
		if err := isolated.Start(); err != nil {
			return err
		}
		r.Wait(4 * time.Second)
		r.Heal()
		r.Wait(2 * time.Second)
	}
	r.Wait(2 * time.Second)
	stopChanges()
	return r.readBack(readBackTimeout)
}
