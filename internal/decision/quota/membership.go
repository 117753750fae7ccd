package quota

import (
	"slices"
	"time"
)

// partitionFraction is the fraction of the fronts that must be unresponsive to assume a
// network partition with load on its other side.
const partitionFraction = 0.25

// membership is a counter's view of the fronts.
type membership struct {
	fronts           []string
	isFront          map[string]bool
	reachable        []string             // fronts without the unresponsive ones
	unresponsive     map[string]time.Time // when each front was last reported unresponsive
	partitionedSince time.Time            // zero if there is no partition
}

func (m *membership) setFronts(fronts []string) {
	if slices.Equal(fronts, m.fronts) {
		return
	}
	m.fronts = fronts
	m.isFront = make(map[string]bool, len(fronts))
	for _, name := range fronts {
		m.isFront[name] = true
	}
}

// assumeResponsive discards all reports of unresponsive fronts.
func (m *membership) assumeResponsive() {
	clear(m.unresponsive)
	m.reachable = m.fronts
}

// setUnresponsive records the unresponsive fronts, and removes those last reported
// longer than retention ago.
func (m *membership) setUnresponsive(unresponsive []string, now time.Time, retention time.Duration) {
	for _, name := range unresponsive {
		m.unresponsive[name] = now
	}
	for name, reported := range m.unresponsive {
		if now.Sub(reported) > retention {
			delete(m.unresponsive, name)
		}
	}
}

func (m *membership) detectPartition(unresponsive int, now time.Time) {
	if float64(unresponsive) < partitionFraction*float64(len(m.fronts)) {
		m.partitionedSince = time.Time{}
	} else if !m.partitioned() {
		m.partitionedSince = now
	}
}

func (m *membership) partitioned() bool { return !m.partitionedSince.IsZero() }

// setReachable sets the reachable fronts and reports whether they changed.
func (m *membership) setReachable(reachable []string) bool {
	if slices.Equal(reachable, m.reachable) {
		return false
	}
	m.reachable = reachable
	return true
}

// tracksUnresponsive reports whether a front was reported unresponsive within the
// retention of setUnresponsive.
func (m *membership) tracksUnresponsive(front string) bool {
	_, tracked := m.unresponsive[front]
	return tracked
}

// isUnresponsive reports whether a front was reported unresponsive within maxAge.
func (m *membership) isUnresponsive(front string, now time.Time, maxAge time.Duration) bool {
	reported, tracked := m.unresponsive[front]
	return tracked && now.Sub(reported) <= maxAge
}

// evenShare returns the share of one front if it were equal for all fronts.
func (m *membership) evenShare() float64 { return 1 / float64(max(1, len(m.fronts))) }
