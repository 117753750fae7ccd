package gateway

import (
	"time"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/decision/balance"
	"stepwick/internal/node/follower"
)

const (
	stallCheckInterval = 100 * time.Millisecond
	// recentResponse is the maximum age of a server's last response to this node at which
	// it contradicts another node's report that the server is unresponsive.
	recentResponse = 400 * time.Millisecond
)

// passiveHealth holds the dispatcher's state for detecting unresponsive servers from the
// requests sent to them.
type passiveHealth struct {
	// unreachable are the servers that are unreachable according to the current view.
	unreachable []string
	// stalled maps each stalled server to the highest level that was handled. It is
	// unrelated to the suspicion of package balance, which counts failed requests.
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

// checkStalled handles the servers that have stalled. It reports those that respond to
// this node again after a stall, and those that other nodes report as unreachable but
// that have recently responded to this node.
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
		if _, stillStalled := stalled[name]; stillStalled {
			continue
		}
		delete(d.stalled, name)
		if d.respondedRecently(name, now) {
			d.health.reportRecovered(upstream.Server{Name: name})
		}
	}
	for _, name := range d.unreachable {
		if _, stillStalled := stalled[name]; !stillStalled && d.respondedRecently(name, now) {
			d.health.report(upstream.Server{Name: name}, true)
		}
	}
}

func (d *dispatcher) respondedRecently(server string, now time.Time) bool {
	return d.table.RespondedSince(server, now.Add(-recentResponse))
}

// handleStall acts once on each higher stall level of a server. A server that starts to
// stall is probed, and a server at balance.Unresponsive is reported as unreachable. If
// probes are disabled, a server is already reported at balance.Stalled.
func (d *dispatcher) handleStall(server upstream.Server, level balance.StallLevel) {
	previous := d.stalled[server.Name]
	if level <= previous {
		return
	}
	probeFirst := !d.disabled[balance.ProbeBeforeReport]
	switch {
	case level == balance.Unresponsive, !probeFirst && level == balance.Stalled && previous < balance.Stalled:
		d.health.report(server, false)
	case probeFirst && previous == balance.NotStalled:
		d.health.probeStalled(server)
	}
	d.stalled[server.Name] = level
}

// handleUnacknowledgedServer ejects a server whose machine stopped acknowledging data,
// and reports it as unreachable unless it has already been reported at
// balance.Unresponsive.
func (d *dispatcher) handleUnacknowledgedServer(server string, now time.Time) {
	d.table.EjectUnacknowledgedServer(server, now)
	d.closeIdleConnections(server)
	if status := d.view.Servers[server]; status != nil && d.stalled[server] < balance.Unresponsive {
		d.health.report(upstream.Server{Name: server, Address: status.Address}, false)
	}
}
