package disklog

import (
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// crashingFileSystem copies the folder before the nth change of a file, as a crash at
// that point would leave it.
type crashingFileSystem struct {
	FileSystem
	stepsUntilCrash int
	folder          string
	t               testing.TB
	crashCopy       string
}

func (d *crashingFileSystem) countStep() {
	if d.stepsUntilCrash--; d.stepsUntilCrash == 0 {
		d.crashCopy = copyFolder(d.t, d.folder)
	}
}

func (d *crashingFileSystem) Create(path string) (File, error) {
	d.countStep()
	f, err := d.FileSystem.Create(path)
	if err != nil {
		return nil, err
	}
	return crashingFile{f, d}, nil
}
func (d *crashingFileSystem) Rename(from, to string) error {
	d.countStep()
	return d.FileSystem.Rename(from, to)
}
func (d *crashingFileSystem) Remove(path string) error {
	d.countStep()
	return d.FileSystem.Remove(path)
}

func (d *crashingFileSystem) SyncFolder(f string) error {
	d.countStep()
	return d.FileSystem.SyncFolder(f)
}

type crashingFile struct {
	File
	disk *crashingFileSystem
}

func (f crashingFile) Write(p []byte) (int, error) {
	f.disk.countStep()
	n, err := f.File.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	f.disk.countStep()
	more, err := f.File.Write(p[len(p)/2:])
	return n + more, err
}
func (f crashingFile) Sync() error {
	f.disk.countStep()
	return f.File.Sync()
}

func TestCrashAtEverySnapshotStep(t *testing.T) {
	for step := 1; ; step++ {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 200, FileSystem: noSyncFileSystem{OSFileSystem()}}
		l, _ := mustOpen(t, cfg)
		appendSynced(t, l, 0, 20)
		if err := <-l.WriteSnapshot([]byte("20")); err != nil {
			t.Fatal(err)
		}
		appendSynced(t, l, 20, 40)
		closeLog(l)
		disk := &crashingFileSystem{FileSystem: noSyncFileSystem{OSFileSystem()}, folder: cfg.Folder, t: t}
		cfg.FileSystem = disk
		l, _ = mustOpen(t, cfg)
		disk.stepsUntilCrash = step
		if err := <-l.WriteSnapshot([]byte("40")); err != nil {
			t.Fatal(err)
		}
		closeLog(l)
		if disk.crashCopy == "" {
			if step < 8 {
				t.Fatalf("the snapshot completed within %d steps, want at least 8", step)
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
		if diff := recordsDifference(replay, from, 40); diff != "" {
			t.Fatalf("step %d, snapshot %q: %s", step, replay.Snapshot, diff)
		}
	}
}

func TestSnapshotRightAfterAnother(t *testing.T) {
	Convey("A snapshot requested as soon as the previous one is done is not rejected as busy", t, func() {
		l, _ := mustOpen(t, Config{Folder: t.TempDir(), FileSystem: noSyncFileSystem{OSFileSystem()}})
		defer closeLog(l)
		appendSynced(t, l, 0, 1)
		for next := range 2000 {
			So(<-l.WriteSnapshot(fmt.Appendf(nil, "%d", next)), ShouldBeNil)
		}
	})
}
