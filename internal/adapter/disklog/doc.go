// Package disklog keeps a core's records in a write-ahead log of segment files,
// with a snapshot that replaces the records before it.
//
// Records have consecutive indices from 1. Appends that arrive while a sync runs
// are written and synced together (group commit), on a goroutine of the log, so
// that the owner of the log never waits for the disk.
//
// Invariants:
//
//   - A record is safe when its index was delivered on Synced; an index is
//     delivered after all before it.
//   - A batch is written only when the batch before is synced. A record that
//     fails its checksum and has a complete record of a later batch after it was
//     therefore synced once: that is corruption, not a torn write.
//   - A segment or older snapshot is removed only when the snapshot that replaces
//     it is synced under its final name.
//   - After a failed write or sync the log takes nothing more. It has to be
//     opened again, which finds out what is on disk.
//
// The package knows nothing of the contents of records and snapshots, and
// doesn't lock its folder against another process.
package disklog
