// Package lease decides which fronts may serve requests with the configuration
// version that they hold. A front serves client requests; a core is a voting
// member of the control plane. The package follows Gray & Cheriton, "Leases: An
// Efficient Fault-Tolerant Mechanism for Distributed File Cache Consistency"
// (1989), with two differences: a lease takes grants from a majority of cores
// instead of one server, and a core grants only to a member that has confirmed
// the newest version that the core has learned through consensus. The version
// serves as the fencing token.
//
//   - Holder is the front's side: it records the answers of cores and peers and
//     derives the front's Authority.
//   - Table is the core's side: it tracks the leases that the core granted and the
//     members without contact.
//   - VersionConfirmed is the rule for acknowledging a configuration change: once
//     it is met, no front serves with an older version.
//   - StatusTracker detects changes of member status to publish on the feed.
//
// Invariants: a lease is timed from the instant its request was sent, never from
// the arrival of the answer, so the holder's copy ends no later than the core's.
// A front without leases serves only while a majority of its roster answers its
// pings and no peer has reported a newer version, and for rosterExtension at most.
// Nothing is derived from a refused connection: behind a partition that refuses, both
// sides run.
//
// The package does no I/O, starts no goroutine and reads no clock: methods that
// depend on time take the current instant. Each value has one owner; none is
// safe for concurrent use.
package lease
