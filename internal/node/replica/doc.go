// Package replica runs one core's part in the agreement: it decides with
// package paxos, keeps the decisions in a log on disk, and calls the other
// cores.
//
// Three goroutines do the work. The owner holds the state and answers every
// request; proposals run one after another, so that they don't contend with each
// other; maintenance brings the core into its formation, fetches what it missed
// and completes slots that a lost proposer left open.
//
// Invariants:
//
//   - The owner's state may be ahead of the disk. An answer leaves, and a state
//     is published, only when all that was appended before it is synced.
//   - The published configuration never goes back to an earlier version.
//   - A disk without room keeps no votes: the core refuses them until a snapshot
//     or the operator has made room.
//
// The package doesn't decide what a command does (package statemachine) nor when a
// version is in force (package control).
package replica
