package faultcase

import (
	"fmt"
	"sync"
	"time"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/fleet"
)

// uncheckedStopTimeout is how long a node may take to stop before it is killed, in
// cases that don't check for a clean exit.
const uncheckedStopTimeout = 12 * time.Second

func (r *Run) randomNode() *fleet.Node {
	return r.Fleet.Nodes[r.Random.IntN(len(r.Fleet.Nodes))]
}

func (r *Run) randomCore() *fleet.Node {
	cores := r.Fleet.Cores()
	return cores[r.Random.IntN(len(cores))]
}

// randomFront returns a node without a disk.
func (r *Run) randomFront() *fleet.Node {
	for {
		if node := r.randomNode(); !node.Core {
			return node
		}
	}
}

func (r *Run) randomModelServer() *emulator.ModelServer {
	return r.Fleet.ModelServers[r.Random.IntN(len(r.Fleet.ModelServers))]
}

func (r *Run) randomWebServer() *emulator.WebServer {
	return r.Fleet.WebServers[r.Random.IntN(len(r.Fleet.WebServers))]
}

// rotatedNodes returns all nodes, rotated by an offset that depends on the number
// and the seed.
func (r *Run) rotatedNodes(number uint64) []*fleet.Node {
	return r.Fleet.NodesStartingAt(int((number*7 + r.Seed*3) % uint64(len(r.Fleet.Nodes))))
}

// runningNodes returns the nodes whose process is running.
func runningNodes(nodes []*fleet.Node) []*fleet.Node {
	var running []*fleet.Node
	for _, node := range nodes {
		if _, runs := node.Running(); runs {
			running = append(running, node)
		}
	}
	return running
}

// zoneMembers returns the nodes, and the names of the servers, of a zone.
func (r *Run) zoneMembers(zone fleet.Location) (nodes []*fleet.Node, servers []string) {
	for _, node := range r.Fleet.Nodes {
		if node.Location == zone {
			nodes = append(nodes, node)
		}
	}
	servers = r.Fleet.NamesWhere(func(name string, location fleet.Location) bool {
		return location == zone && r.Fleet.Node(name) == nil
	})
	return nodes, servers
}

// regionMemberNames returns the names of the nodes and servers of a region.
func (r *Run) regionMemberNames(region string) []string {
	return r.Fleet.NamesWhere(func(_ string, location fleet.Location) bool { return location.Region == region })
}

func startAll(nodes ...*fleet.Node) error {
	for _, node := range nodes {
		if err := node.Start(); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills nodes concurrently and waits until all have exited.
func killAll(nodes []*fleet.Node) {
	var kills sync.WaitGroup
	for _, node := range nodes {
		kills.Go(node.Kill)
	}
	kills.Wait()
}

func (r *Run) killAndRestart(node *fleet.Node, down time.Duration) error {
	node.Kill()
	r.Wait(down)
	return node.Start()
}

// restartInTurn restarts one node after another; each must exit with code 0 on
// SIGTERM.
func (r *Run) restartInTurn(interval time.Duration) error {
	for _, node := range r.Fleet.Nodes {
		if err := restartGracefully(node); err != nil {
			return err
		}
		if !r.Wait(interval) {
			return nil
		}
	}
	return nil
}

// restartGracefully stops a node with SIGTERM, on which it must exit with code 0, and
// starts it again with its data.
func restartGracefully(node *fleet.Node) error {
	if !node.Terminate(gracefulStopTimeout) {
		return fmt.Errorf("%s did not exit cleanly within %s of SIGTERM: exit code %d", node.Name, gracefulStopTimeout, node.ExitCode())
	}
	return node.Start()
}

func (r *Run) setWebFaults(odds emulator.FaultOdds) {
	for _, server := range r.Fleet.WebServers {
		server.SetFaultOdds(odds)
	}
}

func (r *Run) setModelFaults(odds emulator.FaultOdds) {
	for _, server := range r.Fleet.ModelServers {
		server.SetFaultOdds(odds)
	}
}

func (r *Run) crashServer(name string) {
	if r.Fleet.ModelServer(name) != nil {
		r.Fleet.CrashModelServer(name)
		return
	}
	r.Fleet.CrashWebServer(name)
}

func (r *Run) restartServer(name string) error {
	if r.Fleet.ModelServer(name) != nil {
		return r.Fleet.RestartModelServer(name)
	}
	return r.Fleet.RestartWebServer(name)
}
