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
		Short: "Check and show the data folder of a core that is not running",
		Long: `Check and show the data folder of a core that is not running. Nothing in the folder
is changed. Without a snapshot the folder doesn't tell whose it is: then name the core.`,
		Example: "  stepwick data check data/core-1\n  stepwick data show data/core-1 -o json",
	}
	command.AddCommand(a.dataCheckCommand(), a.dataShowCommand())
	return command
}

func (a *App) dataCheckCommand() *cobra.Command {
	var name string
	command := &cobra.Command{
		Use:   "check FOLDER",
		Short: "Read every record and snapshot of a data folder; say what a start would do",
		Long: `Read every record and snapshot of a data folder by their checksums, and replay them. A
record that fails its checksum before the end of the log ends with code 5007; an end
that was not written whole is only told, as a start cuts it off.`,
		Example: "  stepwick data check data/core-1",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			contents, err := inspectFolder(args[0], name)
			if err != nil {
				return err
			}
			a.printf("whole: %d records in %d segments after version %d; %s at version %d\n", contents.Records, contents.Segments,
				contents.SnapshotVersion, contents.Standing, contents.Version)
			if contents.TornSegment != "" {
				a.printf("%s ends in %d bytes that were not written whole; a start cuts them off\n", contents.TornSegment, contents.TornBytes)
			}
			if contents.BadSnapshot != "" {
				a.printf("%s fails its checksum; a start uses the snapshot before it\n", contents.BadSnapshot)
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
		Short:   "Show what a data folder holds",
		Long:    `Show what a data folder holds: formation, disk life, versions and the log, or the sheet.`,
		Example: "  stepwick data show data/core-1\n  stepwick data show data/core-1 --sheet > sheet.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			contents, err := inspectFolder(args[0], name)
			if err != nil {
				return err
			}
			switch {
			case showSheet && contents.Sheet == nil:
				return apierror.Errorf(apierror.NoSheet, "%s holds no sheet", args[0])
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

// inspectFolder reads a data folder, which must exist.
func inspectFolder(folder, name string) (replica.Contents, error) {
	if _, err := os.Stat(folder); err != nil {
		return replica.Contents{}, err
	}
	return replica.Inspect(folder, name)
}

func (a *App) printContents(contents replica.Contents) error {
	rows := a.newTable("WHAT", "VALUE")
	rows.row("core", contents.Core)
	rows.row("formation", contents.Formation)
	rows.row("voters", strings.Join(contents.Voters, " "))
	rows.row("standing", contents.Standing)
	rows.row("disk life", contents.DiskIncarnation)
	rows.row("version", contents.Version)
	rows.row("sheet version", contents.SheetVersion)
	rows.row("revision", contents.Revision)
	rows.row("members", contents.Members)
	rows.row("open slots", contents.OpenSlots)
	rows.row("snapshot version", contents.SnapshotVersion)
	rows.row("segments", contents.Segments)
	rows.row("records", contents.Records)
	if contents.TornSegment != "" {
		rows.row("torn", contents.TornSegment)
	}
	if contents.BadSnapshot != "" {
		rows.row("bad snapshot", contents.BadSnapshot)
	}
	return rows.print()
}
