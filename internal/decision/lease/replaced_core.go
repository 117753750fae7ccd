package lease

// A core whose disk is lost, or whose machine is replaced, comes back under its name in a
// later disk incarnation. The process of the earlier one may run on behind a partition. A
// core votes in a later incarnation only once so many others have recorded it that every
// majority with the earlier one contains a core that knows of it. Its leases and views are
// therefore told by the answers of the others.

// unknownDiskIncarnation is that of a core of a release that doesn't report it.
const unknownDiskIncarnation = 0

// isReplaced reports whether a core that answers in a disk incarnation has been replaced,
// given the newest one that others know; zero if they know of none but the first.
func isReplaced(incarnation, newest uint64) bool {
	return incarnation != unknownDiskIncarnation && incarnation < newest
}

// RecordIncarnations records the disk incarnation in which a core answers, and those of
// replaced cores that it reports. It must be called before RecordGrant for the same answer:
// a grant by another incarnation of the core counts no more.
func (h *Holder) RecordIncarnations(core string, incarnation uint64, replaced map[string]uint64) {
	grant := h.grants[core]
	if grant.incarnation != incarnation {
		grant = coreGrant{incarnation: incarnation}
	}
	grant.replaced = replaced
	h.grants[core] = grant
}

// isGrantOfReplacedCore reports whether another core that has granted a lease within the
// same TTL knows that the granting one is replaced. Older reports don't count: they may be
// from an earlier formation of the cores.
func (h *Holder) isGrantOfReplacedCore(core string, grant coreGrant) bool {
	for _, other := range h.cores {
		report, ok := h.grants[other]
		if !ok || other == core || grant.sentAt.Sub(report.sentAt) >= h.ttl {
			continue
		}
		if isReplaced(grant.incarnation, report.replaced[core]) {
			return true
		}
	}
	return false
}

// validGrant returns a core's newest grant. The second result is false if the core has
// granted no lease or is replaced.
func (h *Holder) validGrant(core string) (grant coreGrant, granted bool) {
	grant, granted = h.grants[core]
	if !granted || grant.sentAt.IsZero() || h.isGrantOfReplacedCore(core, grant) {
		return coreGrant{}, false
	}
	return grant, true
}
