package node

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// PlatformAdapter connects a process to a platform that has its own interfaces. It
// opens the platform's listeners and translates between the interfaces, but makes no
// decisions.
type PlatformAdapter interface {
	// Dialect returns the translation of the headers of requests and responses.
	Dialect() port.Dialect
	// Servers returns the source of the platform's server list.
	Servers(dial func(ctx context.Context, network, address string) (net.Conn, error)) port.ServerSource
	// Serve serves the platform's calls to the node until the context ends.
	Serve(ctx context.Context, node port.Node, listen func(address string) (net.Listener, error)) error
}

// platformOrderTimeout bounds the forwarding of an order received through a platform.
// Forwarding continues after the caller has disconnected. If the caller resends the
// order, the cores then recognize its id.
const platformOrderTimeout = 8 * time.Second

// platformNode implements port.Node for a platform's adapter.
type platformNode struct {
	process *process
	orders  *orderForwarder
}

// Ready returns nil if the process accepts requests by routes, and otherwise the reason
// why it does not.
func (n *platformNode) Ready() *apierror.Error { return n.process.gateway.Ready() }

// NearestFronts returns the addresses of at most limit ready fronts in a client's region, or
// in any region if it has none. A process without authority is probably on the
// minority side of a network partition that does not affect its clients, so it returns
// the fronts that do not respond to it.
func (n *platformNode) NearestFronts(region string, limit int) []string {
	fronts := n.process.follower.View().Fronts
	if apiErr := n.Ready(); apiErr != nil && apiErr.Code == apierror.NoAuthority {
		fronts = n.unresponsiveFronts()
	}
	return nearestAddresses(fronts, region, limit)
}

// unresponsiveFronts returns the last known records of the fronts that neither respond nor
// refuse connections and are not known to have left.
func (n *platformNode) unresponsiveFronts() []*wire.Process {
	var fronts []*wire.Process
	view := n.process.follower.View()
	for _, name := range view.Unresponsive {
		if slices.Contains(view.Refusing, name) {
			continue
		}
		if process, isKnown := n.process.directory.Process(name); isKnown {
			fronts = append(fronts, process)
		}
	}
	return fronts
}

// nearestAddresses returns, in random order, the addresses of at most limit ready
// fronts in a region, or in any region if it has none.
func nearestAddresses(fronts []*wire.Process, region string, limit int) []string {
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
	return addresses[:min(len(addresses), limit)]
}

// SetSeeds replaces the configured seeds.
func (n *platformNode) SetSeeds(ctx context.Context, seeds []string) {
	n.process.directory.SetSeeds(ctx, seeds)
}

// Order forwards an order to the cores. If ctx ends first, it returns the context's
// error and forwarding continues in the background; see platformOrderTimeout.
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
