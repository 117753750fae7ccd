package cli

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/internal/decision/sheet"
)

func (a *App) key() *cobra.Command {
	command := &cobra.Command{
		Use:   "key",
		Short: "Make keys and their hashes",
		Long: `Make keys and their hashes. Sheets and settings hold only the SHA-256 of a key; the
key itself is given to whoever uses it and kept nowhere else.`,
		Example: "  stepwick key new --out press.key\n  stepwick key hash < press.key",
	}
	command.AddCommand(a.keyNew(),
		&cobra.Command{Use: "hash", Short: "Print the hash of the key on the standard input", Args: cobra.NoArgs, ValidArgsFunction: noArgs,
			Example: "  stepwick key hash < press.key",
			RunE: func(*cobra.Command, []string) error {
				line, err := bufio.NewReader(a.In).ReadString('\n')
				key := strings.TrimSpace(line)
				if key == "" {
					return errors.Errorf("no key on the standard input (%v)", err)
				}
				fmt.Fprintln(a.Out, sheet.HashKey(key))
				return nil
			}})
	return command
}

func (a *App) keyNew() *cobra.Command {
	var out string
	command := &cobra.Command{
		Use:   "new",
		Short: "Make a random key; prints the key and its hash",
		Long: `Make a random key; prints the key and its hash. With --out the key goes to a new
file that only its owner may read, and the hash alone is printed.`,
		Example: "  stepwick key new\n  stepwick key new --out press.key",
		Args:    cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(*cobra.Command, []string) error {
			key := a.NewID() + a.NewID()
			if out == "" {
				fmt.Fprintf(a.Out, "key  %s\nhash %s\n", key, sheet.HashKey(key))
				return nil
			}
			file, err := os.OpenFile(out, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
			if err != nil {
				return err
			}
			defer file.Close()
			if _, err := fmt.Fprintln(file, key); err != nil {
				return err
			}
			fmt.Fprintln(a.Out, sheet.HashKey(key))
			return file.Close()
		},
	}
	command.Flags().StringVar(&out, "out", "", "a new file to write the key to")
	return command
}
