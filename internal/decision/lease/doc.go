// Package lease decides which nodes may serve requests by the configuration
// version that they hold. It follows Gray & Cheriton, "Leases: An Efficient
// Fault-Tolerant Mechanism for Distributed File Cache Consistency" (1989), with
// two differences: a lease is granted by a majority of cores instead of one
// server, and a core grants only to a member that holds the newest version the
// core has learned. The version serves as the fencing token.
//
//   - Holder is the side of a front: it records what cores and peers answered
//     and derives the front's Authority.
//   - Table is the side of a core: the leases it granted, and the members that
//     refuse connections.
//   - VersionConfirmed is the rule by which a configuration change is
//     acknowledged: afterwards no front serves by an older version.
//   - StatusTracker finds the changes of members' status to publish on the feed.
//
// Invariants: a lease counts from the instant its request was sent, never from
// the arrival of the answer, so the holder's copy ends no later than the core's.
// A front without leases serves only while a majority of its roster answers and
// no peer knows a newer version.
//
// The package does no I/O, starts no goroutine and reads no clock: each method
// takes the current instant. Each value has one owner; none is safe for
// concurrent use.
package lease
