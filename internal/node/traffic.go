package node

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// servesTraffic reports whether the process serves client requests.
func (p *process) servesTraffic() bool { return p.identity.Front }

// addTrafficServices adds the services that serve client requests: the front with its
// own API or, on a platform, the adapter and the gateway.
func (p *process) addTrafficServices(supervisor *suture.Supervisor) {
	if p.environment.Platform == nil {
		supervisor.Add(service{"caller listener", func(ctx context.Context) error {
			return listenerExitError(p.front.Listen(ctx, p.callerListener))
		}})
		supervisor.Add(service{"front", p.front.Serve})
		return
	}
	node := &platformNode{process: p, orders: p.orders}
	supervisor.Add(service{"edge", func(ctx context.Context) error {
		return p.environment.Platform.Serve(ctx, node, p.environment.Listen)
	}})
	supervisor.Add(service{"gateway", p.gateway.Serve})
	if p.callerListener != nil {
		supervisor.Add(service{"caller listener", func(ctx context.Context) error {
			return listenerExitError(p.gateway.Listen(ctx, p.callerListener))
		}})
	}
}

// drain waits until running requests and then the orders in flight have finished. It
// returns the context's error if the context ends first.
func (p *process) drain(ctx context.Context) error {
	trafficErr := p.drainTraffic(ctx)
	if ordersErr := p.orders.drain.wait(ctx); ordersErr != nil {
		return ordersErr
	}
	return trafficErr
}

func (p *process) drainTraffic(ctx context.Context) error {
	switch {
	case p.gateway == nil:
		return p.front.Drain(ctx)
	case p.servesTraffic():
		return p.gateway.Drain(ctx)
	}
	return nil
}
