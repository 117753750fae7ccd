package disklog

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"stepwick/internal/apierror"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

func record(n int) []byte { return fmt.Appendf(nil, "record %d %s", n, strings.Repeat("x", n%37)) }

func open(t testing.TB, cfg Config) (*Log, Replay) {
	t.Helper()
	l, replay, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return l, replay
}

// put appends records one by one and waits until each is synced.
func put(t testing.TB, l *Log, from, to int) {
	t.Helper()
	for n := from; n < to; n++ {
		place, err := l.Append([][]byte{record(n)}, false)
		if err != nil {
			t.Fatal(err)
		}
		await(t, l, place)
	}
}

func await(t testing.TB, l *Log, place uint64) {
	t.Helper()
	for {
		select {
		case synced := <-l.Synced():
			if synced >= place {
				return
			}
		case <-l.Failed():
			t.Fatal(l.Err())
		}
	}
}

// unsynced spares the machine's disk: what these tests lose, they lose on purpose.
type unsynced struct{ Disk }

type unsyncedFile struct{ File }

func (d unsynced) Create(path string) (File, error) { return d.wrap(d.Disk.Create(path)) }
func (d unsynced) Open(path string) (File, error)   { return d.wrap(d.Disk.Open(path)) }
func (d unsynced) SyncFolder(string) error          { return nil }
func (d unsynced) Allocate(string, int64) error     { return nil }
func (unsyncedFile) Sync() error                    { return nil }
func (unsynced) wrap(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return unsyncedFile{f}, nil
}

func shutdown(l *Log) { _ = l.Close() }

// holds checks that a replay is the records from one number up to another.
func holds(replay Replay, from, to int) string {
	if len(replay.Records) != to-from {
		return fmt.Sprintf("%d records, not %d", len(replay.Records), to-from)
	}
	for i, got := range replay.Records {
		if !bytes.Equal(got, record(from+i)) {
			return fmt.Sprintf("record %d is %q", from+i, got)
		}
	}
	return ""
}

func files(folder, suffix string) (paths []string) {
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

func TestReopen(t *testing.T) {
	Convey("What was synced is there again, over segments and snapshots", t, func() {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 400}
		l, replay := open(t, cfg)
		So(replay.Records, ShouldBeEmpty)
		put(t, l, 0, 60)
		shutdown(l)
		So(len(files(cfg.Folder, segmentSuffix)), ShouldBeGreaterThan, 3)
		l, replay = open(t, cfg)
		So(holds(replay, 0, 60), ShouldBeEmpty)
		So(l.LastIndex(), ShouldEqual, 60)
		So(<-l.WriteSnapshot([]byte("sixty")), ShouldBeNil)
		put(t, l, 60, 70)
		shutdown(l)
		l, replay = open(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "sixty")
		So(holds(replay, 60, 70), ShouldBeEmpty)
		So(<-l.WriteSnapshot([]byte("seventy")), ShouldBeNil)
		shutdown(l)
		So(len(files(cfg.Folder, segmentSuffix)), ShouldEqual, 0)
		So(len(files(cfg.Folder, snapshotSuffix)), ShouldEqual, 1)
		l, replay = open(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "seventy")
		So(replay.Records, ShouldBeEmpty)
		So(l.LastIndex(), ShouldEqual, 70)
		So(l.Used(), ShouldEqual, snapshotHead+len("seventy"))
		shutdown(l)
	})
}

// lastBatch writes nine records singly and a batch of four, and returns the
// only segment.
func lastBatch(t testing.TB) (folder, path string, data []byte) {
	cfg := Config{Folder: t.TempDir()}
	l, _ := open(t, cfg)
	put(t, l, 0, 9)
	place, err := l.Append([][]byte{record(9), record(10), record(11), record(12)}, false)
	if err != nil {
		t.Fatal(err)
	}
	await(t, l, place)
	shutdown(l)
	path = files(cfg.Folder, segmentSuffix)[0]
	data, err = os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return cfg.Folder, path, data
}

func TestCrashAtEveryByte(t *testing.T) {
	_, _, data := lastBatch(t)
	ends := []int{segmentHead}
	for n := range 13 {
		ends = append(ends, ends[n]+frameHead+len(record(n)))
	}
	for length := 0; length <= len(data); length++ {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentName(1)), data[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		whole := 0
		for whole < 13 && ends[whole+1] <= length {
			whole++
		}
		l, replay := open(t, Config{Folder: folder, Disk: unsynced{System()}})
		if wrong := holds(replay, 0, whole); wrong != "" {
			t.Fatalf("cut to %d bytes: %s", length, wrong)
		}
		put(t, l, whole, whole+2)
		shutdown(l)
		l, replay = open(t, Config{Folder: folder, Disk: unsynced{System()}})
		if wrong := holds(replay, 0, whole+2); wrong != "" {
			t.Fatalf("cut to %d bytes, then two more records: %s", length, wrong)
		}
		shutdown(l)
	}
}

func TestEveryFlippedByte(t *testing.T) {
	_, _, data := lastBatch(t)
	batch := segmentHead
	for n := range 9 {
		batch += frameHead + len(record(n))
	}
	for at := range data {
		bad := bytes.Clone(data)
		bad[at] ^= 0x40
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, segmentName(1)), bad, 0o600); err != nil {
			t.Fatal(err)
		}
		l, replay, err := Open(Config{Folder: folder, Disk: unsynced{System()}})
		if at < batch {
			if apierror.From(err) == nil || apierror.From(err).Code != apierror.BadRecord {
				t.Fatalf("byte %d of a record before the last batch: %v", at, err)
			}
			left, _ := os.ReadFile(filepath.Join(folder, segmentName(1)))
			if !bytes.Equal(left, bad) {
				t.Fatalf("byte %d: the bad segment was changed", at)
			}
			continue
		}
		if err != nil {
			t.Fatalf("byte %d of the last batch: %v", at, err)
		}
		if len(replay.Records) < 9 || holds(Replay{Records: replay.Records[:9]}, 0, 9) != "" {
			t.Fatalf("byte %d of the last batch: an earlier record is lost", at)
		}
		shutdown(l)
	}
}

func TestBadRecordNamesItsPlace(t *testing.T) {
	Convey("A bad earlier record is an error that names segment and offset", t, func() {
		folder, path, data := lastBatch(t)
		data[segmentHead+frameHead+len(record(0))+frameHead] ^= 1
		So(os.WriteFile(path, data, 0o600), ShouldBeNil)
		_, _, err := Open(Config{Folder: folder})
		So(err, ShouldNotBeNil)
		So(err.Error(), ShouldContainSubstring, fmt.Sprintf("%s at offset %d", segmentName(1), segmentHead+frameHead+len(record(0))))
	})
	Convey("So is a missing segment, and a snapshot that is gone", t, func() {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 200}
		l, _ := open(t, cfg)
		put(t, l, 0, 40)
		shutdown(l)
		middle := copyFolder(t, cfg.Folder)
		So(os.Remove(files(middle, segmentSuffix)[2]), ShouldBeNil)
		_, _, err := Open(Config{Folder: middle})
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
		l, _ = open(t, cfg)
		So(<-l.WriteSnapshot([]byte("forty")), ShouldBeNil)
		put(t, l, 40, 45)
		shutdown(l)
		So(os.Remove(files(cfg.Folder, snapshotSuffix)[0]), ShouldBeNil)
		_, _, err = Open(cfg)
		So(apierror.From(err).Code, ShouldEqual, apierror.BadRecord)
	})
}

func TestFull(t *testing.T) {
	Convey("Under a quota only whole records go in, and a snapshot makes room again", t, func() {
		cfg := Config{Folder: t.TempDir(), Quota: 4000, ReserveBytes: 1000}
		l, _ := open(t, cfg)
		kept := 0
		var err error
		for err == nil {
			var place uint64
			if place, err = l.Append([][]byte{record(kept)}, false); err == nil {
				await(t, l, place)
				kept++
			}
		}
		So(apierror.From(err).Code, ShouldEqual, apierror.DiskFull)
		So(l.Full(), ShouldBeTrue)
		So(l.Used(), ShouldBeLessThanOrEqualTo, 3000)
		place, err := l.Append([][]byte{record(kept)}, true)
		So(err, ShouldBeNil)
		await(t, l, place)
		So(apierror.From(<-l.WriteSnapshot(make([]byte, 1100))).Code, ShouldEqual, apierror.DiskFull)
		shutdown(l)
		l, replay := open(t, cfg)
		So(holds(replay, 0, kept+1), ShouldBeEmpty)
		So(<-l.WriteSnapshot([]byte("small")), ShouldBeNil)
		So(l.Full(), ShouldBeFalse)
		put(t, l, 0, 10)
		shutdown(l)
	})
	Convey("On a disk that fills up under it, the log dies without a half-written record and opens as full", t, func() {
		disk := &tight{Disk: System(), left: 3000}
		cfg := Config{Folder: t.TempDir(), Disk: disk}
		l, _ := open(t, cfg)
		kept := 0
		for l.Err() == nil {
			if _, err := l.Append([][]byte{record(kept)}, false); err != nil {
				break
			}
			select {
			case <-l.Synced():
				kept++
			case <-l.Failed():
			}
		}
		So(apierror.From(l.Err()).Code, ShouldEqual, apierror.DiskFull)
		shutdown(l)
		l, replay := open(t, cfg)
		So(holds(replay, 0, kept), ShouldBeEmpty)
		So(replay.TornBytes, ShouldEqual, 0)
		So(l.Full(), ShouldBeTrue)
		_, err := l.Append([][]byte{record(0)}, false)
		So(apierror.From(err).Code, ShouldEqual, apierror.DiskFull)
		So(<-l.WriteSnapshot([]byte("with the reserve")), ShouldBeNil)
		shutdown(l)
		disk.left = 1 << 20
		l, replay = open(t, cfg)
		So(string(replay.Snapshot), ShouldEqual, "with the reserve")
		So(l.Full(), ShouldBeFalse)
		shutdown(l)
	})
	Convey("A failed sync kills the log, whatever comes after", t, func() {
		disk := &tight{Disk: System(), left: 1 << 30}
		l, _ := open(t, Config{Folder: t.TempDir(), Disk: disk})
		put(t, l, 0, 3)
		disk.failSync.Store(true)
		_, err := l.Append([][]byte{record(3)}, false)
		So(err, ShouldBeNil)
		<-l.Failed()
		disk.failSync.Store(false)
		_, err = l.Append([][]byte{record(4)}, false)
		So(err, ShouldNotBeNil)
		shutdown(l)
	})
}

// tight is a disk with little left on it: files take from it and the reserve,
// once removed, gives its bytes back.
type tight struct {
	Disk
	left     int64
	reserved int64
	failSync atomic.Bool
}

type tightFile struct {
	File
	disk *tight
}

func (d *tight) Create(path string) (File, error) { return d.wrap(d.Disk.Create(path)) }
func (d *tight) Open(path string) (File, error)   { return d.wrap(d.Disk.Open(path)) }
func (d *tight) wrap(f File, err error) (File, error) {
	if err != nil {
		return nil, err
	}
	return tightFile{f, d}, nil
}

func (d *tight) Allocate(path string, size int64) error {
	if strings.HasSuffix(path, reserveName) {
		if d.reserved == 0 {
			d.reserved = 500
			return d.Disk.Allocate(path, 500)
		}
		return nil
	}
	if d.left < 300 {
		return syscall.ENOSPC
	}
	return nil
}

func (d *tight) Remove(path string) error {
	if strings.HasSuffix(path, reserveName) {
		d.left, d.reserved = d.left+d.reserved, 0
	}
	if err := d.Disk.Remove(path); err != nil && !os.IsNotExist(err) {
		return err
	}
	return nil
}

func (f tightFile) Write(p []byte) (int, error) {
	n := min(len(p), int(f.disk.left))
	written, err := f.File.Write(p[:n])
	f.disk.left -= int64(written)
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	return written, err
}

func (f tightFile) Sync() error {
	if f.disk.failSync.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// halting is a disk that stops the world before its nth change of the folder.
type halting struct {
	Disk
	before int
	folder string
	t      testing.TB
	frozen string
}

func (d *halting) step() {
	if d.before--; d.before == 0 {
		d.frozen = copyFolder(d.t, d.folder)
	}
}

func (d *halting) Create(path string) (File, error) {
	d.step()
	f, err := d.Disk.Create(path)
	if err != nil {
		return nil, err
	}
	return haltingFile{f, d}, nil
}
func (d *halting) Rename(from, to string) error { d.step(); return d.Disk.Rename(from, to) }
func (d *halting) Remove(path string) error     { d.step(); return d.Disk.Remove(path) }
func (d *halting) SyncFolder(f string) error    { d.step(); return d.Disk.SyncFolder(f) }

type haltingFile struct {
	File
	disk *halting
}

func (f haltingFile) Write(p []byte) (int, error) {
	f.disk.step()
	n, err := f.File.Write(p[:len(p)/2])
	if err != nil {
		return n, err
	}
	f.disk.step()
	more, err := f.File.Write(p[len(p)/2:])
	return n + more, err
}
func (f haltingFile) Sync() error { f.disk.step(); return f.File.Sync() }

func TestCrashAtEverySnapshotStep(t *testing.T) {
	for step := 1; ; step++ {
		cfg := Config{Folder: t.TempDir(), SegmentBytes: 200, Disk: unsynced{System()}}
		l, _ := open(t, cfg)
		put(t, l, 0, 20)
		if err := <-l.WriteSnapshot([]byte("20")); err != nil {
			t.Fatal(err)
		}
		put(t, l, 20, 40)
		shutdown(l)
		disk := &halting{Disk: unsynced{System()}, folder: cfg.Folder, t: t}
		cfg.Disk = disk
		l, _ = open(t, cfg)
		disk.before = step
		if err := <-l.WriteSnapshot([]byte("40")); err != nil {
			t.Fatal(err)
		}
		shutdown(l)
		if disk.frozen == "" {
			if step < 8 {
				t.Fatalf("only %d steps", step)
			}
			return
		}
		l, replay, err := Open(Config{Folder: disk.frozen})
		if err != nil {
			t.Fatalf("step %d: %v", step, err)
		}
		shutdown(l)
		from := 20
		if string(replay.Snapshot) == "40" {
			from = 40
		}
		if wrong := holds(replay, from, 40); wrong != "" {
			t.Fatalf("step %d, snapshot %q: %s", step, replay.Snapshot, wrong)
		}
	}
}

func TestGroupCommitOnASlowDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, _ := open(t, Config{Folder: t.TempDir(), SyncDelay: 2 * time.Second})
		put(t, l, 0, 1)
		begun := time.Now()
		var place uint64
		for n := 1; n < 500; n++ {
			place, _ = l.Append([][]byte{record(n)}, false)
		}
		if passed := time.Since(begun); passed != 0 {
			t.Errorf("appends waited %v", passed)
		}
		await(t, l, place)
		if passed := time.Since(begun); passed > 4*time.Second {
			t.Errorf("499 appends took %v: not synced together", passed)
		}
		shutdown(l)
	})
}

func TestSnapshotRightAfterAnother(t *testing.T) {
	Convey("A snapshot is taken at once after another whose end was told, and not beside one", t, func() {
		l, _ := open(t, Config{Folder: t.TempDir(), Disk: unsynced{System()}})
		defer shutdown(l)
		put(t, l, 0, 1)
		for next := range 2000 {
			So(<-l.WriteSnapshot(fmt.Appendf(nil, "%d", next)), ShouldBeNil)
		}
	})
}

func TestAnyHistoryReplays(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		folder, err := os.MkdirTemp(t.TempDir(), "log")
		if err != nil {
			r.Fatal(err)
		}
		cfg := Config{Folder: folder, Disk: unsynced{System()}, SegmentBytes: int64(rapid.IntRange(50, 500).Draw(r, "segment"))}
		l, _ := open(t, cfg)
		next, base := 0, 0
		for range rapid.IntRange(1, 30).Draw(r, "steps") {
			switch rapid.SampledFrom([]string{"append", "append", "snapshot", "reopen"}).Draw(r, "step") {
			case "append":
				count := rapid.IntRange(1, 5).Draw(r, "records")
				put(t, l, next, next+count)
				next += count
			case "snapshot":
				if err := <-l.WriteSnapshot(fmt.Appendf(nil, "%d", next)); err != nil {
					r.Fatal(err)
				}
				base = next
			case "reopen":
				shutdown(l)
				var replay Replay
				l, replay = open(t, cfg)
				if wrong := holds(replay, base, next); wrong != "" || base > 0 && string(replay.Snapshot) != fmt.Sprint(base) {
					r.Fatalf("snapshot %q, due %d: %s", replay.Snapshot, base, wrong)
				}
			}
		}
		shutdown(l)
		infos, _ := System().List(folder)
		sum := int64(0)
		for _, info := range infos {
			if info.Name() != reserveName && !info.IsDir() && info.Mode()&fs.ModeType == 0 {
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
			defer shutdown(l)
			data := make([]byte, 200)
			synced := uint64(0)
			for n := 0; n < b.N; {
				for l.LastIndex()-synced < uint64(writers) && n < b.N {
					if _, err := l.Append([][]byte{data}, false); err != nil {
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
