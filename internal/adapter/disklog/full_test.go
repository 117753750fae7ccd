package disklog

import (
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFullDisk(t *testing.T) {
	Convey("Under a quota only complete records are written, and a snapshot frees space", t, func() {
		cfg := Config{Folder: t.TempDir(), QuotaBytes: 4000, ReserveBytes: 1000}
		l, _ := mustOpen(t, cfg)
		synced := 0
		var err error
		for err == nil {
			var index uint64
			if index, err = l.Append([][]byte{record(synced)}, Ordinary); err == nil {
				awaitSynced(t, l, index)
				synced++
			}
		}
		So(apierror.From(err).Code, ShouldEqual, apierror.DiskFull)
		So(l.Full(), ShouldBeTrue)
		So(l.UsedBytes(), ShouldBeLessThanOrEqualTo, 3000)
		index, err := l.Append([][]byte{record(synced)}, Urgent)
		So(err, ShouldBeNil)
		awaitSynced(t, l, index)
		So(apierror.From(<-l.WriteSnapshot(make([]byte, 1100))).Code, ShouldEqual, apierror.DiskFull)
		closeLog(l)
		l, replay := mustOpen(t, cfg)
		So(recordsDifference(replay, 0, synced+1), ShouldBeEmpty)
		So(<-l.WriteSnapshot([]byte("small")), ShouldBeNil)
		So(l.Full(), ShouldBeFalse)
		appendSynced(t, l, 0, 10)
		closeLog(l)
	})
	Convey("On a disk that fills up the log fails without a partial record and reopens as full", t, func() {
		disk := &limitedFileSystem{FileSystem: OSFileSystem(), freeBytes: 3000}
		cfg := Config{Folder: t.TempDir(), FileSystem: disk}
		l, _ := mustOpen(t, cfg)
		synced := 0
		for l.Err() == nil {
			if _, err := l.Append([][]byte{record(synced)}, Ordinary); err != nil {
				break
			}
			select {
			case <-l.Synced():
				synced++
			case <-l.Failed():
			}
		}
		So(apierror.From(l.Err()).Code, ShouldEqual, apierror.DiskFull)
		closeLog(l)
		l, replay := mustOpen(t, cfg)
		So(recordsDifference(replay, 0, synced), ShouldBeEmpty)
		So(replay.TornBytes, ShouldEqual, 0)
		So(l.Full(), ShouldBeTrue)
		_, err := l.Append([][]byte{record(0)}, Ordinary)
		So(apierror.From(err).Code, ShouldEqual, apierror.DiskFull)
		So(<-l.WriteSnapshot([]byte("with the reserve")), ShouldBeNil)
		closeLog(l)
		disk.freeBytes = 1 << 20
		l, replay = mustOpen(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "with the reserve")
		So(l.Full(), ShouldBeFalse)
		closeLog(l)
	})
	Convey("After a failed sync the log accepts no further appends", t, func() {
		disk := &limitedFileSystem{FileSystem: OSFileSystem(), freeBytes: 1 << 30}
		l, _ := mustOpen(t, Config{Folder: t.TempDir(), FileSystem: disk})
		appendSynced(t, l, 0, 3)
		disk.failSync.Store(true)
		_, err := l.Append([][]byte{record(3)}, Ordinary)
		So(err, ShouldBeNil)
		<-l.Failed()
		disk.failSync.Store(false)
		_, err = l.Append([][]byte{record(4)}, Ordinary)
		So(err, ShouldNotBeNil)
		closeLog(l)
	})
}

// limitedFileSystem has limited free space: writes use it up, and removal of the
// reserve file adds the reserve's bytes to it.
type limitedFileSystem struct {
	FileSystem
	freeBytes     int64
	reservedBytes int64
	failSync      atomic.Bool
}

type limitedFile struct {
	File
	disk *limitedFileSystem
}

func (d *limitedFileSystem) Create(path string) (File, error) {
	return d.wrap(d.FileSystem.Create(path))
}
func (d *limitedFileSystem) Open(path string) (File, error) { return d.wrap(d.FileSystem.Open(path)) }
func (d *limitedFileSystem) wrap(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return limitedFile{f, d}, nil
}

func (d *limitedFileSystem) Allocate(path string, _ int64) error {
	if strings.HasSuffix(path, reserveFileName) {
		if d.reservedBytes == 0 {
			d.reservedBytes = 500
			return d.FileSystem.Allocate(path, 500)
		}
		return nil
	}
	if d.freeBytes < 300 {
		return syscall.ENOSPC
	}
	return nil
}

func (d *limitedFileSystem) Remove(path string) error {
	if strings.HasSuffix(path, reserveFileName) {
		d.freeBytes, d.reservedBytes = d.freeBytes+d.reservedBytes, 0
	}
	if err := d.FileSystem.Remove(path); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}

func (f limitedFile) Write(p []byte) (int, error) {
	n := min(len(p), int(f.disk.freeBytes))
	written, err := f.File.Write(p[:n])
	f.disk.freeBytes -= int64(written)
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return written, err
}

func (f limitedFile) Sync() error {
	if f.disk.failSync.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}
