package cli

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"stepwick/internal/apierror"
	"stepwick/internal/node/replica"
)

func (a *App) data() *cobra.Command {
	command := &cobra.Command{
		Use:   "data",
		Short: "Check and show the data folder of a core that is not running",
		Long: `Check and show the data folder of a core that is not running. Nothing in the folder
is changed. Without a snapshot the folder doesn't tell whose it is: then name the core.`,
		Example: "  stepwick data check data/core-1\n  stepwick data show data/core-1 -o json",
	}
	command.AddCommand(a.dataCheck(), a.dataShow())
	return command
}

func (a *App) dataCheck() *cobra.Command {
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
			found, err := a.inspect(args[0], name)
			if err != nil {
				return err
			}
			a.line("whole: %d records in %d segments after version %d; %s at version %d", found.Records, found.Segments,
				found.Snapshot, found.Standing, found.Version)
			if found.TornSegment != "" {
				a.line("%s ends in %d bytes that were not written whole; a start cuts them off", found.TornSegment, found.TornBytes)
			}
			if found.BadSnapshot != "" {
				a.line("%s fails its checksum; a start uses the snapshot before it", found.BadSnapshot)
			}
			return nil
		},
	}
	command.Flags().StringVar(&name, "name", "", "the core's name")
	return command
}

func (a *App) dataShow() *cobra.Command {
	var name, form string
	var withSheet bool
	command := &cobra.Command{
		Use:     "show FOLDER",
		Short:   "Show what a data folder holds",
		Long:    `Show what a data folder holds: formation, disk life, versions and the log, or the sheet.`,
		Example: "  stepwick data show data/core-1\n  stepwick data show data/core-1 --sheet > sheet.json",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			found, err := a.inspect(args[0], name)
			if err != nil {
				return err
			}
			switch {
			case withSheet && found.Sheet == nil:
				return apierror.Errorf(apierror.NoSheet, "%s holds no sheet", args[0])
			case withSheet:
				return a.printJSON(found.Sheet)
			case form == "json":
				return a.printJSON(found)
			}
			return a.printContents(found)
		},
	}
	command.Flags().StringVar(&name, "name", "", "the core's name")
	command.Flags().BoolVar(&withSheet, "sheet", false, "print the sheet as JSON")
	output(command, &form, "table", "table", "json")
	return command
}

// line prints one line.
func (a *App) line(format string, args ...any) { fmt.Fprintf(a.Out, format+"\n", args...) }

// inspect reads a folder that has to be there.
func (a *App) inspect(folder, name string) (replica.Contents, error) {
	if _, err := os.Stat(folder); err != nil {
		return replica.Contents{}, err
	}
	return replica.Inspect(folder, name)
}

func (a *App) printContents(found replica.Contents) error {
	t := a.table("WHAT", "VALUE")
	t.row("core", found.Core)
	t.row("formation", found.Formation)
	t.row("voters", strings.Join(found.Voters, " "))
	t.row("standing", found.Standing)
	t.row("disk life", found.DiskIncarnation)
	t.row("version", found.Version)
	t.row("sheet version", found.SheetVersion)
	t.row("revision", found.Revision)
	t.row("members", found.Members)
	t.row("open slots", found.OpenSlots)
	t.row("snapshot version", found.Snapshot)
	t.row("segments", found.Segments)
	t.row("records", found.Records)
	if found.TornSegment != "" {
		t.row("torn", found.TornSegment)
	}
	if found.BadSnapshot != "" {
		t.row("bad snapshot", found.BadSnapshot)
	}
	return t.print()
}
