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

// buildProgram compiles stepwick into a folder of its own. The function returned
// removes the folder.
func buildProgram() (binary string, remove func(), err error) {
	dir, err := os.MkdirTemp("", "stepwick-build-")
	if err != nil {
		return "", nil, errors.Wrap(err, "temp folder")
	}
	remove = func() { _ = os.RemoveAll(dir) }
	if binary, err = fleet.Build(dir); err != nil {
		remove()
		return "", nil, err
	}
	return binary, remove, nil
}

// outcome is what a run left.
type outcome struct {
	recording  history.Recording
	violations []checker.Violation
}

// conclude ends a run, checks its recording and prints the violations.
func conclude(run *faultcase.Run, name string) outcome {
	recording := run.Close()
	violations := checker.Check(&recording)
	faultcase.PrintViolations(os.Stdout, name, violations)
	return outcome{recording, violations}
}

// writeReport writes the report of a run; an empty folder means none.
func (o *outcome) writeReport(folder, title string) error {
	if folder == "" {
		return nil
	}
	return report.Write(folder, title, &o.recording, o.violations)
}

// summarize summarizes the run from an instant on.
func (o *outcome) summarize(from history.Instant) faultcase.Summary {
	summary := faultcase.Summarize(&o.recording, from)
	summary.Violations = len(o.violations)
	return summary
}

// printJSON prints a value as one line.
func printJSON(value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return errors.Wrap(err, "result")
	}
	fmt.Println(string(line))
	return nil
}

// violationError returns an error that counts violations, or nil for none.
func violationError(count int) error {
	if count == 0 {
		return nil
	}
	return errors.Errorf("%d violations", count)
}
