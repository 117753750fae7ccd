// Package cli holds the commands of the stepwick program, one file a command.
package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
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

// App is the program's command line with all that it touches, so that tests
// can stand in for each.
type App struct {
	In        io.Reader
	Out       io.Writer
	Err       io.Writer
	Env       func(name string) string
	Clock     clock.Clock
	NewID     func() string
	Transport http.RoundTripper
	// Node runs a process of a role until its context ends.
	Node func(ctx context.Context, role string, values *settings.Values, log events.Log) error
	// Processes are further commands that run a process.
	Processes []*cobra.Command
}

// New returns an app on the machine's own input, output, environment and clock.
func New(node func(context.Context, string, *settings.Values, events.Log) error) *App {
	return &App{In: os.Stdin, Out: os.Stdout, Err: os.Stderr, Env: os.Getenv, Clock: clock.System(),
		NewID: newID, Transport: transport(), Node: node}
}

func newID() string {
	var id [12]byte
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
		fmt.Fprintf(a.Err, "stepwick: %s\n", err)
		return ExitUsage
	}
	text := " " + told(apiErr)
	if strings.Contains(text, "\n") {
		text = "\n  " + strings.ReplaceAll(told(apiErr), "\n", "\n  ")
	}
	fmt.Fprintf(a.Err, "stepwick: %s (%d):%s\n", apiErr.Code, apiErr.Code, text)
	return Exit(apiErr.Code)
}

func told(apiErr *apierror.Error) string {
	if apiErr.Detail == "" {
		return apiErr.Code.Info().Help
	}
	return apiErr.Detail
}

// Exit codes. They follow the advice on retries in the table of codes.
const (
	ExitInternal = 1 // a fault of the program, or an outcome that must be looked up
	ExitUsage    = 2 // a wrong command line or setting
	ExitNo       = 3 // refused; the same again gets the same
	ExitLater    = 4 // not now; try again later
	ExitSame     = 5 // send the same order id again
	ExitMoved    = 6 // another order on the same base won
)

// Exit returns the exit code of a result code.
func Exit(code apierror.Code) int {
	switch code {
	case apierror.OK:
		return 0
	case apierror.BadSetting:
		return ExitUsage
	case apierror.BaseMoved:
		return ExitMoved
	}
	switch code.Info().Retry {
	case apierror.RetryNo:
		return ExitNo
	case apierror.RetryLater:
		return ExitLater
	case apierror.RetrySame:
		return ExitSame
	default:
		return ExitInternal
	}
}

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
	add("run", a.run(settings.RoleCore), a.run(settings.RoleFront))
	add("run", a.Processes...)
	add("operate", a.sheet(), a.zone(), a.member(), a.status(), a.plan(), a.tally(), a.explain(), a.key())
	add("look", a.data(), a.settings(), a.codes(), a.events(), a.version())
	root.SetHelpCommandGroupID("look")
	root.SetCompletionCommandGroupID("look")
	root.AddCommand(a.docs())
	return root
}

func noArgs(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return nil, cobra.ShellCompDirectiveNoFileComp
}
