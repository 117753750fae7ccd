package disklog

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
)

// writeLastBatch writes nine records singly and a batch of four, and returns the
// only segment.
func writeLastBatch(t testing.TB) (folder, path string, data []byte) {
	cfg := Config{Folder: t.TempDir()}
	l, _ := open(t, cfg)
	appendSynced(t, l, 0, 9)
	index, err := l.Append([][]byte{record(9), record(10), record(11), record(12)}, Ordinary)
	if err != nil {
		t.Fatal(err)
	}
	awaitSynced(t, l, index)
	closeLog(l)
	path = files(cfg.Folder, segmentSuffix)[0]
	data, err = os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return cfg.Folder, path, data
}

func TestTornTailAtEveryByte(t *testing.T) {
	_, _, data := writeLastBatch(t)
	ends := []int{segmentHeaderSize}
	for n := range 13 {
		ends = append(ends, ends[n]+frameHeaderSize+len(record(n)))
	}
	for length := 0; length <= len(data); length++ {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentFileName(1)), data[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		complete := 0
		for complete < 13 && ends[complete+1] <= length {
			complete++
		}
		l, replay := open(t, Config{Folder: folder, FileSystem: noSyncFileSystem{System()}})
		if diff := difference(replay, 0, complete); diff != "" {
			t.Fatalf("cut to %d bytes: %s", length, diff)
		}
		appendSynced(t, l, complete, complete+2)
		closeLog(l)
		l, replay = open(t, Config{Folder: folder, FileSystem: noSyncFileSystem{System()}})
		if diff := difference(replay, 0, complete+2); diff != "" {
			t.Fatalf("cut to %d bytes, then two more records: %s", length, diff)
		}
		closeLog(l)
	}
}

func TestFlipOfEveryByte(t *testing.T) {
	_, _, data := writeLastBatch(t)
	batch := segmentHeaderSize
	for n := range 9 {
		batch += frameHeaderSize + len(record(n))
	}
	for at := range data {
		bad := bytes.Clone(data)
		bad[at] ^= 0x40
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentFileName(1)), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		l, replay, err := Open(Config{Folder: folder, FileSystem: noSyncFileSystem{System()}})
		if at < batch {
			if apierror.From(err) == nil || apierror.From(err).Code != apierror.BadRecord {
				t.Fatalf("byte %d of a record before the last batch: %v", at, err)
			}
			left, _ := os.ReadFile(filepath.Join(folder, segmentFileName(1)))
			if !bytes.Equal(left, bad) {
				t.Fatalf("byte %d: the bad segment was changed", at)
			}
			continue
		}
		if err != nil {
			t.Fatalf("byte %d of the last batch: %v", at, err)
		}
		if len(replay.Records) < 9 || difference(Replay{Records: replay.Records[:9]}, 0, 9) != "" {
			t.Fatalf("byte %d of the last batch: an earlier record is lost", at)
		}
		closeLog(l)
	}
}

func TestCorruptionNamesSegmentAndOffset(t *testing.T) {
	Convey("A bad earlier record is an error that names segment and offset", t, func() {
		folder, path, data := writeLastBatch(t)
		data[segmentHeaderSize+frameHeaderSize+len(record(0))+frameHeaderSize] ^= 1
		So(os.WriteFile(path, data, 0o600), ShouldBeNil)
		_, _, err := Open(Config{Folder: folder})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, fmt.Sprintf("%s at offset %d", segmentFileName(1), segmentHeaderSize+frameHeaderSize+len(record(0))))
	})
	Convey("So are a missing segment and a removed snapshot", t, func() {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 200}
		l, _ := open(t, cfg)
		appendSynced(t, l, 0, 40)
		closeLog(l)
		middle := copyFolder(t, cfg.Folder)
		So(os.Remove(files(middle, segmentSuffix)[2]), ShouldBeNil)
		_, _, err := Open(Config{Folder: middle})
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
		l, _ = open(t, cfg)
		So(<-l.WriteSnapshot([]byte("forty")), ShouldBeNil)
		appendSynced(t, l, 40, 45)
		closeLog(l)
		So(os.Remove(files(cfg.Folder, snapshotSuffix)[0]), ShouldBeNil)
		_, _, err = Open(cfg)
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
	})
}
