package quota

// enqueueAtCounter queues the request at the owner's counter, which handles requests in
// the order of arrival and takes AddTime, evaluated at the arrival, for each. A request
// that has timed out at its sender before its turn is dropped.
func (x *exchange) enqueueAtCounter() {
	r := x.run
	owner := r.fronts[x.to]
	incarnation := owner.incarnation
	owner.counterBusyUntil = max(owner.counterBusyUntil, r.now) + r.AddTime(r.now)
	r.after(max(0, x.startedAt+exchangeTimeout-r.now), x.fail)
	r.after(owner.counterBusyUntil-r.now, func() {
		if !x.ended && !owner.down && owner.incarnation == incarnation {
			x.complete()
		}
	})
}
