package quota

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

func TestSlidingWindowEstimate(t *testing.T) {
	Convey("The estimate is the overlapping part of the previous window plus the current window", t, func() {
		limiter := NewLimiter("a", Config{Disabled: AllFeatures})
		allowance := Allowance{Rate: 50.0 / 8}
		So(limiter.Admit("t", 42, allowance, atSecond(1)).Allowed, ShouldBeTrue)
		So(limiter.Admit("t", 18, allowance, atSecond(8.5)).Allowed, ShouldBeTrue)
		decision := limiter.Admit("t", 1, allowance, atSecond(10))
		So(decision.Previous, ShouldEqual, 42)
		So(decision.Current, ShouldEqual, 18)
		So(decision.Estimate, ShouldAlmostEqual, 42*0.75+18)
		So(decision.Allowed, ShouldBeTrue)
		Convey("and the requests of a tenant that reaches its limit are rejected and not counted until the window ends", func() {
			decision := limiter.Admit("t", 1, allowance, atSecond(10))
			So(decision.Allowed, ShouldBeFalse)
			So(decision.OverLimit, ShouldBeTrue)
			So(decision.Code, ShouldEqual, apierror.QuotaExceeded)
			So(limiter.Admit("t", 1, allowance, atSecond(15.9)).Allowed, ShouldBeFalse)
			So(limiter.Admit("t", 1, allowance, atSecond(16)).Allowed, ShouldBeTrue)
		})
	})
}

func TestFeatures(t *testing.T) {
	allowance := Allowance{Rate: 100, Burst: 200}
	spend := func(limiter *Limiter, from, until float64) (allowed float64) {
		for seconds := from; seconds < until; seconds += 0.01 {
			if limiter.Admit("t", 10, allowance, atSecond(seconds)).Allowed {
				allowed += 10
			}
		}
		return allowed
	}
	Convey("Rejection ends early when the estimate falls below the limit", t, func() {
		blocked := NewLimiter("a", Config{Disabled: AllFeatures})
		unblocked := NewLimiter("a", Config{Disabled: AllFeatures &^ EarlyUnblock})
		spend(blocked, 0, 24)
		spend(unblocked, 0, 24)
		So(spend(blocked, 24, 32), ShouldBeLessThan, 600)
		So(spend(unblocked, 24, 32), ShouldBeGreaterThan, 900)
	})
	Convey("The sliding limit bounds a burst at the end of one window and the start of the next that the estimate allows", t, func() {
		for _, disabled := range []Feature{AllFeatures &^ EarlyUnblock, AllFeatures &^ (EarlyUnblock | SlidingLimit)} {
			limiter := NewLimiter("a", Config{Disabled: disabled})
			allowed := spend(limiter, 7, 8) + spend(limiter, 8, 9) + spend(limiter, 14, 15)
			if disabled&SlidingLimit != 0 {
				So(allowed, ShouldBeGreaterThan, 1500)
			} else {
				So(allowed, ShouldBeLessThanOrEqualTo, 1.15*1000)
			}
		}
	})
	Convey("Requests of a tenant below its limit are allowed even if a burst early in the window raises the estimate", t, func() {
		for _, disabled := range []Feature{AllFeatures &^ (EarlyUnblock | SlidingLimit), AllFeatures &^ (EarlyUnblock | SlidingLimit | SlidingCapacity)} {
			limiter := NewLimiter("a", Config{Disabled: disabled})
			So(limiter.Admit("t", 700, allowance, atSecond(0)).Allowed, ShouldBeTrue)
			So(limiter.Admit("t", 600, allowance, atSecond(8.3)).Allowed, ShouldBeTrue)
			So(limiter.Admit("t", 10, allowance, atSecond(8.4)).Allowed, ShouldEqual, disabled&SlidingCapacity == 0)
		}
	})
	Convey("RetryAfter is the time until the request is allowed if nothing else is spent", t, func() {
		limiter := NewLimiter("a", Config{})
		limiter.SetFronts([]string{"a"})
		counter := NewCounter("a", 1, Config{})
		counter.SetMembership([]string{"a"}, nil, start)
		for seconds := 0.0; seconds < 3; seconds += 0.01 {
			limiter.Admit("t", 10, allowance, atSecond(seconds))
			exchange(limiter, counter, atSecond(seconds))
		}
		decision := limiter.Admit("t", 10, allowance, atSecond(3))
		So(decision.Allowed, ShouldBeFalse)
		So(limiter.Admit("t", 10, allowance, atSecond(3).Add(decision.RetryAfter/2)).Allowed, ShouldBeFalse)
		retryAt := atSecond(3).Add(decision.RetryAfter)
		counts := limiter.CountsToSend(retryAt, ownerA)["a"]
		resp := counter.Add(&wire.AddRequest{Front: "a", Incarnation: 1, Counts: counts}, retryAt)
		limiter.ApplyTotals(resp, retryAt, retryAt)
		So(limiter.Admit("t", 10, allowance, retryAt).Allowed, ShouldBeTrue)
	})
}

func TestUnresponsiveOwner(t *testing.T) {
	allowance := Allowance{Rate: 100, Burst: 200}
	fronts := []string{"a", "b", "c", "d"}
	Convey("With an unresponsive owner a front spends no more than its share, and rejects with ShareExceeded", t, func() {
		limiter := NewLimiter("b", Config{})
		limiter.SetFronts(fronts)
		allowed := 0.0
		code := apierror.OK
		for seconds := 0.0; seconds < 30; seconds += 0.01 {
			decision := limiter.Admit("t", 5, allowance, atSecond(seconds))
			if decision.Allowed && seconds > 16 && seconds <= 24 {
				allowed += 5
			}
			if !decision.Allowed {
				code = decision.Code
			}
			limiter.CountsToSend(atSecond(seconds), ownerA)
		}
		So(code, ShouldEqual, apierror.ShareExceeded)
		So(allowed, ShouldBeBetween, 0.85*250, 1.15*250)
	})
	Convey("A tenant idle for two windows is removed", t, func() {
		limiter := NewLimiter("b", Config{})
		limiter.Admit("t", 5, allowance, start)
		limiter.CountsToSend(atSecond(15.9), ownerA)
		So(limiter.ActiveTenants(), ShouldEqual, 1)
		limiter.CountsToSend(atSecond(16.1), ownerA)
		So(limiter.ActiveTenants(), ShouldEqual, 0)
	})
	Convey("A small step of the fleet's time, back or forward, doesn't change the recorded spend", t, func() {
		limiter := NewLimiter("a", Config{})
		limiter.Admit("t", 100, allowance, atSecond(4))
		So(limiter.Admit("t", 0, allowance, atSecond(3)).Recent, ShouldEqual, 100)
		So(limiter.Admit("t", 0, allowance, atSecond(5)).Recent, ShouldEqual, 100)
	})
}
