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

// timestampFormat is the form of times in tables, in UTC.
const timestampFormat = "2006-01-02T15:04:05Z"

// Forms of a command's output.
const (
	formatTable = "table"
	formatText  = "text"
	formatJSON  = "json"
	formatCSV   = "csv"
)

// addOutputFlag gives a command the flag --output for one of the formats.
func addOutputFlag(command *cobra.Command, format *string, standard string, formats ...string) {
	command.Flags().StringVarP(format, "output", "o", standard, "the form of the output: "+strings.Join(formats, ", "))
	_ = command.RegisterFlagCompletionFunc("output", cobra.FixedCompletions(formats, cobra.ShellCompDirectiveNoFileComp))
	run := command.RunE
	command.RunE = func(command *cobra.Command, args []string) error {
		if !slices.Contains(formats, *format) {
			return errors.Errorf("no output %q: %s", *format, strings.Join(formats, " or "))
		}
		return run(command, args)
	}
}

// printf writes to the output. A failed write is ignored: there is nowhere to
// report it.
func (a *App) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.Out, format, args...) }

// println writes a line to the output.
func (a *App) println(texts ...any) { _, _ = fmt.Fprintln(a.Out, texts...) }

// printErrorf writes to the standard error.
func (a *App) printErrorf(format string, args ...any) { _, _ = fmt.Fprintf(a.Err, format, args...) }

// printJSON writes a value as indented JSON.
func (a *App) printJSON(value any) error {
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printBody writes the JSON body of a response, indented.
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

// newTable returns a table on the app's output with a row of headings.
func (a *App) newTable(headings ...any) *table {
	const (
		tabWidth = 8
		padding  = 2
	)
	t := &table{tabwriter.NewWriter(a.Out, 0, tabWidth, padding, ' ', 0)}
	t.row(headings...)
	return t
}

// row adds a row. An empty cell is shown as a dash.
func (t *table) row(cells ...any) {
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

// formatMS writes a time in milliseconds; a dash for none.
func formatMS(milliseconds float64) string {
	if milliseconds == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f ms", milliseconds)
}

// formatTimestamp writes a time in Unix milliseconds.
func formatTimestamp(unixMS int64) string {
	return time.UnixMilli(unixMS).UTC().Format(timestampFormat)
}
