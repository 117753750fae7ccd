package faultcase

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
)

// storedDataEvents maps the numbers of the log events of a node that could not read its
// data directory, or a peer's records, as written to their names, as in docs/EVENTS.md.
// A core that lost its data recovers it from the other cores and then serves as before,
// so only its log shows the loss. The numbers never change.
var storedDataEvents = map[int]string{
	3004: "wrong_formation",
	3005: "recovery_begun",
	3008: "torn_tail_cut",
	3009: "bad_record",
	3012: "disk_failed",
	3015: "snapshot_bad",
	3022: "life_raised",
	3024: "command_bad",
}

// storedDataCheck searches the logs of nodes for storedDataEvents. It is only for cases
// without disk faults.
type storedDataCheck struct {
	// logOffset is the length of each node's log when the check was created. Earlier
	// events are part of the formation of a new fleet on blank disks.
	logOffset map[*fleet.Node]int
}

// newStoredDataCheck returns a check that ignores what has been logged so far.
func newStoredDataCheck(nodes []*fleet.Node) (*storedDataCheck, error) {
	check := &storedDataCheck{logOffset: map[*fleet.Node]int{}}
	for _, node := range nodes {
		log, err := os.ReadFile(node.LogFile())
		if err != nil {
			return nil, errors.Wrap(err, "read log of "+node.Name)
		}
		check.logOffset[node] = len(log)
	}
	return check, nil
}

// checkNode returns an error if the log of a node has one of storedDataEvents.
func (c *storedDataCheck) checkNode(node *fleet.Node) error {
	log, err := os.ReadFile(node.LogFile())
	if err != nil {
		return errors.Wrap(err, "read log of "+node.Name)
	}
	if line := findStoredDataEvent(log[c.logOffset[node]:]); line != "" {
		return errors.Errorf("%s could not read stored data as written, its log has: %s", node.Name, line)
	}
	return nil
}

// findStoredDataEvent returns the first line of a log that has one of storedDataEvents,
// or an empty string if there is none.
func findStoredDataEvent(log []byte) string {
	for line := range bytes.Lines(log) {
		for number := range storedDataEvents {
			if bytes.Contains(line, fmt.Appendf(nil, " event=%d ", number)) {
				return string(bytes.TrimSpace(line))
			}
		}
	}
	return ""
}
