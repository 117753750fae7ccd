// Package cli implements the commands of the stepwick program.
//
// Commands that run a process load its settings, start its log and call
// App.RunNode. Operators' commands call the HTTP API of package controlapi at any
// node (see fleetClient) and print the response as a table or as JSON. A command
// makes no decisions for the fleet. It retries a call only if the retry advice of
// the result code allows that, and sends an order again only with the same id.
// Results are written to App.Out, errors and progress to App.Err. Exit returns the
// exit codes.
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

// Version is the release. The linker sets it.
var Version = "dev"

// App is the command line of the program, with its dependencies on the operating
// system as fields that tests can replace.
type App struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
	// Env returns the value of an environment variable, or "" if it is not set.
	Env   func(name string) string
	Clock clock.Clock
	// NewID returns a random hexadecimal id. Orders have one; a key consists of two.
	NewID     func() string
	Transport http.RoundTripper
	// RunNode runs a node process in a role (core or front) until ctx is done.
	RunNode func(ctx context.Context, role string, values *settings.Values, log events.Log) error
	// ProcessCommands are additional commands that run a process.
	ProcessCommands []*cobra.Command
}

// New returns an App that uses the standard input and output, environment and
// clock of this process.
func New(runNode func(context.Context, string, *settings.Values, events.Log) error) *App {
	return &App{
		In:        os.Stdin,
		Out:       os.Stdout,
		Err:       os.Stderr,
		Env:       os.Getenv,
		Clock:     clock.System(),
		NewID:     randomID,
		Transport: newTransport(),
		RunNode:   runNode,
	}
}

func randomID() string {
	const idBytes = 12
	var id [idBytes]byte
	_, _ = rand.Read(id[:])
	return hex.EncodeToString(id[:])
}

// Main runs the command that args specify and returns the exit code; see Exit.
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
	return ExitCode(apiErr.Code)
}

// detailOrHelp returns the detail of an error, or the help text of its code if
// there is no detail.
func detailOrHelp(apiErr *apierror.Error) string {
	if apiErr.Detail == "" {
		return apiErr.Code.Info().Help
	}
	return apiErr.Detail
}

// root returns the root command with all subcommands, in groups.
func (a *App) root() *cobra.Command {
	root := &cobra.Command{
		Use:   "stepwick",
		Short: "Route requests for language models across regions",
		Long: `stepwick routes requests for language models across regions and shifts traffic
between the regions step by step.

"stepwick core" (on a machine with a disk) and "stepwick front" start node
processes. Operators' commands call any node of the fleet. Its address is set by
--node or STEPWICK_NODE, the operator's key by --key-file or
STEPWICK_OPERATOR_KEY.`,
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
	root.AddGroup(&cobra.Group{ID: "run", Title: "Processes:"}, &cobra.Group{ID: "operate", Title: "Operator commands:"},
		&cobra.Group{ID: "reference", Title: "Reference:"})
	addCommands := func(group string, commands ...*cobra.Command) {
		for _, command := range commands {
			command.GroupID = group
			root.AddCommand(command)
		}
	}
	addCommands("run", a.runCommand(settings.RoleCore), a.runCommand(settings.RoleFront))
	addCommands("run", a.ProcessCommands...)
	addCommands("operate", a.sheetCommand(), a.localityCommand(), a.memberCommand(), a.statusCommand(), a.planCommand(), a.tallyCommand(), a.explainCommand(), a.keyCommand())
	addCommands("reference", a.dataCommand(), a.settingsCommand(), a.codesCommand(), a.eventsCommand(), a.versionCommand())
	root.SetHelpCommandGroupID("reference")
	root.SetCompletionCommandGroupID("reference")
	root.AddCommand(a.docsCommand())
	return root
}

// completeNothing is the completion function of commands whose arguments a shell
// can't complete; in particular, it suppresses the completion of file names.
func completeNothing(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return nil, cobra.ShellCompDirectiveNoFileComp
}
