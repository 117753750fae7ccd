// Package report writes the results of a run into a directory: JSON lines, one for
// each second and one for each violation, and two charts with the rig's actions
// marked: the requests by outcome, and the quota use of each tenant.
package report

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/checker"
	"stepwick/cmd/rig/history"
)

const folderMode = 0o755

// Write writes seconds.jsonl, violations.jsonl, service.svg and spend.svg into a
// directory, which it creates if it doesn't exist.
func Write(folder, title string, recording *history.Recording, violations []checker.Violation) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "write report")
	}
	seconds := Seconds(recording)
	if err := writeLines(filepath.Join(folder, "seconds.jsonl"), seconds); err != nil {
		return err
	}
	if err := writeLines(filepath.Join(folder, "violations.jsonl"), violations); err != nil {
		return err
	}
	service := chart{
		title:   title,
		unit:    "requests per second",
		lines:   serviceLines(seconds),
		actions: recording.Actions,
	}
	if err := service.save(filepath.Join(folder, "service.svg")); err != nil {
		return err
	}
	quota := chart{
		title:     title,
		unit:      "tokens served in the last 8 s / allowance",
		lines:     quotaLines(seconds),
		actions:   recording.Actions,
		limitLine: true,
	}
	return quota.save(filepath.Join(folder, "spend.svg"))
}

// writeLines writes one line of JSON for each row.
func writeLines[T any](path string, rows []T) error {
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	encoder := json.NewEncoder(file)
	for _, row := range rows {
		if err := encoder.Encode(row); err != nil {
			_ = file.Close()
			return errors.Wrap(err, "write report")
		}
	}
	return errors.Wrap(file.Close(), "write report")
}
