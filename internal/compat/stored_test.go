package compat

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
)

// copyCoreFolders copies the cores' data folders to a temporary folder and returns its path.
func copyCoreFolders(t testing.TB) string {
	t.Helper()
	root := t.TempDir()
	if err := os.CopyFS(root, os.DirFS(filepath.Join("testdata", "stored", "cores"))); err != nil {
		t.Fatal(err)
	}
	return root
}

func TestStoredFoldersDecodeAsWritten(t *testing.T) {
	for _, core := range []string{"a", "b", "c"} {
		t.Run(core, func(t *testing.T) {
			got := describeFolder(t, filepath.Join("testdata", "stored", "cores", core), core)
			sameAsFixture(t, got, "stored", core+".txt")
		})
	}
}

// TestStoredLogAcceptsAppendsAfterTornTail guards against losing or corrupting records when a
// log whose last write was cut short is opened, extended and opened again.
func TestStoredLogAcceptsAppendsAfterTornTail(t *testing.T) {
	for core, torn := range map[string]bool{"a": true, "b": false, "c": false} {
		t.Run(core, func(t *testing.T) {
			folder := filepath.Join(copyCoreFolders(t), core)
			snapshot, records, cut, appendRecord, closeLog := openLog(t, folder)
			if (cut > 0) != torn {
				t.Errorf("opening the log cut %d bytes of a torn tail", cut)
			}
			added := [][]byte{}
			for n := range 40 {
				added = append(added, fmt.Appendf(nil, "record %d %s", n, strings.Repeat("x", 3*n)))
				appendRecord(added[n])
			}
			closeLog()
			sameSnapshot, all, cut, _, closeLog := openLog(t, folder)
			closeLog()
			if cut != 0 || !bytes.Equal(sameSnapshot, snapshot) {
				t.Errorf("reopening the log cut %d bytes (want 0) or changed the snapshot", cut)
			}
			if !slices.EqualFunc(all, slices.Concat(records, added), bytes.Equal) {
				t.Error("reopening the log changed its records")
			}
		})
	}
}

// TestStoredCoresContinueAsCluster starts three cores on stored folders, has orders chosen and
// restarts the cores. Core a has accepted an order in slot 60, which must be completed first,
// so the new order gets slot 61.
func TestStoredCoresContinueAsCluster(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(copyCoreFolders(t))
		defer f.stopAll()
		f.start("a", "b")
		f.waitVoting(t, "a", "b")
		order, err := encodeBody("evacuate", "ada", `{"order_id":"next","locality":"lagos/c"}`)
		if err != nil {
			t.Fatal(err)
		}
		if version, code := f.propose(t, "b", order); version != 61 || code != 0 {
			t.Errorf("an order got epoch %d and code %d, want epoch 61 and code 0: core a has accepted another order in slot 60, and core c is stopped", version, code)
		}
		if version, code := f.propose(t, "a", lines(t, "stored", "commands.txt")[0]); version != 1 || code != 0 {
			t.Errorf("the first order, repeated, got epoch %d and code %d, want epoch 1 and code 0", version, code)
		}
		f.start("c")
		f.waitVoting(t, "c")
		f.waitVersion(t, 62)
		before := f.configuration(t, "a")
		f.stopAll()
		f.start("a", "b", "c")
		f.waitVoting(t, "a", "b", "c")
		for _, core := range []string{"a", "b", "c"} {
			if after := f.configuration(t, core); after != before {
				t.Errorf("core %s: configuration after the restart\n%s\nbefore it\n%s", core, after, before)
			}
		}
		sameAsFixture(t, before+"\n", "stored", "continued.txt")
	})
}

func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	var out strings.Builder
	records := sampleRecords()
	for _, description := range slices.Sorted(maps.Keys(records)) {
		fmt.Fprintf(&out, "%s: %s\n", description, hex.EncodeToString(records[description]))
	}
	sameAsFixture(t, out.String(), "stored", "records.txt")
	for _, row := range lines(t, "stored", "records.txt") {
		description, text, _ := strings.Cut(row, ": ")
		data, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		again, err := recodeRecord(data)
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("record %s decodes and encodes as %x (%v)", description, again, err)
		}
	}
}

func TestStoredSnapshotsKeepTheirBytes(t *testing.T) {
	for _, core := range []string{"a", "c"} {
		snapshot, _, _, _, closeLog := openLog(t, filepath.Join(copyCoreFolders(t), core))
		closeLog()
		again, err := recodeSnapshot(snapshot)
		if err != nil || !bytes.Equal(again, snapshot) {
			t.Errorf("the snapshot of core %s decodes and encodes as %x (%v)", core, again, err)
		}
	}
}

// TestLogWritesTheSameFiles appends the records of a stored folder to a new log. The
// files must be identical, so that the previous release can read them.
func TestLogWritesTheSameFiles(t *testing.T) {
	stored := filepath.Join(copyCoreFolders(t), "b")
	_, records, _, _, closeLog := openLog(t, stored)
	closeLog()
	written := t.TempDir()
	_, _, _, appendRecord, closeLog := openLog(t, written)
	for _, record := range records {
		appendRecord(record)
	}
	closeLog()
	if got, want := readFiles(t, written), readFiles(t, filepath.Join("testdata", "stored", "cores", "b")); !maps.Equal(got, want) {
		t.Errorf("the log wrote files %v, want %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
		for name, data := range want {
			t.Logf("file %s has content %x, want %x", name, got[name], data)
		}
	}
}

func TestLogWritesTheSameSnapshot(t *testing.T) {
	const name, recordCount = "00000000000000000111.snap", 111
	snapshot, _, _, _, closeLog := openLog(t, filepath.Join(copyCoreFolders(t), "a"))
	closeLog()
	folder := t.TempDir()
	writeSnapshot(t, folder, recordCount, snapshot)
	if got, want := readFiles(t, folder)[name], fixture(t, "stored", "cores", "a", name); got != want {
		t.Errorf("snapshot file %s has content %x, want %x", name, got, want)
	}
}

// readFiles returns the contents of the files in a folder, keyed by name.
func readFiles(t testing.TB, folder string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]string{}
	for _, entry := range entries {
		data, err := os.ReadFile(filepath.Join(folder, entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		files[entry.Name()] = string(data)
	}
	return files
}

func TestStoredOrdersKeepTheirBytes(t *testing.T) {
	stored := lines(t, "stored", "commands.txt")
	for _, command := range stored {
		again, err := recodeCommand(command)
		if err != nil || again != command {
			t.Errorf("%s\ndecodes and encodes as\n%s (%v)", command, again, err)
		}
	}
	for _, row := range lines(t, "stored", "bodies.txt") {
		part := strings.SplitN(row, " ", 3)
		command, err := encodeBody(part[0], part[1], part[2])
		if err != nil || !slices.Contains(stored, command) {
			t.Errorf("order\n%s\nis encoded as\n%s (%v), which is not a stored command", row, command, err)
		}
	}
}

func TestStoredOrdersGiveTheSameConfiguration(t *testing.T) {
	results, state := applyCommands(lines(t, "stored", "commands.txt"))
	sameAsFixture(t, strings.Join(results, "\n")+"\n"+state+"\n", "stored", "applied.txt")
	if again, err := recodeState(state); err != nil || again != state {
		t.Errorf("the state decodes and encodes as %s (%v)", again, err)
	}
}

func TestSheetKeepsItsBytes(t *testing.T) {
	for _, text := range lines(t, "stored", "sheets.txt") {
		again, err := recodeSheet(text)
		if err != nil || again != text {
			t.Errorf("%s\ndecodes and encodes as\n%s (%v)", text, again, err)
		}
	}
}
