package quota

import "time"

// tenantCount is a counter's state of one tenant.
type tenantCount struct {
	fronts         map[frontID]*contribution
	reported       sliceRing // sum of the fronts' own spend
	learned        sliceRing // highest totals that fronts knew from other owners
	previousRoseAt time.Time // when a window last rose after its end
	lastCounted    time.Time

	countedForOther bool      // counted on behalf of another front, the owner by this front's view
	startedAt       time.Time // when the count began, or countedForOther changed
	totalsReported  bool      // a front has reported totals from another owner

	demand      demandSum
	reservation reservation
}

// setForOther changes whether the tenant is counted on behalf of another front.
func (t *tenantCount) setForOther(forOther bool, now time.Time) {
	if forOther != t.countedForOther {
		t.countedForOther = forOther
		t.startedAt = now
	}
}

// superseded reports whether a later incarnation of a front has reported as well.
func (t *tenantCount) superseded(front frontID) bool {
	for other := range t.fronts {
		if other.name == front.name && other.incarnation > front.incarnation {
			return true
		}
	}
	return false
}

// contribution is one front's part of a tenant's count.
type contribution struct {
	spend          sparseSlices
	lastReceived   time.Time
	previousSentAt time.Time // when the front last received the previous window's total
	idle           bool      // the tenant is not active at the front
	share          float64   // of the remaining capacity, as last allocated
	demand         demandHistory
}

// demandHistory holds the last demand reports of a front, oldest first.
type demandHistory [8]demandSample

// demandSample is the demand at an instant of the front's clock.
type demandSample struct {
	micros int64
	tokens float64
}

// record appends a report unless it follows the last one within spacing.
func (h *demandHistory) record(tokens float64, at time.Time, spacing time.Duration) {
	newest := len(h) - 1
	if at.UnixMicro()-h[newest].micros >= spacing.Microseconds() {
		copy(h[:], h[1:])
		h[newest] = demandSample{at.UnixMicro(), tokens}
	}
}

func (h *demandHistory) newest() float64 { return h[len(h)-1].tokens }

// at returns the demand at an instant, or the oldest one known.
func (h *demandHistory) at(t time.Time) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].micros <= t.UnixMicro() {
			return h[i].tokens
		}
	}
	return h[0].tokens
}

// demandSum is the demand of the fronts where a tenant is active.
type demandSum struct {
	summedAt time.Time // zero: has to be summed
	fronts   int
	tokens   float64
}

func (d *demandSum) invalidate() { d.summedAt = time.Time{} }

// reservation is the part of a tenant's limit set aside for unresponsive fronts.
type reservation struct {
	fraction float64 // of the limit
	spent    float64 // tokens that these fronts are known to have spent
}
