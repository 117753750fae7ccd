package gateway

import (
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/decision/balance"
	"stepwick/internal/node/follower"
)

const (
	stallCheckInterval = 100 * time.Millisecond
	// recentResponse is how recent a server's response to this node must be to
	// contradict another node's report that the server is unresponsive.
	recentResponse = 400 * time.Millisecond
)

// passiveHealth is what the dispatcher knows of unresponsive servers by the
// requests that it sent them.
type passiveHealth struct {
	// unreachable are the servers that the newest view has as unreachable.
	unreachable []string
	// stalled has the servers that stall, with the highest level that was acted on.
	// The suspicion of package balance is another thing: it counts failures.
	stalled map[string]balance.StallLevel
}

func (h *passiveHealth) recordUnreachable(view *follower.View) {
	h.unreachable = h.unreachable[:0]
	for name, status := range view.Servers {
		if !status.Reachable {
			h.unreachable = append(h.unreachable, name)
		}
	}
}

// checkStalled reports servers that have stopped to respond to what this node sent
// them, those that respond to it again, and those that are reported as unreachable
// by others and have recently responded to this node.
func (d *dispatcher) checkStalled() {
	if d.disabled[balance.UnresponsiveReports] {
		return
	}
	now := d.clock.Now()
	stalled := d.table.StalledServers(now)
	for name, server := range stalled {
		d.handleStall(upstream.Server{Name: name, Address: server.Address}, server.Level)
	}
	for name := range d.stalled {
		if _, still := stalled[name]; still {
			continue
		}
		delete(d.stalled, name)
		if d.respondedRecently(name, now) {
			d.health.reportRecovered(upstream.Server{Name: name})
		}
	}
	for _, name := range d.unreachable {
		if _, still := stalled[name]; !still && d.respondedRecently(name, now) {
			d.health.report(upstream.Server{Name: name}, true)
		}
	}
}

func (d *dispatcher) respondedRecently(server string, now time.Time) bool {
	return d.table.RespondedSince(server, now.Add(-recentResponse))
}

// handleStall acts once on each higher stall level of a server: it has the server probed,
// and reports one that is unresponsive. Without probes it reports one that stalls.
func (d *dispatcher) handleStall(server upstream.Server, level balance.StallLevel) {
	previous := d.stalled[server.Name]
	if level <= previous {
		return
	}
	probes := !d.disabled[balance.ProbeBeforeReport]
	switch {
	case level == balance.Unresponsive, !probes && level == balance.Stalled && previous < balance.Stalled:
		d.health.report(server, false)
	case probes && previous == balance.NotStalled:
		d.health.probeStalled(server)
	}
	d.stalled[server.Name] = level
}

// serverUnacknowledged ejects a server whose machine stopped to acknowledge, and
// reports it unless it has been reported as such already.
func (d *dispatcher) serverUnacknowledged(server string, now time.Time) {
	d.table.EjectUnacknowledgedServer(server, now)
	d.closeIdleConnections(server)
	if status := d.view.Servers[server]; status != nil && d.stalled[server] < balance.Unresponsive {
		d.health.report(upstream.Server{Name: server, Address: status.Address}, false)
	}
}
