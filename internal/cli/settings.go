package cli

import (
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/internal/settings"
)

func (a *App) settings() *cobra.Command {
	command := &cobra.Command{
		Use:     "settings",
		Short:   "Check a settings file, or list all settings",
		Example: "  stepwick settings check core.yaml --role core\n  stepwick settings list",
	}
	var role string
	check := &cobra.Command{
		Use:     "check FILE",
		Short:   "Report every problem of a settings file at once",
		Example: "  stepwick settings check core.yaml --role core",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			if role != "" && role != settings.RoleCore && role != settings.RoleFront {
				return errors.Errorf("no role %q: core or front", role)
			}
			if _, err := settings.LoadRole(args[0], nil, role); err != nil {
				return err
			}
			fmt.Fprintf(a.Out, "%s is sound\n", args[0])
			return nil
		},
	}
	check.Flags().StringVar(&role, "role", "", "also report what the role (core or front) can't do without")
	var file, format string
	list := &cobra.Command{
		Use:     "list",
		Short:   "List the settings with type, value and help",
		Example: "  stepwick settings list\n  stepwick settings list --config core.yaml",
		Args:    cobra.NoArgs, ValidArgsFunction: noArgs,
		RunE: func(*cobra.Command, []string) error {
			values, err := settings.Load(file, nil)
			if err != nil {
				return err
			}
			type line struct {
				Name    string `json:"name"`
				Type    string `json:"type"`
				Value   string `json:"value"`
				Source  string `json:"source"`
				Rule    string `json:"rule,omitempty"`
				Runtime bool   `json:"runtime"`
				Help    string `json:"help"`
			}
			var lines []line
			for _, row := range settings.Table {
				lines = append(lines, line{row.Name, string(row.Type), values.Text(row.Name), values.Source(row.Name), row.Rule, row.Runtime, row.Help})
			}
			if format == "json" {
				return a.printJSON(lines)
			}
			t := a.table("SETTING", "TYPE", "VALUE", "FROM", "RUN TIME", "HELP")
			for _, l := range lines {
				runtime := "no"
				if l.Runtime {
					runtime = "yes"
				}
				t.row(l.Name, l.Type, l.Value, l.Source, runtime, l.Help)
			}
			return t.print()
		},
	}
	list.Flags().StringVar(&file, "config", "", "a settings file whose values to list")
	output(list, &format, "table", "table", "json")
	command.AddCommand(check, list)
	return command
}
