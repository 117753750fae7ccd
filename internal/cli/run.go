package cli

import (
	"context"
	"runtime/debug"

	"github.com/go-kit/log"
	"github.com/spf13/cobra"

	"stepwick/internal/events"
	"stepwick/internal/settings"
)

func (a *App) runCommand(role string) *cobra.Command {
	var file string
	short := map[string]string{
		settings.RoleCore:  "Run a core: control on a machine with a disk, and a front beside it",
		settings.RoleFront: "Run a front: it carries traffic and keeps nothing on disk",
	}[role]
	command := &cobra.Command{
		Use:   role,
		Short: short,
		Long: short + `.

Settings come from the file, and flags win over the file; both take the names of
"stepwick settings list". Events are logged to the standard error, one a line.
SIGTERM and SIGINT make the process not ready, let its requests finish within
drain.grace, and end it with exit code 0.`,
		Example:           "  stepwick " + role + " --config " + role + ".yaml\n  stepwick " + role + " --config " + role + ".yaml --log.level debug",
		Args:              cobra.NoArgs,
		ValidArgsFunction: noArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			values, err := settings.LoadRole(file, command.Flags(), role)
			if err != nil {
				return err
			}
			return a.Serve(command.Context(), role, values, a.Node)
		},
	}
	command.Flags().SortFlags = false
	command.Flags().StringVar(&file, "config", "", "the settings file (YAML)")
	_ = command.MarkFlagFilename("config", "yaml", "yml")
	settings.Register(command.Flags())
	return command
}

// provingSettings cause faults on purpose, to prove what the process does then.
var provingSettings = []string{"disk.quota", "disk.sync_delay"}

// Serve runs a process of a role, with a log on the app's standard error. The
// log is written to its end before Serve returns.
func (a *App) Serve(ctx context.Context, role string, values *settings.Values,
	node func(context.Context, string, *settings.Values, events.Log) error) error {
	debug.SetGCPercent(values.Int("memory.gc"))
	if limit := values.Int("memory.limit"); limit > 0 {
		debug.SetMemoryLimit(int64(limit))
	}
	eventLog, closeLog := a.openLog(values)
	defer closeLog()
	for _, name := range provingSettings {
		if row, _ := settings.Lookup(name); values.Source(name) != settings.SourceDefault && values.Text(name) != row.Default {
			eventLog.Emit(events.TestSettingUsed, "setting", name, "value", values.Text(name))
		}
	}
	return node(ctx, role, values, eventLog)
}

// openLog starts the process's log. The function it returns writes what is
// queued and stops the log; the log's context is not that of the process, since
// the process logs how it stops.
func (a *App) openLog(values *settings.Values) (*events.AsyncLog, func()) {
	logger := log.With(log.NewLogfmtLogger(log.NewSyncWriter(a.Err)), "node", values.String("name"))
	eventLog := events.NewAsyncLog(logger, a.Clock)
	eventLog.SetLevel(events.Level(values.String("log.level")))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = eventLog.Serve(ctx) // returns nil always
	}()
	return eventLog, func() {
		cancel()
		<-done
	}
}
