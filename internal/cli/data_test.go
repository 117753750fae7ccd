package cli

import (
	"os"
	"path/filepath"
	"testing"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
)

// writeDataFolder writes the data folder of a core with three voters: a formation, a
// sheet, and a value that the core has accepted but not learned.
func writeDataFolder(t *testing.T, folder string) {
	t.Helper()
	first, apiErr := sheet.ParseSheet([]byte(firstSheet), 1<<20)
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	put := statemachine.Encode(statemachine.PutSheet{Order: statemachine.Order{OrderID: "first", Operator: "ada", ReceivedAtMS: 1}, Sheet: first})
	records := []paxos.Record{
		paxos.FormationJoined{Formation: "core-1-f", Voters: []string{"core-1", "core-2", "core-3"}},
		paxos.RecoveryCompleted{Incarnations: map[string]uint64{"core-1": 1, "core-2": 1, "core-3": 1}},
		paxos.Learned{Slot: 1, Value: put},
		paxos.Accepted{Slot: 2, Ballot: paxos.Ballot{Number: 4, Core: "core-2"}, Value: []byte("open")},
	}
	log, _, err := disklog.Open(disklog.Config{Folder: folder, ReserveBytes: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	for _, record := range records {
		index, err := log.Append([][]byte{paxos.EncodeRecord(record)}, disklog.Ordinary)
		if err != nil {
			t.Fatal(err)
		}
		for synced := uint64(0); synced < index; {
			synced = <-log.Synced()
		}
	}
}

// alterSegment replaces the contents of the only segment in the folder by the result
// of change.
func alterSegment(t *testing.T, folder string, change func([]byte) []byte) {
	t.Helper()
	segments, err := filepath.Glob(filepath.Join(folder, "*.log"))
	if err != nil || len(segments) != 1 {
		t.Fatalf("%d segments: %v", len(segments), err)
	}
	data, err := os.ReadFile(segments[0])
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(segments[0], change(data), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestDataCommands(t *testing.T) {
	check := newGoldenChecker(t)
	s := newSession(t, nil, 0)
	writeDataFolder(t, "core-1")
	s.run("data", "check", "core-1", "--name", "core-1")
	s.run("data", "show", "core-1", "--name", "core-1")
	s.run("data", "show", "core-1", "--name", "core-1", "-o", "json")
	s.run("data", "show", "core-1", "--name", "core-1", "--sheet")
	s.run("data", "check", "core-1")
	alterSegment(t, "core-1", func(data []byte) []byte { return append(data, 1, 2, 3) })
	s.run("data", "check", "core-1", "--name", "core-1")
	s.run("data", "check", "core-1", "--name", "core-1")
	alterSegment(t, "core-1", func(data []byte) []byte { data[40] ^= 1; return data })
	s.run("data", "check", "core-1", "--name", "core-1")
	s.run("data", "check", "core-2")
	s.run("data", "show", "--help")
	check("data", s)
}
