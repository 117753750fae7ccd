package cli

import (
	"bufio"
	"fmt"
	"os"
	"strings"

	"stepwick/internal/decision/sheet"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// keyFileMode lets only the owner read a key.
const keyFileMode = 0o600

func (a *App) keyCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "key",
		Short: "Make keys and their hashes",
		Long: `Make keys and their hashes. Sheets and settings hold only the SHA-256 of a key; the
key itself is given to whoever uses it and kept nowhere else.`,
		Example: "  stepwick key new --out press.key\n  stepwick key hash < press.key",
	}
	command.AddCommand(a.keyNewCommand(), a.keyHashCommand())
	return command
}

func (a *App) keyHashCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "hash",
		Short:             "Print the hash of the key on the standard input",
		Args:              cobra.NoArgs,
		ValidArgsFunction: noArgs,
		Example:           "  stepwick key hash < press.key",
		RunE: func(*cobra.Command, []string) error {
			line, err := bufio.NewReader(a.In).ReadString('\n')
			key := strings.TrimSpace(line)
			if key == "" {
				return errors.Errorf("no key on the standard input (%v)", err)
			}
			a.println(sheet.HashKey(key))
			return nil
		},
	}
}

func (a *App) keyNewCommand() *cobra.Command {
	var file string
	command := &cobra.Command{
		Use:   "new",
		Short: "Make a random key; prints the key and its hash",
		Long: `Make a random key; prints the key and its hash. With --out the key goes to a new
file that only its owner may read, and the hash alone is printed.`,
		Example:           "  stepwick key new\n  stepwick key new --out press.key",
		Args:              cobra.NoArgs,
		ValidArgsFunction: noArgs,
		RunE: func(*cobra.Command, []string) error {
			key := a.NewID() + a.NewID()
			if file == "" {
				a.printf("key  %s\nhash %s\n", key, sheet.HashKey(key))
				return nil
			}
			return a.writeKey(file, key)
		},
	}
	command.Flags().StringVar(&file, "out", "", "a new file to write the key to")
	return command
}

// writeKey writes a key to a new file and prints its hash.
func (a *App) writeKey(name, key string) error {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY, keyFileMode)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(file, key); err != nil {
		_ = file.Close()
		return err
	}
	a.println(sheet.HashKey(key))
	return file.Close()
}
