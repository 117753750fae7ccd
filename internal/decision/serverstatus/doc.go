// Package serverstatus merges the reports of many watchers into one status per
// server. The set of reports is a state-based CRDT: for each watcher and server the
// report with the higher (incarnation, counter) wins. Reports may therefore arrive
// in any order, more than once and through any core, and all processes that store
// the same reports derive the same statuses.
//
// A watcher reports from two sources, each under its own watcher id: the platform's
// list of servers, and the server's own status endpoint. The list provides the
// address, the zone and the state that the platform wants; the endpoint provides
// load and reachability. The age of a report is measured against the newest report
// on the same server from the same source, not against a clock: the reports of a
// stopped watcher become outdated once other watchers have reported for
// Config.FreshFor, and if all watchers of a server stop, their last reports remain
// valid. Time-outs are also measured against the newest report from the list. A server
// that no watcher has polled yet counts as reachable.
//
// A core merges the reports and publishes the result to the fronts whenever it
// changes. A merged report remains valid until a newer one replaces it; later reports
// from the front's own watcher can only make the state more severe or provide newer
// load.
//
// The package does no I/O and reads no clock. All times are fleet time, each
// process's estimate of the median clock of the cores.
package serverstatus
