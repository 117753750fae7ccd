package route

import (
	"math"
	"time"
)

const (
	rateTimeConstant = 5 * time.Second
	rateWarmUp       = 2 * time.Second // from the first event to the first estimate
)

// rate is an exponentially weighted moving average of events per second.
type rate struct {
	value       float64
	first, last time.Time
}

func (r *rate) record(now time.Time) {
	if r.first.IsZero() {
		r.first = now
		r.last = now
	}
	r.decay(now)
	r.value += 1 / rateTimeConstant.Seconds()
}

func (r *rate) decay(now time.Time) {
	if elapsed := now.Sub(r.last); elapsed > 0 {
		r.value *= math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		r.last = now
	}
}

// perSecond returns the rate, or 0 until rateWarmUp has passed since the first event.
func (r *rate) perSecond(now time.Time) float64 {
	if r.first.IsZero() || now.Sub(r.first) < rateWarmUp {
		return 0
	}
	r.decay(now)
	// Correct for the bias of the average towards its initial value of zero.
	return r.value / (1 - math.Exp(-now.Sub(r.first).Seconds()/rateTimeConstant.Seconds()))
}
