package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// timestampFormat is the format of times in tables, which are in UTC.
const timestampFormat = "2006-01-02T15:04:05Z"

// Output formats, the values of the flag --output.
const (
	formatTable = "table"
	formatText  = "text"
	formatJSON  = "json"
	formatCSV   = "csv"
)

// addOutputFlag adds the flag --output to a command, whose RunE must be set. The
// command then fails unless the flag's value is one of formats.
func addOutputFlag(command *cobra.Command, format *string, defaultFormat string, formats ...string) {
	command.Flags().StringVarP(format, "output", "o", defaultFormat, "output format: "+strings.Join(formats, ", "))
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
	run := command.RunE
	command.RunE = func(command *cobra.Command, args []string) error {
		if !slices.Contains(formats, *format) {
			return errors.Errorf("unknown output format %q, expected %s", *format, strings.Join(formats, " or "))
		}
		return run(command, args)
	}
}

// printf writes to the output. Write errors are ignored, as there is nowhere to
// report them.
func (a *App) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.Out, format, args...) }

// println writes a line to the output.
func (a *App) println(texts ...any) { _, _ = fmt.Fprintln(a.Out, texts...) }

// printErrorf writes to standard error.
func (a *App) printErrorf(format string, args ...any) { _, _ = fmt.Fprintf(a.Err, format, args...) }

// printJSON writes a value as indented JSON.
func (a *App) printJSON(value any) error {
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printBody writes the JSON body of a response with indentation.
func (a *App) printBody(body []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, bytes.TrimSpace(body), "", "  "); err != nil {
		return err
	}
	out.WriteByte('\n')
	_, err := a.Out.Write(out.Bytes())
	return err
}

// table collects rows and prints them in aligned columns.
type table struct {
	writer *tabwriter.Writer
}

// newTable returns a table with a row of headings, to be printed to the output.
func (a *App) newTable(headings ...any) *table {
	const (
		tabWidth = 8
		padding  = 2
	)
	t := &table{tabwriter.NewWriter(a.Out, 0, tabWidth, padding, ' ', 0)}
	t.addRow(headings...)
	return t
}

// addRow adds a row. An empty cell is shown as a dash.
func (t *table) addRow(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = dashIfEmpty(fmt.Sprint(cell))
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

// print writes the table.
func (t *table) print() error { return t.writer.Flush() }

func dashIfEmpty(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func yesOrNo(condition bool) string {
	if condition {
		return "yes"
	}
	return "no"
}

// formatMS formats a duration in milliseconds, zero as a dash.
func formatMS(milliseconds float64) string {
	if milliseconds == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", milliseconds)
}

// formatTimestamp formats a time given in Unix milliseconds.
func formatTimestamp(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format(timestampFormat)
}
