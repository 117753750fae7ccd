package faultcase

import (
	"bytes"
	"fmt"
	"os"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
)

// storedDataEvents are the log events of a node that could not use its data
// folder, or a peer's records, as they were written. A core that lost its data
// rebuilds it from the other cores and then serves as before, so that only its
// log shows the loss. The numbers are those of docs/EVENTS.md, which never change.
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

// storedDataCheck looks for storedDataEvents in the logs of nodes. It is only
// for cases without faults of disks.
type storedDataCheck struct {
	// logOffset is the length of each node's log when the check began. What was
	// logged before belongs to the formation of a new fleet on blank disks.
	logOffset map[*fleet.Node]int
}

// newStoredDataCheck returns a check that ignores what was logged until now.
func newStoredDataCheck(nodes []*fleet.Node) (*storedDataCheck, error) {
	check := &storedDataCheck{logOffset: map[*fleet.Node]int{}}
	for _, node := range nodes {
		log, err := os.ReadFile(node.LogFile())
		if err != nil {
			return nil, errors.Wrap(err, "log of "+node.Name)
		}
		check.logOffset[node] = len(log)
	}
	return check, nil
}

// randomNode returns an error if the log of a node shows that it could not use its
// stored data.
func (c *storedDataCheck) node(node *fleet.Node) error {
	log, err := os.ReadFile(node.LogFile())
	if err != nil {
		return errors.Wrap(err, "log of "+node.Name)
	}
	if line := findStoredDataEvent(log[c.logOffset[node]:]); line != "" {
		return errors.Errorf("%s could not use its stored data: %s", node.Name, line)
	}
	return nil
}

// findStoredDataEvent returns the first line of a log with one of
// storedDataEvents, or an empty string.
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
