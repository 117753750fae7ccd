// Package cli has the commands of the stepwick program, one file a command.
//
// Commands that run a process load its settings and its log and hand over to
// App.Node. Operators' commands call the HTTP API of package controlapi at any
// node (see fleetClient) and print the answer as a table or as JSON. A command
// decides nothing about the fleet; it retries only what the result code's advice
// allows, and an order only under the same id. Results go to App.Out, errors and
// progress to App.Err; the exit codes are those of Exit.
package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/settings"
)

// Version is the release, set when the program is linked.
var Version = "dev"

// App is the program's command line with all of the system that it uses, so
// that tests can replace each part.
type App struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Env returns an environment variable; empty if it isn't set.
	Env   func(name string) string
	Clock clock.Clock
	// NewID returns a random id of an order, or half of a key.
	NewID     func() string
	Transport http.RoundTripper
	// Node runs a process of a role until its context ends.
	Node func(ctx context.Context, role string, values *settings.Values, log events.Log) error
	// Processes are further commands that run a process.
	Processes []*cobra.Command
}

// New returns an app with the process's own input, output, environment and
// clock.
func New(node func(context.Context, string, *settings.Values, events.Log) error) *App {
	return &App{
		In:        os.Stdin,
		Out:       os.Stdout,
		Err:       os.Stderr,
		Env:       os.Getenv,
		Clock:     clock.System(),
		NewID:     randomID,
		Transport: newTransport(),
		Node:      node,
	}
}

func randomID() string {
	const idBytes = 12
	var id [idBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Main runs one command line and returns the exit code; see Exit.
func (a *App) Main(ctx context.Context, args []string) int {
	root := a.root()
	root.SetArgs(args)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	var apiErr *apierror.Error
	if !errors.As(err, &apiErr) {
		a.printErrorf("stepwick: %s\n", err)
		return ExitUsage
	}
	text := " " + detailOrHelp(apiErr)
	if strings.Contains(text, "\n") {
		text = "\n  " + strings.ReplaceAll(detailOrHelp(apiErr), "\n", "\n  ")
	}
	a.printErrorf("stepwick: %s (%d):%s\n", apiErr.Code, apiErr.Code, text)
	return Exit(apiErr.Code)
}

// detailOrHelp returns an error's detail, or the meaning of its code.
func detailOrHelp(apiErr *apierror.Error) string {
	if apiErr.Detail == "" {
		return apiErr.Code.Info().Help
	}
	return apiErr.Detail
}

// root returns the command line with all commands, in groups.
func (a *App) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "stepwick",
		Short: "Serve language models across regions while traffic moves",
		Long: `stepwick carries model traffic across regions, and moves it step by step.

Node processes are started with "stepwick core" (on a machine with a disk) and
"stepwick front". All other commands are an operator's: they ask any node of the
fleet, named by --node or STEPWICK_NODE, with the operator's key from
STEPWICK_OPERATOR_KEY or --key-file.`,
		Example: `  export STEPWICK_NODE=127.0.9.1:8080,127.0.9.2:8080 STEPWICK_OPERATOR_KEY=...
  stepwick status
  stepwick sheet patch --set weights.chat.lagos=30 --set weights.chat.abeokuta=70
  stepwick locality evacuate lagos/a`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetIn(a.In)
	root.SetOut(a.Out)
	root.SetErr(a.Err)
	root.CompletionOptions.HiddenDefaultCmd = false
	root.AddGroup(&cobra.Group{ID: "run", Title: "Processes:"}, &cobra.Group{ID: "operate", Title: "Operators:"},
		&cobra.Group{ID: "look", Title: "Looking things up:"})
	add := func(group string, commands ...*cobra.Command) {
		for _, command := range commands {
			command.GroupID = group
			root.AddCommand(command)
		}
	}
	add("run", a.runCommand(settings.RoleCore), a.runCommand(settings.RoleFront))
	add("run", a.Processes...)
	add("operate", a.sheetCommand(), a.localityCommand(), a.memberCommand(), a.statusCommand(), a.planCommand(), a.tallyCommand(), a.explainCommand(), a.keyCommand())
	add("look", a.dataCommand(), a.settingsCommand(), a.codesCommand(), a.eventsCommand(), a.versionCommand())
	root.SetHelpCommandGroupID("look")
	root.SetCompletionCommandGroupID("look")
	root.AddCommand(a.docsCommand())
	return root
}

// noArgs is the shell completion of a command without arguments that could be
// completed.
func noArgs(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return nil, cobra.ShellCompDirectiveNoFileComp
}
