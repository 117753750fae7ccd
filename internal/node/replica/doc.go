// Package replica implements one core's replica of the control plane's state: it
// runs the consensus protocol of package paxos, persists its records in a
// write-ahead log, exchanges messages with the other cores, and applies the chosen
// commands to the state machine of package statemachine.
//
// A running Replica has three goroutines. The owner holds the state and handles
// every request. The proposal loop runs proposals one at a time, so that proposals
// of the same core don't compete for slots. Maintenance joins or founds the core's
// formation, recovers the core after the loss of its disk, fetches missed values,
// and completes slots that a failed proposer left open.
//
// Invariants:
//
//   - The owner's state may be ahead of the disk. A response is sent, and a state
//     is published, only after all records appended before it are synced.
//   - The published version never decreases.
//   - A core whose disk is full does not vote, until a snapshot or the operator
//     has freed space.
//
// The effect of a command is defined by package statemachine. Package control
// decides when a version is in force.
package replica
