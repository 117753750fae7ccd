package disklog

import (
	"errors"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
)

func TestErrorsAreTyped(t *testing.T) {
	Convey("A corrupt record is a CorruptionError with code BadRecord", t, func() {
		folder, path, data := writeSampleSegment(t)
		offset := segmentHeaderSize + frameHeaderSize + len(record(0))
		data[offset+frameHeaderSize] ^= 1
		So(os.WriteFile(path, data, 0o600), ShouldBeNil)
		_, _, err := Open(Config{Folder: folder})
		var corrupt *CorruptionError
		So(errors.As(err, &corrupt), ShouldBeTrue)
		So(*corrupt, ShouldResemble, CorruptionError{File: segmentFileName(1), Offset: offset, Problem: "a bad record"})
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
		So(err.Error(), ShouldEqual, apierror.From(err).Error())
	})
	Convey("An append that exceeds the quota is a FullError with code DiskFull", t, func() {
		l, _ := mustOpen(t, Config{Folder: t.TempDir(), QuotaBytes: 400, ReserveBytes: 100})
		defer closeLog(l)
		_, err := l.Append([][]byte{make([]byte, 400)}, Ordinary)
		var full *FullError
		So(errors.As(err, &full), ShouldBeTrue)
		So(full.Detail, ShouldEqual, "append of 428 bytes: 0 bytes used, reserve 100 bytes, quota 400 bytes (0 for none)")
		So(apierror.From(err).Code, ShouldEqual, apierror.DiskFull)
	})
	Convey("A record over the limit is a RecordSizeError", t, func() {
		l, _ := mustOpen(t, Config{Folder: t.TempDir()})
		defer closeLog(l)
		_, err := l.Append([][]byte{make([]byte, maxRecordBytes+1)}, Ordinary)
		var size *RecordSizeError
		So(errors.As(err, &size), ShouldBeTrue)
		So(size.Size, ShouldEqual, maxRecordBytes+1)
	})
	Convey("A closed log returns ErrClosed", t, func() {
		l, _ := mustOpen(t, Config{Folder: t.TempDir()})
		closeLog(l)
		_, err := l.Append([][]byte{record(0)}, Ordinary)
		So(errors.Is(err, ErrClosed), ShouldBeTrue)
		So(errors.Is(<-l.WriteSnapshot(nil), ErrClosed), ShouldBeTrue)
	})
	Convey("A full disk queue is a BusyError with code CoreUnreachable", t, func() {
		err := queueFullError()
		var busy *BusyError
		So(errors.As(err, &busy), ShouldBeTrue)
		So(apierror.From(err).Code, ShouldEqual, apierror.CoreUnreachable)
	})
}
