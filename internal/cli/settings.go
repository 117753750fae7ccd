package cli

import (
	"stepwick/internal/settings"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

func (a *App) settingsCommand() *cobra.Command {
	command := &cobra.Command{
		Use:     "settings",
		Short:   "Check a settings file, or list all settings",
		Example: "  stepwick settings check core.yaml --role core\n  stepwick settings list",
	}
	command.AddCommand(a.settingsCheckCommand(), a.settingsListCommand())
	return command
}

func (a *App) settingsCheckCommand() *cobra.Command {
	var role string
	command := &cobra.Command{
		Use:     "check FILE",
		Short:   "Report all problems of a settings file",
		Example: "  stepwick settings check core.yaml --role core",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			if role != "" && role != settings.RoleCore && role != settings.RoleFront {
				return errors.Errorf("unknown role %q, expected core or front", role)
			}
			if _, err := settings.LoadRole(args[0], nil, role); err != nil {
				return err
			}
			a.printf("%s is valid\n", args[0])
			return nil
		},
	}
	command.Flags().StringVar(&role, "role", "", "also report missing settings that the role (core or front) requires")
	return command
}

// settingView is a setting in the output of "settings list".
type settingView struct {
	Name    string `json:"name"`
	Type    string `json:"type"`
	Value   string `json:"value"`
	Source  string `json:"source"`
	Rule    string `json:"rule,omitempty"`
	Runtime bool   `json:"runtime"`
	Help    string `json:"help"`
}

func (a *App) settingsListCommand() *cobra.Command {
	var file string
	var format string
	command := &cobra.Command{
		Use:               "list",
		Short:             "List the settings with type, value and help",
		Example:           "  stepwick settings list\n  stepwick settings list --config core.yaml",
		Args:              cobra.NoArgs,
		ValidArgsFunction: completeNothing,
		RunE: func(*cobra.Command, []string) error {
			values, err := settings.Load(file, nil)
			if err != nil {
				return err
			}
			views := settingViews(values)
			if format == formatJSON {
				return a.printJSON(views)
			}
			return a.printSettings(views)
		},
	}
	command.Flags().StringVar(&file, "config", "", "settings file to take the values from")
	addOutputFlag(command, &format, formatTable, formatTable, formatJSON)
	return command
}

func settingViews(values *settings.Values) []settingView {
	views := make([]settingView, 0, len(settings.Table))
	for _, row := range settings.Table {
		views = append(views, settingView{
			Name:    row.Name,
			Type:    string(row.Type),
			Value:   values.Text(row.Name),
			Source:  values.Source(row.Name),
			Rule:    row.Rule,
			Runtime: row.Runtime,
			Help:    row.Help,
		})
	}
	return views
}

func (a *App) printSettings(views []settingView) error {
	rows := a.newTable("SETTING", "TYPE", "VALUE", "FROM", "RUN TIME", "HELP")
	for _, view := range views {
		rows.addRow(view.Name, view.Type, view.Value, view.Source, yesOrNo(view.Runtime), view.Help)
	}
	return rows.print()
}
