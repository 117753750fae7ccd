// Package control implements the control plane of a core. It grants leases,
// publishes the feed that fronts follow, executes operators' orders until they
// are in force, maintains the roster, and computes plans while its core is the
// planner's leader. It runs next to the core's replica of the agreed state.
//
// The goroutine that runs Controller.Serve, called the owner, owns all state
// except the fields marked otherwise. RPC handlers post a function to the owner
// and wait for the result in their own goroutine. Slow work (calls to other
// cores, proposals, computing a plan) runs in goroutines that post their results.
// The owner therefore never waits for the network or the disk, and needs no locks.
//
// Invariants:
//   - The controller grants no lease before it has read the state of a majority
//     of cores since its own start.
//   - The learned version in its answers never decreases within one incarnation.
//   - An order is acknowledged only once lease.VersionConfirmed is met.
//
// Agreement on values is the task of internal/node/replica, and the handling of
// client requests that of internal/node/front.
package control
