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
	Convey("Synced records are replayed, over segments and snapshots", t, func() {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 400}
		l, replay := open(t, cfg)
		So(replay.Records, ShouldBeEmpty)
		appendSynced(t, l, 0, 60)
		closeLog(l)
		So(len(files(cfg.Folder, segmentSuffix)), ShouldBeGreaterThan, 3)
		l, replay = open(t, cfg)
		So(difference(replay, 0, 60), ShouldBeEmpty)
		So(l.LastIndex(), ShouldEqual, 60)
		So(<-l.WriteSnapshot([]byte("sixty")), ShouldBeNil)
		appendSynced(t, l, 60, 70)
		closeLog(l)
		l, replay = open(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "sixty")
		So(difference(replay, 60, 70), ShouldBeEmpty)
		So(<-l.WriteSnapshot([]byte("seventy")), ShouldBeNil)
		closeLog(l)
		So(len(files(cfg.Folder, segmentSuffix)), ShouldEqual, 0)
		So(len(files(cfg.Folder, snapshotSuffix)), ShouldEqual, 1)
		l, replay = open(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "seventy")
		So(replay.Records, ShouldBeEmpty)
		So(l.LastIndex(), ShouldEqual, 70)
		So(l.Used(), ShouldEqual, snapshotHeaderSize+len("seventy"))
		closeLog(l)
	})
}

func TestGroupCommitOnASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := open(t, Config{Folder: t.TempDir(), SyncDelay: 2 * time.Second})
		appendSynced(t, l, 0, 1)
		start := time.Now()
		var index uint64
		for n := 1; n < 500; n++ {
			index, _ = l.Append([][]byte{record(n)}, Ordinary)
		}
		if elapsed := time.Since(start); elapsed != 0 {
			t.Errorf("appends waited %v", elapsed)
		}
		awaitSynced(t, l, index)
		if elapsed := time.Since(start); elapsed > 4*time.Second {
			t.Errorf("499 appends took %v: not synced together", elapsed)
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
		cfg := Config{Folder: folder, FileSystem: noSyncFileSystem{System()}, SegmentBytes: int64(rapid.IntRange(50, 500).Draw(r, "segment"))}
		l, _ := open(t, cfg)
		next, base := 0, 0
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
				base = next
			case "reopen":
				closeLog(l)
				var replay Replay
				l, replay = open(t, cfg)
				if diff := difference(replay, base, next); diff != "" || base > 0 && string(replay.Snapshot) != fmt.Sprint(base) {
					r.Fatalf("snapshot %q, due %d: %s", replay.Snapshot, base, diff)
				}
			}
		}
		closeLog(l)
		infos, _ := System().List(folder)
		sum := int64(0)
		for _, info := range infos {
			if info.Name() != reserveFileName && !info.IsDir() && info.Mode()&fs.ModeType == 0 {
				sum += info.Size()
			}
		}
		if sum != l.Used() {
			r.Fatalf("%d bytes on disk, %d counted", sum, l.Used())
		}
	})
}

func BenchmarkSyncedAppends(b *testing.B) {
	for _, writers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("%d at a time", writers), func(b *testing.B) {
			l, _ := open(b, Config{Folder: b.TempDir()})
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
			awaitAll(l, synced)
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
		})
	}
}

func awaitAll(l *Log, synced uint64) {
	for synced < l.LastIndex() {
		synced = <-l.Synced()
	}
}
