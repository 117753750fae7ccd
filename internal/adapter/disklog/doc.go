// Package disklog stores a core's records in a write-ahead log of segment files,
// with snapshots that replace the records before them.
//
// Records have consecutive indices starting at 1. Appends that arrive during a
// sync are written and synced together (group commit) by the log's writer
// goroutine, so the owner of the log never blocks on the disk.
//
// Invariants:
//
//   - A record is durable once Synced has delivered its index or a higher one.
//   - A batch is written only after the previous batch is synced. If a record
//     fails its checksum but a complete record of a later batch follows, the
//     failing record was synced before: that is corruption, not a torn write.
//   - A segment or older snapshot is removed only after the snapshot that replaces
//     it is synced under its final name.
//   - After a failed write or sync the log accepts no further requests. It must be
//     reopened, which determines what is on disk.
//
// The package does not interpret records or snapshots, and does not lock its
// folder against other processes.
package disklog
