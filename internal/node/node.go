// Package node builds one process from its parts and runs them under a supervisor:
// a front, or a core with a front beside it. The parts are owners of their state
// (see the packages below this one) and don't know each other; this package passes
// calls and views between them.
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

// Run runs a process of a role on this machine until the context ends. It then
// drains within the grace period and returns nil.
func Run(ctx context.Context, role string, values *settings.Values, log events.Log) error {
	return RunOnPlatform(ctx, nil, role, values, log)
}

// RunOnPlatform is Run on a platform with interfaces of its own; without one (nil)
// the process opens its own listeners for clients.
func RunOnPlatform(ctx context.Context, platform PlatformAdapter, role string, values *settings.Values, log events.Log) error {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if bind := values.String("bind"); bind != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(bind)}
	}
	source := clock.System()
	if step := values.Duration("clock.step"); step != 0 {
		source = clock.Stepped(source, step)
		log.Emit(events.TestSettingUsed, "setting", "clock.step", "value", step)
	}
	return RunIn(ctx, Environment{
		Clock:      source,
		Listen:     func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		Dial:       dialer.DialContext,
		Platform:   platform,
		DialServer: serverDialer(dialer).DialContext,
	}, role, values, log)
}

// RunIn is Run in a given environment. A core that was replaced by another one
// starts over with an empty data folder.
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

// runOnce runs a process until it ends, or until it is replaced, which returns
// errReplaced. At the fleet's first start a core with an empty disk founds the
// fleet, and doesn't look for a failed core to replace.
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
