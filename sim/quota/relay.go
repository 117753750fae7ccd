package quota

import (
	"stepwick/internal/decision/quota"
)

// noRelay is the index of the relay of a direct exchange.
const noRelay = -1

// probeRelays sends front i's probes for the fronts that it finds unresponsive.
func (r *run) probeRelays(i int) {
	f := r.fronts[i]
	live, unresponsive := r.reachability(i)
	for _, probe := range f.relays.Probes(live, unresponsive, r.clock(i)) {
		relay := noRelay
		if probe.Relay != "" {
			relay = r.index(probe.Relay)
		}
		x := &exchange{run: r, from: i, to: r.index(probe.Front), relay: relay, incarnation: f.incarnation, sentAt: r.clock(i), began: r.now}
		x.start()
	}
}

// unreachable returns the fronts that front i takes for members, and which of those
// it neither reaches itself nor through a relay.
func (r *run) unreachable(i int) (live, unreachable []string) {
	live, unresponsive := r.reachability(i)
	return live, quota.WithoutRelay(unresponsive, r.fronts[i].relays.ActiveRelays(r.clock(i)))
}

// relayTo returns the relay through which front i reaches front j, or noRelay.
func (r *run) relayTo(i, j int) int {
	if relay, known := r.fronts[i].relays.ActiveRelays(r.clock(i))[r.names[j]]; known {
		return r.index(relay)
	}
	return noRelay
}

// relayRefuses reports whether an exchange's relay doesn't reach the owner.
func (x *exchange) relayRefuses() bool {
	r := x.run
	live, unresponsive := r.reachability(x.relay)
	return !quota.MayRelayTo(r.names[x.to], live, unresponsive)
}

func (x *exchange) way() quota.Path {
	probe := quota.Path{Front: x.run.names[x.to]}
	if x.relay != noRelay {
		probe.Relay = x.run.names[x.relay]
	}
	return probe
}

// startRelayed sends the request to the relay, which passes it on.
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

// respondRelayed returns the owner's answer by way of the relay.
func (x *exchange) respondRelayed(respond func()) {
	x.deliver(x.to, x.relay, func() { x.deliver(x.relay, x.from, respond, x.timeOut) }, x.timeOut)
}

// suspectOverdue has front i seek ways to the owners that don't answer in time.
func (r *run) suspectOverdue(i int) {
	f := r.fronts[i]
	overdue := false
	for j, name := range r.names {
		if since, unanswered := f.unanswered[j]; unanswered && r.now-since > f.relays.SuspectAfter() {
			f.unanswered[j] = r.now
			f.relays.Suspect(name)
			overdue = true
		}
	}
	if overdue {
		r.probeRelays(i)
	}
}

// begin records since when direct exchanges with an owner have had no answer.
func (x *exchange) begin() {
	unanswered := x.run.fronts[x.from].unanswered
	if _, known := unanswered[x.to]; x.relay == noRelay && x.request != nil && !known {
		unanswered[x.to] = x.run.now
	}
}

// fail ends an exchange without an answer.
func (x *exchange) fail() {
	if x.ended {
		return
	}
	x.run.fronts[x.from].relays.Failed(x.way())
	x.done()
}

// succeed ends an exchange with an answer.
func (x *exchange) succeed() {
	if x.request != nil {
		delete(x.run.fronts[x.from].unanswered, x.to)
	}
	x.run.fronts[x.from].relays.Answered(x.way(), x.run.clock(x.from))
	x.done()
}
