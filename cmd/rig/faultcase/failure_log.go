package faultcase

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// failureEvents maps the numbers of the log events that report a panic or an unexpected
// end of a service to their names, as in docs/EVENTS.md. The numbers never change.
var failureEvents = map[int]string{
	1006: "service_failed",
	6012: "request_broke",
	6015: "owner_broke",
	6016: "route_broke",
}

// failureTexts begin the lines that the Go runtime writes about a panic, a fatal error
// or a data race.
var failureTexts = []string{"panic: ", "fatal error: ", "WARNING: DATA RACE"}

// findFailure returns the first line of a log file that has one of failureEvents or
// begins with one of failureTexts, or an empty string if there is none.
func findFailure(logFile string) (string, error) {
	log, err := os.ReadFile(logFile)
	if err != nil {
		return "", errors.Wrap(err, "read node log")
	}
	for line := range bytes.Lines(log) {
		if isFailure(line) {
			return string(bytes.TrimSpace(line)), nil
		}
	}
	return "", nil
}

func isFailure(line []byte) bool {
	for number := range failureEvents {
		if bytes.Contains(line, fmt.Appendf(nil, " event=%d ", number)) {
			return true
		}
	}
	for _, text := range failureTexts {
		if bytes.HasPrefix(line, []byte(text)) {
			return true
		}
	}
	return false
}
