package cli

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"stepwick/internal/events"
	"stepwick/internal/settings"
	"stepwick/internal/signals"
)

func (a *App) runCommand(role string) *cobra.Command {
	var file string
	short := map[string]string{
		settings.RoleCore:  "Run a core: the control plane, on a machine with a disk, together with a front",
		settings.RoleFront: "Run a front: it routes traffic and stores nothing on disk",
	}[role]
	command := &cobra.Command{
		Use:   role,
		Short: short,
		Long: short + `.

Settings are read from the file and from flags, which take precedence. Both use the
names that "stepwick settings list" shows. Events are logged to standard error,
one per line. On SIGTERM or SIGINT, the process reports that it is not ready, lets
requests finish within drain.grace, and exits with code 0. Further ones of these signals
do not end it sooner; SIGKILL does.`,
		Example:           "  stepwick " + role + " --config " + role + ".yaml\n  stepwick " + role + " --config " + role + ".yaml --log.level debug",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(command *cobra.Command, _ []string) error {
			values, err := settings.LoadRole(file, command.Flags(), role)
			if err != nil {
				return err
			}
			return a.Serve(command.Context(), role, values, a.RunNode)
		},
	}
	command.Flags().SortFlags = false
	command.Flags().StringVar(&file, "config", "", "the settings file (YAML)")
	_ = command.MarkFlagFilename("config", "yaml", "yml")
	settings.Register(command.Flags())
	return command
}

// faultInjectionSettings are the settings that inject faults for tests. Their use is
// logged.
var faultInjectionSettings = []string{"disk.quota", "disk.sync_delay"}

// Serve runs a process in a role, with a log on App.Err. All queued log lines are
// written before Serve returns.
func (a *App) Serve(ctx context.Context, role string, values *settings.Values,
	runNode func(context.Context, string, *settings.Values, events.Log) error) error {
	debug.SetGCPercent(values.Int("memory.gc"))
	if limit := values.Int("memory.limit"); limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
	eventLog, closeLog := a.openLog(values)
	defer closeLog()
	served, stopLogging := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLogging()
	go logRepeatedSignals(served, signals.Repeated(), eventLog)
	for _, name := range faultInjectionSettings {
		if row, _ := settings.Lookup(name); values.Source(name) != settings.SourceDefault && values.Text(name) != row.Default {
			eventLog.Emit(events.TestSettingUsed, "setting", name, "value", values.Text(name))
		}
	}
	return runNode(ctx, role, values, eventLog)
}

// logRepeatedSignals logs each signal after the first, which begins the shutdown, until the
// context ends.
func logRepeatedSignals(ctx context.Context, received <-chan os.Signal, eventLog events.Log) {
	for isFirst := true; ; isFirst = false {
		select {
		case repeated := <-received:
			if !isFirst {
				eventLog.Emit(events.SignalRepeated, "signal", repeated.String())
			}
		case <-ctx.Done():
			return
		}
	}
}

// openLog starts the log of the process. The returned function writes the queued
// lines and stops the log. The log does not use the context of the process, since
// the process still logs while it shuts down.
func (a *App) openLog(values *settings.Values) (*events.AsyncLog, func()) {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(a.Err)), "node", values.String("name"))
	eventLog := events.NewAsyncLog(logger, a.Clock)
	eventLog.SetLevel(events.Level(values.String("log.level")))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = eventLog.Serve(ctx) // always returns nil
	}()
	return eventLog, func() {
		cancel()
		<-done
	}
}
