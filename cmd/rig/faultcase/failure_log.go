package faultcase

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pkg/errors"
)

// failureEvents are the log events of a panic or of a part that ended by itself. The
// numbers are those of docs/EVENTS.md, which never change.
var failureEvents = map[int]string{
	1006: "service_failed",
	6012: "request_broke",
	6015: "owner_broke",
	6016: "route_broke",
}

// failureTexts are what the runtime writes about a process that it ends.
var failureTexts = []string{"panic: ", "fatal error: ", "WARNING: DATA RACE"}

// findFailure returns the first line of a log file with one of failureEvents or
// failureTexts, or an empty string.
func findFailure(logFile string) (string, error) {
	log, err := os.ReadFile(logFile)
	if err != nil {
		return "", errors.Wrap(err, "log")
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
