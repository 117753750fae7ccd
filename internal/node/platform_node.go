package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// PlatformAdapter connects a process to a platform with interfaces of its own: it
// opens the platform's listeners and translates. It decides nothing; the process
// does.
type PlatformAdapter interface {
	// Dialect returns the translation of the headers of requests by routes.
	Dialect() port.Dialect
	// Servers returns the source of the platform's list of servers.
	Servers(dial func(ctx context.Context, network, address string) (net.Conn, error)) port.ServerSource
	// Serve serves the platform's own calls until the context ends.
	Serve(ctx context.Context, node port.Node, listen func(address string) (net.Listener, error)) error
}

// platformOrderTimeout is how long an order that came through a platform is
// forwarded, also after its caller has left: an order that the caller sends again is
// then already known by its id.
const platformOrderTimeout = 8 * time.Second

// platformNode is the part of a process that a platform's adapter uses.
type platformNode struct {
	process *process
	orders  *orderForwarder
}

// Ready returns nil where the process takes requests by routes, and else why not.
func (n *platformNode) Ready() *apierror.Error { return n.process.gateway.Ready() }

// Nearest returns the addresses of ready fronts of a client's region, or of all
// where it has none. A process without authority is most likely in the minority of a
// partition that its clients can reach across: it returns the fronts that are
// unresponsive to it.
func (n *platformNode) Nearest(region string, most int) []string {
	fronts := n.process.follower.View().Fronts
	if apiErr := n.Ready(); apiErr != nil && apiErr.Code == apierror.NotRuling {
		fronts = n.unresponsiveFronts()
	}
	return nearestAddresses(fronts, region, most)
}

// unresponsiveFronts returns the last records of the fronts that are unresponsive
// without being known to have left.
func (n *platformNode) unresponsiveFronts() []*wire.Process {
	var fronts []*wire.Process
	for _, name := range n.process.follower.View().Unresponsive {
		if process, known := n.process.directory.Process(name); known {
			fronts = append(fronts, process)
		}
	}
	return fronts
}

// nearestAddresses returns the addresses of at most so many ready fronts of a region
// in random order, or of any region where it has none.
func nearestAddresses(fronts []*wire.Process, region string, most int) []string {
	var inRegion, all []string
	for _, front := range fronts {
		if !front.Ready || front.Leaving || front.CallerAddress == "" {
			continue
		}
		all = append(all, front.CallerAddress)
		if front.Region == region {
			inRegion = append(inRegion, front.CallerAddress)
		}
	}
	addresses := inRegion
	if len(addresses) == 0 {
		addresses = all
	}
	rand.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(len(addresses), most)]
}

// SetSeeds replaces the seeds with which the process was started.
func (n *platformNode) SetSeeds(ctx context.Context, seeds []string) {
	n.process.directory.SetSeeds(ctx, seeds)
}

// Order forwards an order to a core, and goes on doing so when the caller's context
// ends, whose error it then returns.
func (n *platformNode) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	type result struct {
		resp *wire.OrderResponse
		err  error
	}
	done := make(chan result, 1)
	forwardCtx, cancel := context.WithTimeout(context.Background(), platformOrderTimeout)
	go func() {
		defer cancel()
		resp, err := n.orders.Order(forwardCtx, req)
		done <- result{resp, err}
	}()
	select {
	case forwarded := <-done:
		return forwarded.resp, forwarded.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
