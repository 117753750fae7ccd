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
	Convey("Under a quota only complete records are written, and a snapshot makes room again", t, func() {
		cfg := Config{Folder: t.TempDir(), Quota: 4000, ReserveBytes: 1000}
		l, _ := open(t, cfg)
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
		So(l.Used(), ShouldBeLessThanOrEqualTo, 3000)
		index, err := l.Append([][]byte{record(synced)}, Urgent)
		So(err, ShouldBeNil)
		awaitSynced(t, l, index)
		So(apierror.From(<-l.WriteSnapshot(make([]byte, 1100))).Code, ShouldEqual, apierror.DiskFull)
		closeLog(l)
		l, replay := open(t, cfg)
		So(difference(replay, 0, synced+1), ShouldBeEmpty)
		So(<-l.WriteSnapshot([]byte("small")), ShouldBeNil)
		So(l.Full(), ShouldBeFalse)
		appendSynced(t, l, 0, 10)
		closeLog(l)
	})
	Convey("On a disk that fills up, the log fails without a half-written record and opens as full", t, func() {
		disk := &smallFileSystem{FileSystem: System(), left: 3000}
		cfg := Config{Folder: t.TempDir(), FileSystem: disk}
		l, _ := open(t, cfg)
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
		l, replay := open(t, cfg)
		So(difference(replay, 0, synced), ShouldBeEmpty)
		So(replay.TornBytes, ShouldEqual, 0)
		So(l.Full(), ShouldBeTrue)
		_, err := l.Append([][]byte{record(0)}, Ordinary)
		So(apierror.From(err).Code, ShouldEqual, apierror.DiskFull)
		So(<-l.WriteSnapshot([]byte("with the reserve")), ShouldBeNil)
		closeLog(l)
		disk.left = 1 << 20
		l, replay = open(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "with the reserve")
		So(l.Full(), ShouldBeFalse)
		closeLog(l)
	})
	Convey("A failed sync fails the log for good", t, func() {
		disk := &smallFileSystem{FileSystem: System(), left: 1 << 30}
		l, _ := open(t, Config{Folder: t.TempDir(), FileSystem: disk})
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

// smallFileSystem has little room left: files take from it, and the reserve gives
// its bytes back when it is removed.
type smallFileSystem struct {
	FileSystem
	left     int64
	reserved int64
	failSync atomic.Bool
}

type smallFile struct {
	File
	disk *smallFileSystem
}

func (d *smallFileSystem) Create(path string) (File, error) { return d.wrap(d.FileSystem.Create(path)) }
func (d *smallFileSystem) Open(path string) (File, error)   { return d.wrap(d.FileSystem.Open(path)) }
func (d *smallFileSystem) wrap(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return smallFile{f, d}, nil
}

func (d *smallFileSystem) Allocate(path string, _ int64) error {
	if strings.HasSuffix(path, reserveFileName) {
		if d.reserved == 0 {
			d.reserved = 500
			return d.FileSystem.Allocate(path, 500)
		}
		return nil
	}
	if d.left < 300 {
		return syscall.ENOSPC
	}
	return nil
}

func (d *smallFileSystem) Remove(path string) error {
	if strings.HasSuffix(path, reserveFileName) {
		d.left, d.reserved = d.left+d.reserved, 0
	}
	if err := d.FileSystem.Remove(path); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}

func (f smallFile) Write(p []byte) (int, error) {
	n := min(len(p), int(f.disk.left))
	written, err := f.File.Write(p[:n])
	f.disk.left -= int64(written)
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return written, err
}

func (f smallFile) Sync() error {
	if f.disk.failSync.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}
