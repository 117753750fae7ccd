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

// keyFileMode is the mode of files that contain a key: only the owner may read them.
const keyFileMode = 0o600

func (a *App) keyCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "key",
		Short: "Generate keys and compute their hashes",
		Long: `Generate keys and compute their hashes. Sheets and settings contain only the
SHA-256 hash of a key. The key itself is given to its user and stored nowhere else.`,
		Example: "  stepwick key new --out press.key\n  stepwick key hash < press.key",
	}
	command.AddCommand(a.keyNewCommand(), a.keyHashCommand())
	return command
}

func (a *App) keyHashCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "hash",
		Short:             "Print the hash of the key that is read from standard input",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		Example:           "  stepwick key hash < press.key",
		RunE: func(*cobra.Command, []string) error {
			line, err := bufio.NewReader(a.In).ReadString('\n')
			key := strings.TrimSpace(line)
			if key == "" {
				return errors.Errorf("no key on standard input (%v)", err)
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
		Short: "Generate a random key and print it with its hash",
		Long: `Generate a random key and print it with its hash. With --out, the key is written to
a new file that only its owner may read, and only the hash is printed.`,
		Example:           "  stepwick key new\n  stepwick key new --out press.key",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(*cobra.Command, []string) error {
			key := a.NewID() + a.NewID()
			if file == "" {
				a.printf("key  %s\nhash %s\n", key, sheet.HashKey(key))
				return nil
			}
			return a.writeKey(file, key)
		},
	}
	command.Flags().StringVar(&file, "out", "", "file to write the key to; it must not exist")
	return command
}

// writeKey writes a key to a new file and prints its hash. It returns an error if
// the file exists.
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
