package disklog

import (
	"fmt"
	"io/fs"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func TestReopenReplaysSyncedRecords(t *testing.T) {
	Convey("Synced records are replayed across segments and snapshots", t, func() {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 400}
		l, replay := mustOpen(t, cfg)
		So(replay.Records, ShouldBeEmpty)
		appendSynced(t, l, 0, 60)
		closeLog(l)
		So(len(filesWithSuffix(cfg.Folder, segmentSuffix)), ShouldBeGreaterThan, 3)
		l, replay = mustOpen(t, cfg)
		So(recordsDifference(replay, 0, 60), ShouldBeEmpty)
		So(l.LastIndex(), ShouldEqual, 60)
		So(<-l.WriteSnapshot([]byte("sixty")), ShouldBeNil)
		appendSynced(t, l, 60, 70)
		closeLog(l)
		l, replay = mustOpen(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "sixty")
		So(recordsDifference(replay, 60, 70), ShouldBeEmpty)
		So(<-l.WriteSnapshot([]byte("seventy")), ShouldBeNil)
		closeLog(l)
		So(len(filesWithSuffix(cfg.Folder, segmentSuffix)), ShouldEqual, 0)
		So(len(filesWithSuffix(cfg.Folder, snapshotSuffix)), ShouldEqual, 1)
		l, replay = mustOpen(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "seventy")
		So(replay.Records, ShouldBeEmpty)
		So(l.LastIndex(), ShouldEqual, 70)
		So(l.UsedBytes(), ShouldEqual, snapshotHeaderSize+len("seventy"))
		closeLog(l)
	})
}

func TestGroupCommitOnASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := mustOpen(t, Config{Folder: t.TempDir(), SyncDelay: 2 * time.Second})
		appendSynced(t, l, 0, 1)
		start := time.Now()
		var index uint64
		for n := 1; n < 500; n++ {
			index, _ = l.Append([][]byte{record(n)}, Ordinary)
		}
		if elapsed := time.Since(start); elapsed != 0 {
			t.Errorf("appends blocked for %v", elapsed)
		}
		awaitSynced(t, l, index)
		if elapsed := time.Since(start); elapsed > 4*time.Second {
			t.Errorf("499 appends took %v, want at most 4s: not synced together", elapsed)
		}
		closeLog(l)
	})
}

func TestAnyHistoryReplays(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "log")
		if err != nil {
			r.Fatal(err)
		}
		cfg := Config{Folder: folder, FileSystem: noSyncFileSystem{OSFileSystem()}, SegmentBytes: int64(rapid.IntRange(50, 500).Draw(r, "segment"))}
		l, _ := mustOpen(t, cfg)
		next, snapshotEnd := 0, 0
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			switch rapid.SampledFrom([]string{"append", "append", "snapshot", "reopen"}).Draw(r, "step") {
			case "append":
				count := rapid.IntRange(1, 5).Draw(r, "records")
				appendSynced(t, l, next, next+count)
				next += count
			case "snapshot":
				if err := <-l.WriteSnapshot(fmt.Appendf(nil, "%d", next)); err != nil {
					r.Fatal(err)
				}
				snapshotEnd = next
			case "reopen":
				closeLog(l)
				var replay Replay
				l, replay = mustOpen(t, cfg)
				if diff := recordsDifference(replay, snapshotEnd, next); diff != "" || snapshotEnd > 0 && string(replay.Snapshot) != fmt.Sprint(snapshotEnd) {
					r.Fatalf("snapshot %q, want %d: %s", replay.Snapshot, snapshotEnd, diff)
				}
			}
		}
		closeLog(l)
		infos, _ := OSFileSystem().List(folder)
		sizeOnDisk := int64(0)
		for _, info := range infos {
			if info.Name() != reserveFileName && !info.IsDir() && info.Mode()&fs.ModeType == 0 {
				sizeOnDisk += info.Size()
			}
		}
		if sizeOnDisk != l.UsedBytes() {
			r.Fatalf("%d bytes on disk, UsedBytes is %d", sizeOnDisk, l.UsedBytes())
		}
	})
}

func BenchmarkSyncedAppends(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("%d at a time", writers), func(b *testing.B) {
			l, _ := mustOpen(b, Config{Folder: b.TempDir()})
			defer closeLog(l)
			data := make([]byte, 200)
			synced := uint64(0)
			for n := 0; n < b.N; {
				for l.LastIndex()-synced < uint64(writers) && n < b.N {
					if _, err := l.Append([][]byte{data}, Ordinary); err != nil {
						b.Fatal(err)
					}
					n++
				}
				synced = <-l.Synced()
			}
			awaitAllSynced(l, synced)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
		})
	}
}

func awaitAllSynced(l *Log, synced uint64) {
	for synced < l.LastIndex() {
		synced = <-l.Synced()
	}
}
