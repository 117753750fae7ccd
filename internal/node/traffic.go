package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/thejerf/suture/v4"

	"stepwick/internal/adapter/platform"
	"stepwick/internal/adapter/upstream"
	"stepwick/internal/decision/balance"
	"stepwick/internal/node/gateway"
	"stepwick/internal/port"
)

// carries tells whether the process carries traffic.
func (p *process) carries() bool { return p.base.Front }

func (p *process) servers(world World) port.ServerSource {
	if world.Edge != nil {
		return world.Edge.Servers(world.Dial)
	}
	return platform.New(platform.Config{URL: p.values.String("platform.url"), Dial: world.Dial})
}

func (p *process) buildGateway(world World, registry *prometheus.Registry) error {
	if world.Edge == nil {
		return nil
	}
	off, err := balance.ParseDisabled(p.values.Strings("balance.off"))
	if err != nil {
		return err
	}
	p.gateway, err = gateway.New(gateway.Config{
		Balance: balance.Config{
			Self: p.base.Name, Region: p.base.Region, Zone: p.base.Zone,
			RetryRatio: p.values.Float("retry.budget"), RetryWindow: p.values.Duration("retry.window"), RetrySlack: p.values.Float("retry.slack"),
			SlowStartOverage: p.values.Float("cold.overage"), SlowStartSlack: p.values.Float("cold.slack"),
			Disabled: off,
		},
		Upstream: upstream.Config{Dial: world.serverDial(), ConnectTimeout: p.values.Duration("connect.timeout")},
		MaxBodyBytes:  int64(p.values.Int("body.max")), MaxHeaderBytes: p.values.Int("header.max"),
		HeaderTimeout: p.values.Duration("body.timeout"), BodyTimeout: p.values.Duration("body.timeout"),
		MaxConnections: p.values.Int("listen.connections"),
		DefaultTokens: p.values.Float("plain_tokens"), MaxDeadline: p.values.Duration("deadline.max"),
		Quota:   gateway.QuotaPolicy{Fraction: p.values.Float("tally.part"), ReservePerStep: p.values.Float("tally.reserve")},
		Observe: func(ctx context.Context, server string, reachable bool) { p.watcher.Observe(ctx, server, reachable) },
	}, world.Edge.Dialect(), p.follower, p.spend, p.clock, p.log, registry)
	return err
}

// wasReplaced notes that another process holds this core's place.
func (p *process) wasReplaced() {
	select {
	case p.replaced <- struct{}{}:
	default:
	}
}

// addTraffic adds the parts that carry traffic: the process's own API, or what
// comes through an edge.
func (p *process) addTraffic(supervisor *suture.Supervisor) {
	if p.edge == nil {
		supervisor.Add(service{"caller listener", func(ctx context.Context) error { return ended(p.front.Listen(ctx, p.caller)) }})
		supervisor.Add(service{"front", p.front.Serve})
		return
	}
	behind := &behindEdge{process: p, orders: p.orders}
	supervisor.Add(service{"edge", func(ctx context.Context) error { return p.edge.Serve(ctx, behind, p.listen) }})
	supervisor.Add(service{"gateway", p.gateway.Serve})
	if p.caller != nil {
		supervisor.Add(service{"caller listener", func(ctx context.Context) error { return ended(p.gateway.Listen(ctx, p.caller)) }})
	}
}

// drain lets running requests finish until the context ends.
func (p *process) drain(ctx context.Context) error {
	switch {
	case p.gateway == nil:
		return p.front.Drain(ctx)
	case p.carries():
		return p.gateway.Drain(ctx)
	}
	return nil
}
