// Package control is the control plane of a core, beside its replica of the
// agreed state. It grants leases, publishes the feed that fronts follow,
// coordinates operators' orders until they are in force, maintains the roster and
// runs the planner when it is the leader for it.
//
// A Controller has one goroutine, Serve, that owns all state but the few fields
// marked otherwise. Handlers of calls post a function to it and wait outside for
// the result; slow work (calls to other cores, proposals, computing a plan) runs
// in goroutines that post their result. So the owner never waits for the network
// or the disk, and needs no locks.
//
// Invariants:
//   - No lease is granted before the controller has read the state of a majority
//     since its own start.
//   - The learned version in its answers never falls within one incarnation.
//   - An order is acknowledged only once lease.VersionConfirmed is met.
//
// The package doesn't agree on values (internal/node/replica does), and doesn't
// carry requests of clients (internal/node/front does).
package control
