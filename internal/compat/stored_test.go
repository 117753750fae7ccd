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

// copyOfCores copies the cores' data folders to a place of the test's own.
func copyOfCores(t testing.TB) string {
	t.Helper()
	root := t.TempDir()
	if err := os.CopyFS(root, os.DirFS(filepath.Join("testdata", "stored", "cores"))); err != nil {
		t.Fatal(err)
	}
	return root
}

func TestStoredFoldersReadAsWritten(t *testing.T) {
	for _, core := range []string{"a", "b", "c"} {
		t.Run(core, func(t *testing.T) {
			got := describeFolder(t, filepath.Join("testdata", "stored", "cores", core), core)
			sameAsFixture(t, got, "stored", core+".txt")
		})
	}
}

func TestStoredLogGoesOnAfterItsTornTail(t *testing.T) {
	for core, torn := range map[string]bool{"a": true, "b": false, "c": false} {
		t.Run(core, func(t *testing.T) {
			folder := filepath.Join(copyOfCores(t), core)
			snapshot, records, cut, add, end := openLog(t, folder)
			if (cut > 0) != torn {
				t.Errorf("cut %d bytes", cut)
			}
			added := [][]byte{}
			for n := range 40 {
				added = append(added, fmt.Appendf(nil, "record %d %s", n, strings.Repeat("x", 3*n)))
				add(added[n])
			}
			end()
			sameSnapshot, all, cut, _, end := openLog(t, folder)
			end()
			if cut != 0 || !bytes.Equal(sameSnapshot, snapshot) {
				t.Errorf("opened again, it cut %d bytes or has another snapshot", cut)
			}
			if !slices.EqualFunc(all, slices.Concat(records, added), bytes.Equal) {
				t.Error("opened again, it has other records")
			}
		})
	}
}

func TestStoredCoresGoOnTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(copyOfCores(t))
		defer f.stopAll()
		f.start("a", "b")
		f.voting(t, "a", "b")
		order, err := encodeBody("evacuate", "ada", `{"order_id":"next","locality":"lagos/c"}`)
		if err != nil {
			t.Fatal(err)
		}
		if version, code := f.propose(t, "b", order); version != 61 || code != 0 {
			t.Errorf("an order got epoch %d and code %d, though a has accepted another in slot 60 and c is away", version, code)
		}
		if version, code := f.propose(t, "a", lines(t, "stored", "commands.txt")[0]); version != 1 || code != 0 {
			t.Errorf("the first order sent again got epoch %d and code %d", version, code)
		}
		f.start("c")
		f.voting(t, "c")
		f.learned(t, 62)
		before := f.configuration(t, "a")
		f.stopAll()
		f.start("a", "b", "c")
		f.voting(t, "a", "b", "c")
		for _, core := range []string{"a", "b", "c"} {
			if after := f.configuration(t, core); after != before {
				t.Errorf("%s holds after a restart\n%s\nbut before\n%s", core, after, before)
			}
		}
		sameAsFixture(t, before+"\n", "stored", "continued.txt")
	})
}

func TestStoredRecordsKeepTheirBytes(t *testing.T) {
	var out strings.Builder
	records := sampleRecords()
	for _, what := range slices.Sorted(maps.Keys(records)) {
		fmt.Fprintf(&out, "%s: %s\n", what, hex.EncodeToString(records[what]))
	}
	sameAsFixture(t, out.String(), "stored", "records.txt")
	for _, row := range lines(t, "stored", "records.txt") {
		what, text, _ := strings.Cut(row, ": ")
		data, err := hex.DecodeString(text)
		if err != nil {
			t.Fatal(err)
		}
		again, err := recodeRecord(data)
		if err != nil || !bytes.Equal(again, data) {
			t.Errorf("%s is read and written again as %x (%v)", what, again, err)
		}
	}
}

func TestStoredSnapshotsKeepTheirBytes(t *testing.T) {
	for _, core := range []string{"a", "c"} {
		snapshot, _, _, _, end := openLog(t, filepath.Join(copyOfCores(t), core))
		end()
		again, err := recodeSnapshot(snapshot)
		if err != nil || !bytes.Equal(again, snapshot) {
			t.Errorf("the snapshot of %s is written again as %x (%v)", core, again, err)
		}
	}
}

// TestLogWritesTheSameFiles appends the records of a stored folder to a log of
// its own, so that a release before can read what this one writes.
func TestLogWritesTheSameFiles(t *testing.T) {
	stored := filepath.Join(copyOfCores(t), "b")
	_, records, _, _, end := openLog(t, stored)
	end()
	written := t.TempDir()
	_, _, _, add, end := openLog(t, written)
	for _, record := range records {
		add(record)
	}
	end()
	if got, want := filesOf(t, written), filesOf(t, filepath.Join("testdata", "stored", "cores", "b")); !maps.Equal(got, want) {
		t.Errorf("the log wrote %v, not %v", slices.Sorted(maps.Keys(got)), slices.Sorted(maps.Keys(want)))
		for name, data := range want {
			t.Logf("%s is %x, was %x", name, got[name], data)
		}
	}
}

func TestLogWritesTheSameSnapshot(t *testing.T) {
	const name, before = "00000000000000000111.snap", 111
	snapshot, _, _, _, end := openLog(t, filepath.Join(copyOfCores(t), "a"))
	end()
	folder := t.TempDir()
	writeSnapshot(t, folder, before, snapshot)
	if got, want := filesOf(t, folder)[name], fixture(t, "stored", "cores", "a", name); got != want {
		t.Errorf("%s is written as %x, not %x", name, got, want)
	}
}

// filesOf returns the content of a folder's files by their names.
func filesOf(t testing.TB, folder string) map[string]string {
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
			t.Errorf("%s\nis read and written again as\n%s (%v)", command, again, err)
		}
	}
	for _, row := range lines(t, "stored", "bodies.txt") {
		part := strings.SplitN(row, " ", 3)
		command, err := encodeBody(part[0], part[1], part[2])
		if err != nil || !slices.Contains(stored, command) {
			t.Errorf("%s\nis stored as\n%s (%v)", row, command, err)
		}
	}
}

func TestStoredOrdersGiveTheSameConfiguration(t *testing.T) {
	results, state := applyCommands(lines(t, "stored", "commands.txt"))
	sameAsFixture(t, strings.Join(results, "\n")+"\n"+state+"\n", "stored", "applied.txt")
	if again, err := recodeState(state); err != nil || again != state {
		t.Errorf("the state is read and written again as %s (%v)", again, err)
	}
}

func TestSheetKeepsItsBytes(t *testing.T) {
	for _, text := range lines(t, "stored", "sheets.txt") {
		again, err := recodeSheet(text)
		if err != nil || again != text {
			t.Errorf("%s\nis read and written again as\n%s (%v)", text, again, err)
		}
	}
}
