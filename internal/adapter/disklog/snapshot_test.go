package disklog

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// crashingFileSystem copies the folder before its nth change, as a crash at that
// point would leave it.
type crashingFileSystem struct {
	FileSystem
	remaining int
	folder    string
	t         testing.TB
	crashCopy string
}

func (d *crashingFileSystem) step() {
	if d.remaining--; d.remaining == 0 {
		d.crashCopy = copyFolder(d.t, d.folder)
	}
}

func (d *crashingFileSystem) Create(path string) (File, error) {
	d.step()
	f, err := d.FileSystem.Create(path)
	if err != nil {
		return nil, err
	}
	return crashingFile{f, d}, nil
}
func (d *crashingFileSystem) Rename(from, to string) error {
	d.step()
	return d.FileSystem.Rename(from, to)
}
func (d *crashingFileSystem) Remove(path string) error {
	d.step()
	return d.FileSystem.Remove(path)
}

func (d *crashingFileSystem) SyncFolder(f string) error {
	d.step()
	return d.FileSystem.SyncFolder(f)
}

type crashingFile struct {
	File
	disk *crashingFileSystem
}

func (f crashingFile) Write(p []byte) (int, error) {
	f.disk.step()
	n, err := f.File.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	f.disk.step()
	more, err := f.File.Write(p[len(p)/2:])
	return n + more, err
}
func (f crashingFile) Sync() error {
	f.disk.step()
	return f.File.Sync()
}

func TestCrashAtEverySnapshotStep(t *testing.T) {
	for step := 1; ; step++ {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 200, FileSystem: noSyncFileSystem{System()}}
		l, _ := open(t, cfg)
		appendSynced(t, l, 0, 20)
		if err := <-l.WriteSnapshot([]byte("20")); err != nil {
			t.Fatal(err)
		}
		appendSynced(t, l, 20, 40)
		closeLog(l)
		disk := &crashingFileSystem{FileSystem: noSyncFileSystem{System()}, folder: cfg.Folder, t: t}
		cfg.FileSystem = disk
		l, _ = open(t, cfg)
		disk.remaining = step
		if err := <-l.WriteSnapshot([]byte("40")); err != nil {
			t.Fatal(err)
		}
		closeLog(l)
		if disk.crashCopy == "" {
			if step < 8 {
				t.Fatalf("only %d steps", step)
			}
			return
		}
		l, replay, err := Open(Config{Folder: disk.crashCopy})
		if err != nil {
			t.Fatalf("step %d: %v", step, err)
		}
		closeLog(l)
		from := 20
		if string(replay.Snapshot) == "40" {
			from = 40
		}
		if diff := difference(replay, from, 40); diff != "" {
			t.Fatalf("step %d, snapshot %q: %s", step, replay.Snapshot, diff)
		}
	}
}

func TestSnapshotRightAfterAnother(t *testing.T) {
	Convey("A snapshot is written at once after another whose end was delivered", t, func() {
		l, _ := open(t, Config{Folder: t.TempDir(), FileSystem: noSyncFileSystem{System()}})
		defer closeLog(l)
		appendSynced(t, l, 0, 1)
		for next := range 2000 {
			So(<-l.WriteSnapshot(fmt.Appendf(nil, "%d", next)), ShouldBeNil)
		}
	})
}
