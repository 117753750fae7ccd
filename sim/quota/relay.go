package quota

import (
	"stepwick/internal/decision/quota"
)

// noRelay is the relay index of a direct exchange.
const noRelay = -1

// probeRelays sends the probes of front i, direct and through relays, to the fronts that
// it finds unresponsive or suspects.
func (r *run) probeRelays(i int) {
	f := r.fronts[i]
	live, unresponsive := r.membership(i)
	for _, probe := range f.relays.Probes(live, unresponsive, r.clock(i)) {
		relay := noRelay
		if probe.Relay != "" {
			relay = r.frontIndex(probe.Relay)
		}
		x := &exchange{run: r, from: i, to: r.frontIndex(probe.Front), relay: relay, incarnation: f.incarnation, sentAt: r.clock(i), startedAt: r.now}
		x.start()
	}
}

// membershipWithRelays returns the fronts on front i's roster, and those of them that it
// reaches neither directly nor through a relay.
func (r *run) membershipWithRelays(i int) (live, unreachable []string) {
	live, unresponsive := r.membership(i)
	return live, quota.WithoutRelay(unresponsive, r.fronts[i].relays.ActiveRelays(r.clock(i)))
}

// relayTo returns the relay that front i uses for front j, or noRelay.
func (r *run) relayTo(i, j int) int {
	if relay, relayed := r.fronts[i].relays.ActiveRelays(r.clock(i))[r.names[j]]; relayed {
		return r.frontIndex(relay)
	}
	return noRelay
}

// relayRefuses reports whether the relay refuses to forward the request because the owner
// is not on its roster or is unresponsive to its own pings.
func (x *exchange) relayRefuses() bool {
	r := x.run
	live, unresponsive := r.membership(x.relay)
	return !quota.MayRelayTo(r.names[x.to], live, unresponsive)
}

func (x *exchange) path() quota.Path {
	path := quota.Path{Front: x.run.names[x.to]}
	if x.relay != noRelay {
		path.Relay = x.run.names[x.relay]
	}
	return path
}

// startRelayed sends the request to the relay, which forwards or refuses it.
func (x *exchange) startRelayed() {
	r := x.run
	x.deliver(x.from, x.relay, func() {
		switch {
		case r.fronts[x.relay].down || r.isFrozen(r.now, x.relay):
			x.timeOut()
		case x.relayRefuses():
			x.deliver(x.relay, x.from, x.fail, x.timeOut)
		default:
			x.deliver(x.relay, x.to, x.arrive, x.timeOut)
		}
	}, x.timeOut)
}

// respondRelayed sends the owner's response through the relay.
func (x *exchange) respondRelayed(respond func()) {
	x.deliver(x.to, x.relay, func() { x.deliver(x.relay, x.from, respond, x.timeOut) }, x.timeOut)
}

// suspectOverdueOwners makes front i suspect the owners that haven't answered a direct
// exchange in time, and probe them.
func (r *run) suspectOverdueOwners(i int) {
	f := r.fronts[i]
	overdue := false
	for j, name := range r.names {
		if since, waiting := f.unansweredSince[j]; waiting && r.now-since > f.relays.SuspectAfter() {
			f.unansweredSince[j] = r.now
			f.relays.Suspect(name)
			overdue = true
		}
	}
	if overdue {
		r.probeRelays(i)
	}
}

// recordUnanswered records the start of a direct exchange, unless an older one with the
// same owner is recorded.
func (x *exchange) recordUnanswered() {
	unansweredSince := x.run.fronts[x.from].unansweredSince
	if _, recorded := unansweredSince[x.to]; x.relay == noRelay && x.request != nil && !recorded {
		unansweredSince[x.to] = x.run.now
	}
}

// fail ends an exchange that was not answered.
func (x *exchange) fail() {
	if x.ended {
		return
	}
	x.run.fronts[x.from].relays.Failed(x.path())
	x.end()
}

// succeed ends an exchange that was answered.
func (x *exchange) succeed() {
	if x.request != nil {
		delete(x.run.fronts[x.from].unansweredSince, x.to)
	}
	x.run.fronts[x.from].relays.Answered(x.path(), x.run.clock(x.from))
	x.end()
}
