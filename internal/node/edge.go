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

// Edge stands between a process and a platform that speaks in its own way. It
// opens the platform's listeners and translates; what is decided is decided by
// the process behind it.
type Edge interface {
	// Dialect names the headers of requests that come by routes.
	Dialect() port.Dialect
	// Servers reads the platform's list of servers.
	Servers(dial func(ctx context.Context, network, address string) (net.Conn, error)) port.ServerSource
	// Serve answers the platform's own calls until the context ends.
	Serve(ctx context.Context, node port.Node, listen func(address string) (net.Listener, error)) error
}

// orderPatience is how long an order that came through an edge is pursued, also
// when its caller has left meanwhile: it is sent again and then known.
const orderPatience = 8 * time.Second

// behindEdge is what an edge may ask of a process.
type behindEdge struct {
	process *process
	orders  *relay
}

// Ready tells whether the process takes traffic by routes.
func (b *behindEdge) Ready() *apierror.Error { return b.process.gateway.Ready() }

// Nearest names the ready fronts of the client's region, or all where it has
// none. A node that may not rule is most likely on the lesser side of a cut that
// clients can reach across: it names the fronts that have fallen silent to it.
func (b *behindEdge) Nearest(region string, most int) []string {
	fronts := b.process.follower.View().Fronts
	if apiErr := b.Ready(); apiErr != nil && apiErr.Code == apierror.NotRuling {
		fronts = b.lost()
	}
	return nearest(fronts, region, most)
}

// lost returns the fronts that are silent without being known to be gone, as
// they were last known.
func (b *behindEdge) lost() []*wire.Process {
	var lost []*wire.Process
	for _, name := range b.process.follower.View().Silent {
		if process, known := b.process.directory.Process(name); known {
			lost = append(lost, process)
		}
	}
	return lost
}

// nearest returns the addresses of the ready fronts of a region, or of all
// where it has none.
func nearest(fronts []*wire.Process, region string, most int) []string {
	var here, all []string
	for _, front := range fronts {
		if !front.Ready || front.Leaving || front.CallerAddress == "" {
			continue
		}
		all = append(all, front.CallerAddress)
		if front.Region == region {
			here = append(here, front.CallerAddress)
		}
	}
	if len(here) == 0 {
		here = all
	}
	rand.Shuffle(len(here), func(i, j int) { here[i], here[j] = here[j], here[i] })
	return here[:min(len(here), most)]
}

// SetSeeds names other seeds than the process was started with.
func (b *behindEdge) SetSeeds(ctx context.Context, seeds []string) {
	b.process.directory.SetSeeds(ctx, seeds)
}

// Order hands an order to a core and pursues it, whether the caller waits or
// not.
func (b *behindEdge) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	type outcome struct {
		resp *wire.OrderResponse
		err  error
	}
	done := make(chan outcome, 1)
	pursued, cancel := context.WithTimeout(context.Background(), orderPatience)
	go func() {
		defer cancel()
		resp, err := b.orders.Order(pursued, req)
		done <- outcome{resp, err}
	}()
	select {
	case got := <-done:
		return got.resp, got.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}
