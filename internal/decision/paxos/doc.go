// Package paxos decides how the cores agree on a sequence of values: one
// instance of single-decree Paxos for each slot (Lamport, "The Part-Time
// Parliament" and "Paxos Made Simple"). It holds the acceptor, the proposer and
// the learner of a core, the first formation of the set of voters, and the
// recovery of a core whose disk was lost.
//
// The package does no I/O and reads no clock. A decision takes a State and a
// message, and returns Records and a response. Applying a Record to a State
// returns the next State, in the running core as in the replay of its log.
//
// Invariants that callers keep:
//
//   - A response leaves only once the records returned with it are synced.
//   - A State changes by Record.Apply alone, apart from compaction, and is
//     never modified in place.
//   - A core's own incarnation is synced before it is announced.
//
// A disk incarnation counts the disks that a core has voted on. Plain Paxos
// assumes that an acceptor never forgets. Here a core may lose its disk, and
// with it promises and accepted values. It then takes a higher incarnation,
// which the others sync before they send their state; answers of an
// earlier incarnation are not counted from then on.
//
// Values are opaque here. Which of them are valid, and what they do, is decided
// by package statemachine.
package paxos
