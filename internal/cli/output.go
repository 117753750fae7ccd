package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

func output(command *cobra.Command, into *string, standard string, formats ...string) {
	command.Flags().StringVarP(into, "output", "o", standard, "the form of the output: "+strings.Join(formats, ", "))
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
	run := command.RunE
	command.RunE = func(command *cobra.Command, args []string) error {
		for _, format := range formats {
			if *into == format {
				return run(command, args)
			}
		}
		return errors.Errorf("no output %q: %s", *into, strings.Join(formats, " or "))
	}
}

func (a *App) printJSON(value any) error {
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

func (a *App) printBody(body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(body), "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	_, err := a.Out.Write(out.Bytes())
	return err
}

type table struct {
	writer *tabwriter.Writer
}

func (a *App) table(heads ...string) *table {
	t := &table{tabwriter.NewWriter(a.Out, 0, 8, 2, ' ', 0)}
	cells := make([]any, len(heads))
	for i, head := range heads {
		cells[i] = head
	}
	t.row(cells...)
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) print() error { return t.writer.Flush() }
