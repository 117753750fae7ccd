package quota

import (
	"strconv"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/wire"
)

// addDelayed delivers a demand report that a front sent at sentAt to the counter at
// arrivedAt, both in seconds.
func addDelayed(counter *Counter, front string, sentAt, arrivedAt float64) *wire.AddResponse {
	count := demandReport{tokens: 1, sampledAt: atSecond(sentAt)}.wireCount("t")
	return counter.Add(&wire.AddRequest{Front: front, Incarnation: 1, Counts: []*wire.Count{count, {Tenant: "t", Window: 1}}}, atSecond(arrivedAt))
}

func reportedSpacing(resp *wire.AddResponse) time.Duration {
	for _, total := range resp.Totals {
		if isAllocationReport(total) {
			return readAllocationReport(total).sendSpacing
		}
	}
	return -1
}

func TestOwnerLimitsSendRateOfManyFronts(t *testing.T) {
	var fronts []string
	for i := range 300 {
		fronts = append(fronts, "f"+strconv.Itoa(i))
	}
	Convey("The rate of 9 or 90 fronts isn't limited, that of 300 is limited to the configured rate", t, func() {
		config := Config{}.withDefaults()
		So(baseSpacing(&config, 9), ShouldEqual, 0)
		So(baseSpacing(&config, 90), ShouldEqual, 0)
		So(baseSpacing(&config, 300), ShouldEqual, 600*time.Millisecond)
		So(baseSpacing(&config, 100_000), ShouldEqual, maxSendSpacing.duration(&config))
	})
	Convey("An owner reports a longer spacing while it handles counts late, and a shorter one afterwards", t, func() {
		counter := NewCounter(OwnerOf("t", fronts), 1, Config{})
		elapsed := 0.0
		runUntil := func(second float64) {
			for ; elapsed < second; elapsed += 0.2 {
				counter.SetMembership(fronts, nil, atSecond(elapsed))
			}
		}
		sendRound := func(second, lag float64) time.Duration {
			runUntil(second)
			for _, front := range fronts[:200] {
				addDelayed(counter, front, second, second+lag)
			}
			spacing := reportedSpacing(addDelayed(counter, fronts[0], second+0.1, second+0.1+lag))
			return spacing
		}
		So(sendRound(4, 0.1), ShouldEqual, 400*time.Millisecond)
		So(sendRound(6, 0.5), ShouldEqual, 400*time.Millisecond)
		So(counter.CountsLate(), ShouldBeFalse)
		So(sendRound(7.2, 0.1), ShouldEqual, 800*time.Millisecond)
		So(counter.CountsLate(), ShouldBeTrue)
		So(counter.Lag(), ShouldAlmostEqual, 500*time.Millisecond, time.Millisecond)
		So(sendRound(8.4, 0.1), ShouldEqual, 400*time.Millisecond)
		So(counter.CountsLate(), ShouldBeFalse)
	})
}

func TestFrontObservesOwnersSendSpacing(t *testing.T) {
	Convey("Neither urgent nor periodic counts are sent before the spacing has elapsed, but a flush is", t, func() {
		limiter := NewLimiter("a", Config{})
		limiter.SetFronts([]string{"a"})
		allowance := Allowance{Rate: 100}
		limiter.Admit("t", 500, allowance, atSecond(0.1))
		So(limiter.CountsToSend(atSecond(0.1), ownerA), ShouldNotBeEmpty)
		report := allocationReport{share: 1, sendSpacing: time.Second}
		limiter.ApplyTotals(&wire.AddResponse{Holder: "a", Incarnation: 1, Totals: []*wire.Total{report.wireTotal("t")}}, atSecond(0.1), atSecond(0.12))
		limiter.Admit("t", 250, allowance, atSecond(0.2))
		So(limiter.HasUrgent(), ShouldBeTrue)
		always := func(string) bool { return true }
		So(limiter.UrgentCounts(atSecond(0.5), ownerA, always), ShouldBeEmpty)
		So(limiter.CountsToSend(atSecond(0.6), ownerA), ShouldBeEmpty)
		So(limiter.HasUrgent(), ShouldBeTrue)
		Convey("and urgent counts are sent once it has", func() {
			So(limiter.UrgentCounts(atSecond(1.1), ownerA, always), ShouldNotBeEmpty)
			So(limiter.HasUrgent(), ShouldBeFalse)
		})
		Convey("and counts are flushed before that when the process ends", func() {
			So(limiter.CountsToFlush(atSecond(0.7), ownerA), ShouldNotBeEmpty)
		})
	})
}

// Guards against one front whose clock is behind reducing the send rate of all others.
func TestOneFrontsClockDoesNotSpaceTheOthersCounts(t *testing.T) {
	Convey("With three active fronts, one of which is a second behind, the send rate isn't limited", t, func() {
		fronts := []string{"a", "b", "c"}
		counter := NewCounter(OwnerOf("t", fronts), 1, Config{})
		longest := time.Duration(0)
		for second := 0.0; second < 15; second += 0.2 {
			counter.SetMembership(fronts, nil, atSecond(second))
			addDelayed(counter, "a", second-1, second)
			addDelayed(counter, "b", second-0.02, second)
			longest = max(longest, reportedSpacing(addDelayed(counter, "c", second-0.02, second)))
		}
		So(longest, ShouldEqual, 0)
	})
}
