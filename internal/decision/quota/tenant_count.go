package quota

import "time"

// tenantCount is a counter's state for one tenant.
type tenantCount struct {
	contributions          map[frontID]*contribution
	reportedSpend          sliceRing // sum of the fronts' own spend
	otherOwnerTotals       sliceRing // highest totals that fronts have received from other owners
	previousWindowRaisedAt time.Time // when a window's total last increased after its end
	lastCountedAt          time.Time

	countedForOther     bool      // counted on behalf of another front, the owner according to this front's view
	countStartedAt      time.Time // when the count was created or resumed, or countedForOther last changed
	hasOtherOwnerTotals bool      // a front has reported totals from another owner

	demand      demandSum
	reservation reservation
}

// setCountedForOther sets whether the tenant is counted on behalf of another front.
func (t *tenantCount) setCountedForOther(countedForOther bool, now time.Time) {
	if countedForOther != t.countedForOther {
		t.countedForOther = countedForOther
		t.countStartedAt = now
	}
}

// superseded reports whether a later incarnation of the same front has sent counts.
func (t *tenantCount) superseded(front frontID) bool {
	for other := range t.contributions {
		if other.name == front.name && other.incarnation > front.incarnation {
			return true
		}
	}
	return false
}

// contribution is the part of a tenant's count that one front reported.
type contribution struct {
	spend                sparseSlices
	lastReceivedAt       time.Time
	previousWindowSentAt time.Time // when the previous window's total was last sent to the front
	idle                 bool      // the tenant is not active at the front
	share                float64   // last allocated fraction of the remaining capacity
	demand               demandHistory
}

// demandHistory holds the last demand reports of a front, oldest first.
type demandHistory [8]demandSample

// demandSample is a front's demand at one instant of its clock, in microseconds since the
// Unix epoch.
type demandSample struct {
	micros int64
	tokens float64
}

// record appends a report unless the last one is less than spacing older.
func (h *demandHistory) record(tokens float64, sampledAt time.Time, spacing time.Duration) {
	newest := len(h) - 1
	if sampledAt.UnixMicro()-h[newest].micros >= spacing.Microseconds() {
		copy(h[:], h[1:])
		h[newest] = demandSample{sampledAt.UnixMicro(), tokens}
	}
}

func (h *demandHistory) latestTokens() float64 { return h[len(h)-1].tokens }

// tokensAt returns the demand at an instant, or the oldest recorded one if all are later.
func (h *demandHistory) tokensAt(t time.Time) float64 {
	for i := len(h) - 1; i >= 0; i-- {
		if h[i].micros <= t.UnixMicro() {
			return h[i].tokens
		}
	}
	return h[0].tokens
}

// demandSum is the demand of the fronts where a tenant is active.
type demandSum struct {
	summedAt     time.Time // zero if it must be summed again
	activeFronts int
	tokens       float64
}

func (d *demandSum) invalidate() { d.summedAt = time.Time{} }

// reservation is the part of a tenant's limit reserved for unresponsive fronts.
type reservation struct {
	fraction   float64 // of the limit
	knownSpend float64 // tokens that these fronts are known to have spent
}
