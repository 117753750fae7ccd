package disklog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func record(n int) []byte { return fmt.Appendf(nil, "record %d %s", n, strings.Repeat("x", n%37)) }

func mustOpen(t testing.TB, cfg Config) (*Log, Replay) {
	t.Helper()
	l, replay, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l, replay
}

// appendSynced appends records one by one and waits until each is synced.
func appendSynced(t testing.TB, l *Log, from, to int) {
	t.Helper()
	for n := from; n < to; n++ {
		index, err := l.Append([][]byte{record(n)}, Ordinary)
		if err != nil {
			t.Fatal(err)
		}
		awaitSynced(t, l, index)
	}
}

// awaitSynced waits until all records up to an index are synced.
func awaitSynced(t testing.TB, l *Log, index uint64) {
	t.Helper()
	for {
		select {
		case synced := <-l.Synced():
			if synced >= index {
				return
			}
		case <-l.Failed():
			t.Fatal(l.Err())
		}
	}
}

// noSyncFileSystem doesn't sync, for tests that need no durability.
type noSyncFileSystem struct{ FileSystem }

type noSyncFile struct{ File }

func (d noSyncFileSystem) Create(path string) (File, error) { return d.wrap(d.FileSystem.Create(path)) }
func (d noSyncFileSystem) Open(path string) (File, error)   { return d.wrap(d.FileSystem.Open(path)) }
func (d noSyncFileSystem) SyncFolder(string) error          { return nil }
func (d noSyncFileSystem) Allocate(string, int64) error     { return nil }
func (noSyncFile) Sync() error                              { return nil }
func (noSyncFileSystem) wrap(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return noSyncFile{f}, nil
}

// closeLog closes a log; records that are not synced may be lost.
func closeLog(l *Log) { _ = l.Close() }

// recordsDifference describes how a replay differs from the records numbered from to
// to-1; it is empty if they are equal.
func recordsDifference(replay Replay, from, to int) string {
	if len(replay.Records) != to-from {
		return fmt.Sprintf("got %d records, want %d", len(replay.Records), to-from)
	}
	for i, got := range replay.Records {
		if !bytes.Equal(got, record(from+i)) {
			return fmt.Sprintf("record %d is %q", from+i, got)
		}
	}
	return ""
}

// filesWithSuffix returns the paths of a folder's files whose names have a suffix.
func filesWithSuffix(folder, suffix string) (paths []string) {
	entries, _ := os.ReadDir(folder)
	for _, entry := range entries {
		if strings.HasSuffix(entry.Name(), suffix) {
			paths = append(paths, filepath.Join(folder, entry.Name()))
		}
	}
	return paths
}

func copyFolder(t testing.TB, from string) string {
	t.Helper()
	to := t.TempDir()
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}
