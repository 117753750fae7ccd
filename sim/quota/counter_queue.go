package quota

// enqueue has the owner's counter handle the request after those that arrived before,
// each of which takes AddTime as of its arrival. A request whose sender has given up by
// then is dropped.
func (x *exchange) enqueue() {
	r := x.run
	owner := r.fronts[x.to]
	incarnation := owner.incarnation
	owner.busyUntil = max(owner.busyUntil, r.now) + r.AddTime(r.now)
	r.after(max(0, x.began+exchangeTimeout-r.now), x.fail)
	r.after(owner.busyUntil-r.now, func() {
		if !x.ended && !owner.down && owner.incarnation == incarnation {
			x.complete()
		}
	})
}
