// Package node builds a process from its services and runs them under a supervisor.
// The process is a front or a core; a core can also be a front. Each service owns its
// state (see the subpackages). Front and gateway depend on the follower; otherwise the
// services are independent of each other, and this package connects them.
package node

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/settings"
)

// Roles of a process.
const (
	RoleFront = "front"
	RoleCore  = "core"
)

const dialTimeout = 2 * time.Second

// Run runs a process with the given role on this machine until the context ends. It
// then drains for at most the grace period and returns nil.
func Run(ctx context.Context, role string, values *settings.Values, log events.Log) error {
	return RunOnPlatform(ctx, nil, role, values, log)
}

// RunOnPlatform is like Run, but serves clients through a platform adapter. If the
// adapter is nil, the process serves its own client API.
func RunOnPlatform(ctx context.Context, platform PlatformAdapter, role string, values *settings.Values, log events.Log) error {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if bind := values.String("bind"); bind != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(bind)}
	}
	baseClock := clock.System()
	if step := values.Duration("clock.step"); step != 0 {
		baseClock = clock.Stepped(baseClock, step)
		log.Emit(events.TestSettingUsed, "setting", "clock.step", "value", step)
	}
	return RunIn(ctx, Environment{
		Clock:      baseClock,
		Listen:     func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:       dialer.DialContext,
		Platform:   platform,
		DialServer: serverDialer(dialer).DialContext,
	}, role, values, log)
}

// RunIn is like Run, but in the given environment. A core whose name another core has
// taken over is restarted with an empty data folder.
func RunIn(ctx context.Context, environment Environment, role string, values *settings.Values, log events.Log) error {
	isFirstStart := values.Bool("core.first")
	for {
		err := runOnce(ctx, environment, role, isFirstStart, values, log)
		if !errors.Is(err, errReplaced) {
			return err
		}
		if err := emptyFolder(values.String("data")); err != nil {
			return err
		}
		isFirstStart = false
	}
}

// runOnce runs a process until the context ends, or until another core has taken over
// its name; it then returns errReplaced. On the first start of the fleet, a core with
// an empty disk founds the fleet and does not search for a failed core to replace.
func runOnce(ctx context.Context, environment Environment, role string, isFirstStart bool, values *settings.Values, log events.Log) error {
	name := values.String("name")
	if role == RoleCore && values.Bool("core.join") && !isFirstStart {
		var err error
		name, err = chooseCoreName(ctx, environment, values, log)
		if err != nil && ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
	}
	process, err := build(environment, role, name, values, log)
	if err != nil {
		return err
	}
	return process.run(ctx)
}
