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

// writeSampleSegment writes nine batches of one record and a batch of four, and
// returns the only segment.
func writeSampleSegment(t testing.TB) (folder, path string, data []byte) {
	cfg := Config{Folder: t.TempDir()}
	l, _ := mustOpen(t, cfg)
	appendSynced(t, l, 0, 9)
	index, err := l.Append([][]byte{record(9), record(10), record(11), record(12)}, Ordinary)
	if err != nil {
		t.Fatal(err)
	}
	awaitSynced(t, l, index)
	closeLog(l)
	path = filesWithSuffix(cfg.Folder, segmentSuffix)[0]
	data, err = os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return cfg.Folder, path, data
}

func TestTornTailAtEveryByte(t *testing.T) {
	_, _, data := writeSampleSegment(t)
	recordEnds := []int{segmentHeaderSize}
	for n := range 13 {
		recordEnds = append(recordEnds, recordEnds[n]+frameHeaderSize+len(record(n)))
	}
	for length := 0; length <= len(data); length++ {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentFileName(1)), data[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		completeRecords := 0
		for completeRecords < 13 && recordEnds[completeRecords+1] <= length {
			completeRecords++
		}
		l, replay := mustOpen(t, Config{Folder: folder, FileSystem: noSyncFileSystem{OSFileSystem()}})
		if diff := recordsDifference(replay, 0, completeRecords); diff != "" {
			t.Fatalf("truncated to %d bytes: %s", length, diff)
		}
		appendSynced(t, l, completeRecords, completeRecords+2)
		closeLog(l)
		l, replay = mustOpen(t, Config{Folder: folder, FileSystem: noSyncFileSystem{OSFileSystem()}})
		if diff := recordsDifference(replay, 0, completeRecords+2); diff != "" {
			t.Fatalf("truncated to %d bytes, after two further appends: %s", length, diff)
		}
		closeLog(l)
	}
}

func TestBitFlipInEveryByte(t *testing.T) {
	_, _, data := writeSampleSegment(t)
	lastBatchOffset := segmentHeaderSize
	for n := range 9 {
		lastBatchOffset += frameHeaderSize + len(record(n))
	}
	for offset := range data {
		corrupted := bytes.Clone(data)
		corrupted[offset] ^= 0x40
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentFileName(1)), corrupted, 0o600); err != nil {
			t.Fatal(err)
		}
		l, replay, err := Open(Config{Folder: folder, FileSystem: noSyncFileSystem{OSFileSystem()}})
		if offset < lastBatchOffset {
			if apierror.From(err) == nil || apierror.From(err).Code != apierror.BadRecord {
				t.Fatalf("byte %d, before the last batch, flipped: Open returned %v, want code BadRecord", offset, err)
			}
			content, _ := os.ReadFile(filepath.Join(folder, segmentFileName(1)))
			if !bytes.Equal(content, corrupted) {
				t.Fatalf("byte %d flipped: Open changed the corrupt segment", offset)
			}
			continue
		}
		if err != nil {
			t.Fatalf("byte %d, in the last batch, flipped: Open returned %v", offset, err)
		}
		if len(replay.Records) < 9 || recordsDifference(Replay{Records: replay.Records[:9]}, 0, 9) != "" {
			t.Fatalf("byte %d, in the last batch, flipped: a record of an earlier batch is lost", offset)
		}
		closeLog(l)
	}
}

func TestCorruptionNamesSegmentAndOffset(t *testing.T) {
	Convey("A corrupt record before the last batch is an error that names segment and offset", t, func() {
		folder, path, data := writeSampleSegment(t)
		data[segmentHeaderSize+frameHeaderSize+len(record(0))+frameHeaderSize] ^= 1
		So(os.WriteFile(path, data, 0o600), ShouldBeNil)
		_, _, err := Open(Config{Folder: folder})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, fmt.Sprintf("%s at offset %d", segmentFileName(1), segmentHeaderSize+frameHeaderSize+len(record(0))))
	})
	Convey("A missing segment or snapshot is a BadRecord error", t, func() {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 200}
		l, _ := mustOpen(t, cfg)
		appendSynced(t, l, 0, 40)
		closeLog(l)
		gapFolder := copyFolder(t, cfg.Folder)
		So(os.Remove(filesWithSuffix(gapFolder, segmentSuffix)[2]), ShouldBeNil)
		_, _, err := Open(Config{Folder: gapFolder})
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
		l, _ = mustOpen(t, cfg)
		So(<-l.WriteSnapshot([]byte("forty")), ShouldBeNil)
		appendSynced(t, l, 40, 45)
		closeLog(l)
		So(os.Remove(filesWithSuffix(cfg.Folder, snapshotSuffix)[0]), ShouldBeNil)
		_, _, err = Open(cfg)
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
	})
}

// TestOlderSnapshotIsNotUsedWithoutSegments guards against a start from a state that lacks records of the newer one.
func TestOlderSnapshotIsNotUsedWithoutSegments(t *testing.T) {
	Convey("With a corrupt newer snapshot and no segment, the log does not open", t, func() {
		cfg := Config{Folder: t.TempDir()}
		l, _ := mustOpen(t, cfg)
		appendSynced(t, l, 0, 10)
		So(<-l.WriteSnapshot([]byte("ten")), ShouldBeNil)
		older := filesWithSuffix(cfg.Folder, snapshotSuffix)[0]
		olderData, err := os.ReadFile(older)
		So(err, ShouldBeNil)
		appendSynced(t, l, 10, 20)
		So(<-l.WriteSnapshot([]byte("twenty")), ShouldBeNil)
		closeLog(l)
		newer := filesWithSuffix(cfg.Folder, snapshotSuffix)
		newerPath := newer[len(newer)-1]
		newerData, err := os.ReadFile(newerPath)
		So(err, ShouldBeNil)
		newerData[len(newerData)-1] ^= 1
		So(os.WriteFile(newerPath, newerData, 0o600), ShouldBeNil)
		So(os.WriteFile(older, olderData, 0o600), ShouldBeNil)
		for _, segment := range filesWithSuffix(cfg.Folder, segmentSuffix) {
			So(os.Remove(segment), ShouldBeNil)
		}
		_, _, err = Open(cfg)
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
	})
}
