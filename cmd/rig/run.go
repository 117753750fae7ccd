package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/faultcase"
	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/report"
)

// buildProgram compiles stepwick into a temporary directory. The returned function
// removes the directory.
func buildProgram() (binary string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "stepwick-build-")
	if err != nil {
		return "", nil, errors.Wrap(err, "create temporary directory")
	}
	remove = func() { _ = os.RemoveAll(dir) }
	if binary, err = fleet.Build(dir); err != nil {
		remove()
		return "", nil, err
	}
	return binary, remove, nil
}

// runResult is the recording of a finished run and the violations found in it.
type runResult struct {
	recording  history.Recording
	violations []checker.Violation
}

// finishRun ends a run, checks the recording and prints the violations.
func finishRun(run *faultcase.Run, name string) runResult {
	recording := run.Close()
	violations := checker.Check(&recording)
	faultcase.PrintViolations(os.Stdout, name, violations)
	return runResult{recording, violations}
}

// writeReport writes the report of a run into folder; it does nothing if folder is
// empty.
func (o *runResult) writeReport(folder, title string) error {
	if folder == "" {
		return nil
	}
	return report.Write(folder, title, &o.recording, o.violations)
}

// summarize returns the summary of the run from the given instant to its end.
func (o *runResult) summarize(from history.Instant) faultcase.Summary {
	summary := faultcase.Summarize(&o.recording, from)
	summary.Violations = len(o.violations)
	return summary
}

// printJSON prints a value as one line of JSON.
func printJSON(value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	fmt.Println(string(line))
	return nil
}

// violationError returns an error with the number of violations, or nil if count is 0.
func violationError(count int) error {
	if count == 0 {
		return nil
	}
	return errors.Errorf("%d violations", count)
}
