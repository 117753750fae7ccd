package cli

import (
	"os"
	"strings"

	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/node/replica"
)

func (a *App) dataCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "data",
		Short: "Check or show the data folder of a core that is not running",
		Long: `Check or show the data folder of a core that is not running, without changing it.
A folder without a snapshot does not identify its core; --name is then required.`,
		Example: "  stepwick data check data/core-1\n  stepwick data show data/core-1 -o json",
	}
	command.AddCommand(a.dataCheckCommand(), a.dataShowCommand())
	return command
}

func (a *App) dataCheckCommand() *cobra.Command {
	var name string
	command := &cobra.Command{
		Use:   "check FOLDER",
		Short: "Verify a data folder and report what the next start would do",
		Long: `Read every record and snapshot of a data folder, verify the checksums and replay the
records. A bad checksum before the end of the log is an error (code 5007). An
incomplete write at the end of the log is only reported, since the next start
truncates it.`,
		Example: "  stepwick data check data/core-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			contents, err := inspectFolder(args[0], name)
			if err != nil {
				return err
			}
			a.printf("intact: %d records in %d segments after version %d; %s at version %d\n", contents.Records, contents.Segments,
				contents.SnapshotVersion, contents.Standing, contents.Version)
			if contents.TornSegment != "" {
				a.printf("%s ends in %d bytes of an incomplete write; the next start truncates them\n", contents.TornSegment, contents.TornBytes)
			}
			if contents.BadSnapshot != "" {
				a.printf("%s fails its checksum; the next start uses the previous snapshot\n", contents.BadSnapshot)
			}
			return nil
		},
	}
	command.Flags().StringVar(&name, "name", "", "the core's name")
	return command
}

func (a *App) dataShowCommand() *cobra.Command {
	var name string
	var format string
	var showSheet bool
	command := &cobra.Command{
		Use:     "show FOLDER",
		Short:   "Show the contents of a data folder",
		Long:    `Show the contents of a data folder: formation, disk incarnation ("disk life"), versions and the log, or the sheet.`,
		Example: "  stepwick data show data/core-1\n  stepwick data show data/core-1 --sheet > sheet.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			contents, err := inspectFolder(args[0], name)
			if err != nil {
				return err
			}
			switch {
			case showSheet && contents.Sheet == nil:
				return apierror.Errorf(apierror.NoSheet, "%s contains no sheet", args[0])
			case showSheet:
				return a.printJSON(contents.Sheet)
			case format == formatJSON:
				return a.printJSON(contents)
			}
			return a.printContents(contents)
		},
	}
	command.Flags().StringVar(&name, "name", "", "the core's name")
	command.Flags().BoolVar(&showSheet, "sheet", false, "print the sheet as JSON")
	addOutputFlag(command, &format, formatTable, formatTable, formatJSON)
	return command
}

// inspectFolder reads a data folder. It returns an error if the folder does not
// exist.
func inspectFolder(folder, name string) (replica.Contents, error) {
	if _, err := os.Stat(folder); err != nil {
		return replica.Contents{}, err
	}
	return replica.Inspect(folder, name)
}

func (a *App) printContents(contents replica.Contents) error {
	rows := a.newTable("WHAT", "VALUE")
	rows.addRow("core", contents.Core)
	rows.addRow("formation", contents.Formation)
	rows.addRow("voters", strings.Join(contents.Voters, " "))
	rows.addRow("standing", contents.Standing)
	rows.addRow("disk life", contents.DiskIncarnation)
	rows.addRow("version", contents.Version)
	rows.addRow("sheet version", contents.SheetVersion)
	rows.addRow("revision", contents.Revision)
	rows.addRow("members", contents.Members)
	rows.addRow("open slots", contents.OpenSlots)
	rows.addRow("snapshot version", contents.SnapshotVersion)
	rows.addRow("segments", contents.Segments)
	rows.addRow("records", contents.Records)
	if contents.TornSegment != "" {
		rows.addRow("torn", contents.TornSegment)
	}
	if contents.BadSnapshot != "" {
		rows.addRow("bad snapshot", contents.BadSnapshot)
	}
	return rows.print()
}
