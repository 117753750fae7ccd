package gatewaysoak

import (
	"bytes"
	"os"
	"strconv"
	"strings"
	"time"

	"stepwick/platform/standin"
)

// zoneChangeEvents are the names of the events that log a change of a zone, and whether it
// is evacuated then.
var zoneChangeEvents = map[string]bool{"locality_evacuated": true, "locality_restored": false}

// zoneChanges returns the changes of zones in the logs of all processes.
func (s *evacuationSoak) zoneChanges() []standin.ZoneChange {
	var changes []standin.ZoneChange
	for _, process := range s.fleet.processes {
		data, err := os.ReadFile(process.logFile())
		s.addError(err)
		for line := range bytes.Lines(data) {
			if change, ok := parseZoneChange(string(line)); ok {
				changes = append(changes, change)
			}
		}
	}
	return changes
}

// parseZoneChange returns the change that a log line states. The second result is false for
// any other line.
func parseZoneChange(line string) (standin.ZoneChange, bool) {
	fields := map[string]string{}
	for field := range strings.FieldsSeq(line) {
		if name, value, found := strings.Cut(field, "="); found {
			fields[name] = value
		}
	}
	evacuated, isChange := zoneChangeEvents[fields["event_name"]]
	if !isChange {
		return standin.ZoneChange{}, false
	}
	at, timeErr := time.Parse(time.RFC3339Nano, fields["ts"])
	epoch, epochErr := strconv.ParseUint(fields["epoch"], 10, 64)
	_, zone, found := strings.Cut(fields["locality"], "/")
	return standin.ZoneChange{Zone: zone, Evacuated: evacuated, Epoch: epoch, At: at}, found && timeErr == nil && epochErr == nil
}
