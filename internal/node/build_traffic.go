package node

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/adapter/controlapi"
	"stepwick/internal/adapter/upstream"
	"stepwick/internal/decision/balance"
	"stepwick/internal/decision/route"
	"stepwick/internal/node/front"
	"stepwick/internal/node/gateway"
	"stepwick/internal/settings"
)

// newFront returns the front, which serves the client API and the control API.
func (p *process) newFront(inspector *inspector, registry *prometheus.Registry) (*front.Front, error) {
	return front.New(front.Config{
		Standing:      p.standingFunc(),
		Name:          p.identity.Name,
		Address:       p.identity.CallerAddress,
		Region:        p.identity.Region,
		Zone:          p.identity.Zone,
		Limits:        p.clientLimits(),
		Backend:       backend.Config{Bind: p.values.String("bind"), Dial: p.environment.Dial},
		OneShotTokens: p.values.Float("plain_tokens"),
		Route: route.Config{
			Strategy:    route.Strategy(p.values.String("route.strategy")),
			MaxQueued:   p.values.Int("route.pending"),
			Policy:      p.planPolicy(),
			RetryBudget: p.values.Float("retry.budget"),
		},
		ReadRuntimeSettings: p.runtimeSettings,
		Control:             p.newControlAPI(inspector),
		Metrics:             promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}, p.follower, p.quota, p.clock, p.log, registry)
}

// standingFunc returns a function that returns the current standing of this core, or
// nil if the process is not a core.
func (p *process) standingFunc() func() string {
	if p.replica == nil {
		return nil
	}
	return func() string { return standingName(p.replica.Standing()) }
}

func (p *process) clientLimits() clientapi.Limits {
	return clientapi.Limits{
		MaxBodyBytes:    int64(p.values.Int("body.max")),
		MaxHeaderBytes:  p.values.Int("header.max"),
		BodyTimeout:     p.values.Duration("body.timeout"),
		HeaderTimeout:   p.values.Duration("body.timeout"),
		MaxDeadline:     p.values.Duration("deadline.max"),
		DefaultDeadline: p.values.Duration("deadline.default"),
	}
}

// newControlAPI returns the control API, which serves operators.
func (p *process) newControlAPI(inspector *inspector) *controlapi.API {
	return controlapi.New(controlapi.Config{
		Operators:       p.values.Strings("operator.keys"),
		MaxSheetBytes:   int64(p.values.Int("sheet.max")),
		BodyTimeout:     p.values.Duration("body.timeout"),
		NodeName:        p.identity.Name,
		ValidateSetting: settings.ValidateRuntime,
	}, p.orders, inspector, p.clock, p.log)
}

// runtimeSettings returns the front's run-time settings. Those in the sheet override
// those in the settings file.
func (p *process) runtimeSettings(sheetSettings map[string]string) front.RuntimeSettings {
	values := p.values.WithRuntime(sheetSettings)
	return front.RuntimeSettings{
		DeadlineMax:     values.Duration("deadline.max"),
		DeadlineDefault: values.Duration("deadline.default"),
		Route: &route.RuntimeConfig{
			Strategy:     route.Strategy(values.String("route.strategy")),
			MaxQueued:    values.Int("route.pending"),
			SlowStartCap: values.Int("route.ramp_start"),
			RetryBudget:  values.Float("retry.budget"),
		},
	}
}

// newGateway returns the gateway, which serves requests by routes on a platform.
func (p *process) newGateway(registry *prometheus.Registry) (*gateway.Gateway, error) {
	disabled, err := balance.ParseDisabled(p.values.Strings("balance.off"))
	if err != nil {
		return nil, err
	}
	return gateway.New(gateway.Config{
		Balance: balance.Config{
			Self:             p.identity.Name,
			Region:           p.identity.Region,
			Zone:             p.identity.Zone,
			RetryRatio:       p.values.Float("retry.budget"),
			RetryWindow:      p.values.Duration("retry.window"),
			RetrySlack:       p.values.Float("retry.slack"),
			SlowStartOverage: p.values.Float("cold.overage"),
			SlowStartSlack:   p.values.Float("cold.slack"),
			Disabled:         disabled,
		},
		Upstream: upstream.Config{
			Dial:           p.environment.serverDial(),
			ConnectTimeout: p.values.Duration("connect.timeout"),
		},
		MaxBodyBytes:   int64(p.values.Int("body.max")),
		MaxHeaderBytes: p.values.Int("header.max"),
		HeaderTimeout:  p.values.Duration("body.timeout"),
		BodyTimeout:    p.values.Duration("body.timeout"),
		MaxConnections: p.values.Int("listen.connections"),
		DefaultTokens:  p.values.Float("plain_tokens"),
		MaxDeadline:    p.values.Duration("deadline.max"),
		Quota: gateway.QuotaPolicy{
			Fraction:       p.values.Float("tally.part"),
			ReservePerStep: p.values.Float("tally.reserve"),
		},
		// A closure, because the checker is built after the gateway.
		Observe: func(ctx context.Context, server string, reachable bool) {
			p.checker.Observe(ctx, server, reachable)
		},
	}, p.environment.Platform.Dialect(), p.follower, p.quota, p.clock, p.log, registry)
}
