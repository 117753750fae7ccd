package node

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// servesTraffic reports whether the process serves clients' requests.
func (p *process) servesTraffic() bool { return p.identity.Front }

// addTraffic adds the parts that serve clients' requests: the process's own API, or
// on a platform the gateway.
func (p *process) addTraffic(supervisor *suture.Supervisor) {
	if p.environment.Platform == nil {
		supervisor.Add(service{"caller listener", func(ctx context.Context) error {
			return listenerEnd(p.front.Listen(ctx, p.callerListener))
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
			return listenerEnd(p.gateway.Listen(ctx, p.callerListener))
		}})
	}
}

// drain lets running requests finish until the context ends, whose error it then
// returns.
func (p *process) drain(ctx context.Context) error {
	switch {
	case p.gateway == nil:
		return p.front.Drain(ctx)
	case p.servesTraffic():
		return p.gateway.Drain(ctx)
	}
	return nil
}
