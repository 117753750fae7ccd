package cli

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/internal/core/sheet"
)

func (a *App) key() *cobra.Command {
	command := &cobra.Command{
		Use:   "key",
		Short: "Make keys and their hashes",
		Long: `Make keys and their hashes. Sheets and settings hold only the SHA-256 of a key; the
key itself is given to whoever uses it and kept nowhere else.`,
		Example: "  stepwick key new\n  stepwick key hash < press.key",
	}
	command.AddCommand(
		&cobra.Command{Use: "new", Short: "Make a random key; prints the key, then its hash", Args: cobra.NoArgs, ValidArgsFunction: noArgs,
			Example: "  stepwick key new",
			RunE: func(*cobra.Command, []string) error {
				key := a.NewID() + a.NewID()
				fmt.Fprintf(a.Out, "key  %s\nhash %s\n", key, sheet.HashKey(key))
				return nil
			}},
		&cobra.Command{Use: "hash", Short: "Print the hash of the key on the standard input", Args: cobra.NoArgs, ValidArgsFunction: noArgs,
			Example: "  stepwick key hash < press.key",
			RunE: func(*cobra.Command, []string) error {
				line, err := bufio.NewReader(a.In).ReadString('\n')
				key := strings.TrimSpace(line)
				if key == "" {
					return errors.Errorf("no key on the standard input: %v", err)
				}
				fmt.Fprintln(a.Out, sheet.HashKey(key))
				return nil
			}})
	return command
}
