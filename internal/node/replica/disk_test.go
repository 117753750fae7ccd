package replica

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// failingLog is a Log that fails for lack of disk space when failed is closed.
type failingLog struct {
	Log
	failed chan struct{}
}

func (l *failingLog) Failed() <-chan struct{} { return l.failed }
func (l *failingLog) Err() error              { return apierror.Errorf(apierror.DiskFull, "no space left") }

func TestSlowFullAndFailedDisks(t *testing.T) {
	inVirtualTime(t, "A slow disk does not delay the other cores", func(f *fleet) {
		slow := f.disk["c"]
		slow.SyncDelay = 2 * time.Second
		f.disk["c"] = slow
		f.form()
		start := time.Now()
		count := f.propose("a", 0, 10)
		So(time.Since(start), ShouldBeLessThan, 500*time.Millisecond)
		count = f.propose("c", count, 1)
		So(f.waitUntil(20*time.Second, f.reachesVersion(uint64(count), "a", "b", "c")), ShouldBeTrue)
	})
	inVirtualTime(t, "A wiped core recovers although the disk of another core is slow and busy", func(f *fleet) {
		slow := f.disk["c"]
		slow.SyncDelay = 2 * time.Second
		f.disk["c"] = slow
		f.form()
		count := f.propose("a", 0, 5)
		f.wipe("b")
		f.start("b")
		start := time.Now()
		go func() {
			for n := range 20 {
				_, _, _ = f.core("a").Propose(withTimeout(20*time.Second), evacuate(fmt.Sprint(count+n)))
			}
		}()
		So(f.waitUntil(30*time.Second, f.voting("b")), ShouldBeTrue)
		So(time.Since(start), ShouldBeLessThan, 10*time.Second)
		So(f.waitUntil(200*time.Second, f.reachesVersion(uint64(count+20), "a", "b", "c")), ShouldBeTrue)
	})
	inVirtualTime(t, "Orders succeed, slowly, when two of three disks are slow", func(f *fleet) {
		for _, name := range []string{"b", "c"} {
			slow := f.disk[name]
			slow.SyncDelay = 2 * time.Second
			f.disk[name] = slow
		}
		f.form()
		_, result, err := f.core("a").Propose(withTimeout(30*time.Second), evacuate("one"))
		So(err, ShouldBeNil)
		So(result.Code, ShouldEqual, apierror.OK)
	})
	inVirtualTime(t, "A core whose log has failed does not vote, and continues from its disk after a restart", func(f *fleet) {
		f.form()
		count := f.propose("a", 0, 3)
		f.stop["b"]()
		log := &failingLog{failed: make(chan struct{})}
		cfg := f.cfg
		cfg.Self = "b"
		b := New(cfg, func() (Log, Replay, error) {
			opened, replay, err := OnDisk(f.disk["b"])()
			log.Log = opened
			return log, replay, err
		}, peers{f, "b"}, clock.System(), events.Discard)
		served := make(chan error)
		go func() { served <- b.Serve(context.Background()) }()
		f.cores["b"].Store(b)
		So(f.waitUntil(5*time.Second, f.voting("b")), ShouldBeTrue)
		close(log.failed)
		So(apierror.From(<-served).Code, ShouldEqual, apierror.DiskFull)
		So(b.Ready().Code, ShouldEqual, apierror.DiskFull)
		_, err := b.Prepare(withTimeout(time.Second), &wire.PrepareRequest{Formation: f.core("a").Formation(), Slot: 9})
		So(apierror.From(err).Code, ShouldEqual, apierror.CoreUnreachable)
		count = f.propose("a", count, 3)
		f.start("b")
		So(f.waitUntil(5*time.Second, f.reachesVersion(uint64(count), "b")), ShouldBeTrue)
	})
	inVirtualTime(t, "A core with a full disk refuses to vote and reports it, and the others continue", func(f *fleet) {
		small := f.disk["b"]
		small.QuotaBytes = 64 << 10
		f.disk["b"] = small
		f.cfg.SnapshotRecords = 1 << 30
		f.form()
		largeSheet, apiErr := sheet.ParseSheet([]byte(firstSheetJSON), 1<<20)
		So(apiErr, ShouldBeNil)
		largeSheet.Tenants = map[string]sheet.Tenant{}
		for n := range 250 {
			largeSheet.Tenants[fmt.Sprint("tenant-", n)] = sheet.Tenant{Rate: 1, Burst: 1, KeyHashes: []string{fmt.Sprintf("%064x", n)}}
		}
		large := func(i int) []byte {
			return statemachine.Encode(statemachine.PutSheet{Order: statemachine.Order{OrderID: fmt.Sprint(i), Base: uint64(i)}, Sheet: largeSheet})
		}
		So(len(large(0)), ShouldBeBetween, 25<<10, 35<<10)
		for i := range 8 {
			_, result, err := f.core("a").Propose(withTimeout(5*time.Second), large(i))
			So(err, ShouldBeNil)
			So(result.Code, ShouldEqual, apierror.OK)
		}
		So(f.waitUntil(time.Second, f.reachesVersion(8, "a", "c")), ShouldBeTrue)
		So(f.waitUntil(time.Second, func() bool { return f.core("b").Standing() == wire.Standing_STANDING_DISK_FULL }), ShouldBeTrue)
		So(f.core("b").Current().Version, ShouldBeLessThan, 8)
		f.stop["c"]()
		_, _, err := f.core("a").Propose(withTimeout(time.Second), large(8))
		So(apierror.From(err).Code, ShouldBeIn, apierror.NoMajority, apierror.OutcomePending)
	})
}
