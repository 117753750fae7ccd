package compat

import (
	"fmt"
	"strings"

	"stepwick/internal/apierror"
	"stepwick/internal/events"
)

// codeList returns one line for each result code: number, name, HTTP status and retry rule.
func codeList() string {
	var out strings.Builder
	for _, row := range apierror.Codes {
		fmt.Fprintf(&out, "%d %s %d %s\n", row.Code, row.Name, row.Status, row.Retry)
	}
	return out.String()
}

// eventList returns one line for each log event: number, name and level.
func eventList() string {
	var out strings.Builder
	for _, event := range events.Catalogue() {
		fmt.Fprintf(&out, "%d %s %s\n", event.Number, event.Name, event.Level)
	}
	return out.String()
}
