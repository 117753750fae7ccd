// Package paxos implements the consensus of the cores on a sequence of values:
// one instance of single-decree Paxos for each slot (Lamport, "The Part-Time
// Parliament" and "Paxos Made Simple"). It contains the acceptor, the proposer
// and the learner of a core, the formation of the first set of voters, and the
// recovery of a core that has lost its disk.
//
// The package does no I/O and reads no clock. Its functions take a State and a
// message, and return the Records to persist and a response. Applying a Record
// to a State returns the next State, both in a running core and when its log is
// replayed.
//
// Callers must maintain these invariants:
//
//   - A response is sent only after the records returned with it are synced.
//   - A State changes only by Record.Apply, except for compaction, and is never
//     modified in place.
//   - A core syncs its own incarnation before it announces it.
//
// A formation is a set of voters with an ID. A core is blank until it joins a
// formation, and votes only once its recovery from the other voters has
// completed.
//
// A disk incarnation is the number of the disk on which a core votes; it
// increases each time the core loses its disk. Plain Paxos assumes that an
// acceptor never forgets. Here a core may lose its disk, and with it its promises
// and accepted values. It then takes a higher incarnation, which the other voters
// sync before they send their state to it. From then on, responses of an earlier
// incarnation are not counted.
//
// Values are opaque to this package. Package statemachine validates and applies
// them.
package paxos
