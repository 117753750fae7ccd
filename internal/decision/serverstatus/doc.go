// Package serverstatus merges what many watchers report of the servers into one
// status each. Reports are a state-based CRDT: for each watcher and server the
// higher (incarnation, counter) wins, so reports may arrive in any order,
// repeatedly and through any core, and every process that stores the same reports
// derives the same statuses.
//
// A watcher reports from two sources under two ids: the platform's list, and the
// server's own status endpoint. The list gives the address, the zone and the state
// that the platform wants; the server gives load and reachability. The age of a
// report is measured against the newest report on the same server, not against a
// clock: a watcher that stopped is outdated by the others after Config.FreshFor,
// and when all watchers of a server stopped their last reports stay valid. A
// server that nobody has polled yet counts as reachable.
//
// A core merges the reports and publishes the result to the fronts when it
// changes. A merged report stays valid until a newer one; what the front's own
// watcher reported since can only make the state worse, or bring newer load.
//
// The package does no I/O and reads no clock. Instants are fleet time.
package serverstatus
