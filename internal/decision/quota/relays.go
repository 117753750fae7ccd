package quota

import (
	"slices"
	"time"

	"stepwick/internal/decision/rendezvous"
)

const (
	// suspectAfter is the time without a response to counts after which an owner is
	// suspected. It exceeds the round-trip time between regions, and is well below the
	// time after which the membership reports a front as unresponsive.
	suspectAfter intervals = 2

	// probeFanout is the number of fronts through which a front is probed indirectly at
	// the same time.
	probeFanout = 3

	// maxProbeTargets is the number of fronts that are probed at the same time. It limits
	// the probes during a partition between regions, which makes many fronts unresponsive.
	maxProbeTargets = 4

	// probeInterval is the time between two rounds of probes of one front.
	probeInterval intervals = 5

	// maxProbeFraction is the fraction of Config.MaxAddRate that the probes of one
	// suspected owner by all fronts may reach.
	maxProbeFraction = 0.25

	// relayExpiry is how long a relay is used after the last answer through it.
	relayExpiry = 2 * probeInterval
)

// Relays selects a relay, another front that forwards requests, for each front that is
// unresponsive or suspected to be. It uses the indirect probes of SWIM (Das, Gupta and
// Motivala 2002). A front that is reachable through a relay remains the owner of its
// tenants, so that a failed connection between just two fronts doesn't cause a tenant to
// be counted twice.
//
// Relays decides which probes to send but doesn't send them; a probe is an AddRequest
// without counts. It is not safe for concurrent use.
type Relays struct {
	self       string
	config     Config
	targets    map[string]*probeTarget
	frontCount int // number of fronts on the roster
}

// probeTarget is the state of a front that is being probed.
type probeTarget struct {
	suspected       bool      // it did not respond to counts in time
	unresponsive    bool      // according to the membership
	relay           string    // relay in use; "" if no probe was answered, or the relay has failed since
	relayAnsweredAt time.Time // time of the last answer through relay
	probedAt        time.Time
	nextCandidate   int // index of the next candidate to probe through
}

// Path is a path to a front, direct or through a relay. A probe tests one Path.
type Path struct {
	Front string
	Relay string // "" if the path is direct
}

// NewRelays returns the Relays of the front named self, without any relay in use.
func NewRelays(self string, config Config) *Relays {
	return &Relays{
		self:    self,
		config:  config.withDefaults(),
		targets: map[string]*probeTarget{},
	}
}

// SuspectAfter returns the time without a response to counts after which an owner should
// be reported to Suspect.
func (r *Relays) SuspectAfter() time.Duration { return suspectAfter.duration(&r.config) }

// Suspect records that a front did not respond to counts in time. It does nothing in a
// fleet so large that probes of one owner would exceed maxProbeFraction of its request
// rate: there the owner is more likely overloaded than unreachable, and probes would add
// to its load, so that only the membership determines which fronts are unresponsive.
func (r *Relays) Suspect(name string) {
	probes := float64(r.frontCount*(probeFanout+1)) / probeInterval.duration(&r.config).Seconds()
	if probes > maxProbeFraction*r.config.MaxAddRate {
		return
	}
	if target := r.ensureTarget(name); target != nil {
		target.suspected = true
	}
}

// ensureTarget returns the target for a front. If there is none, it adds one, or returns
// nil if the front is this one or there are already maxProbeTargets.
func (r *Relays) ensureTarget(name string) *probeTarget {
	target := r.targets[name]
	if target == nil && name != r.self && len(r.targets) < maxProbeTargets {
		target = &probeTarget{}
		r.targets[name] = target
	}
	return target
}

// Probes updates the membership and returns the probes that are due; the caller must send
// them.
func (r *Relays) Probes(fronts, unresponsive []string, now time.Time) []Path {
	r.frontCount = len(fronts)
	r.setMembership(fronts, unresponsive)
	if len(r.targets) == 0 {
		return nil
	}
	var probes []Path
	for _, name := range fronts {
		if target := r.targets[name]; target != nil && now.Sub(target.probedAt) >= probeInterval.duration(&r.config) {
			target.probedAt = now
			probes = target.appendProbes(probes, name, r.candidates(name, fronts, unresponsive))
		}
	}
	return probes
}

// setMembership adds the unresponsive fronts to the targets, and removes targets that
// left the roster or are neither suspected nor unresponsive.
func (r *Relays) setMembership(fronts, unresponsive []string) {
	for name, target := range r.targets {
		target.unresponsive = slices.Contains(unresponsive, name)
		if !target.suspected && !target.unresponsive || !slices.Contains(fronts, name) {
			delete(r.targets, name)
		}
	}
	for _, name := range unresponsive {
		if target := r.ensureTarget(name); target != nil {
			target.unresponsive = true
		}
	}
}

// candidates returns the fronts that may be used as relays to another, in the order of
// their rendezvous weight.
func (r *Relays) candidates(name string, fronts, unresponsive []string) []string {
	excluded := func(candidate string) bool {
		return candidate == r.self || candidate == name || r.targets[candidate] != nil
	}
	candidates := slices.DeleteFunc(slices.Clone(Reachable(fronts, unresponsive)), excluded)
	sortByWeight(candidates, name)
	return candidates
}

// appendProbes appends a probe through the relay in use or, if there is none, probes
// through the next candidates. It also appends a direct probe while the membership
// considers the front responsive.
func (t *probeTarget) appendProbes(probes []Path, front string, candidates []string) []Path {
	if !t.unresponsive {
		probes = append(probes, Path{Front: front})
	}
	if t.relay != "" {
		return append(probes, Path{front, t.relay})
	}
	for i := range min(probeFanout, len(candidates)) {
		candidate := candidates[(t.nextCandidate+i)%len(candidates)]
		probes = append(probes, Path{front, candidate})
	}
	t.nextCandidate += probeFanout
	return probes
}

// sortByWeight sorts names by descending rendezvous weight for a key.
func sortByWeight(names []string, key string) {
	slices.SortFunc(names, func(a, b string) int {
		weightA, weightB := rendezvous.Weight(a, key), rendezvous.Weight(b, key)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		}
		return 0
	})
}

// Answered records that a probe or request was answered. The first relay to answer is
// used until it fails. A direct answer ends the suspicion of a front.
func (r *Relays) Answered(path Path, now time.Time) {
	target := r.targets[path.Front]
	switch {
	case target == nil:
	case path.Relay == "":
		target.suspected = false
		if !target.unresponsive {
			delete(r.targets, path.Front)
		}
	case target.relay == "" || target.relay == path.Relay:
		target.relay = path.Relay
		target.relayAnsweredAt = now
	}
}

// Failed records that a probe or request through a relay was not answered. If that relay
// was in use, the next probes of the front are due immediately.
func (r *Relays) Failed(path Path) {
	target := r.targets[path.Front]
	if target == nil || path.Relay == "" || target.relay != path.Relay {
		return
	}
	target.relay = ""
	target.probedAt = time.Time{}
}

// ActiveRelays returns the relays that answered within relayExpiry, by the front that they
// reach. It returns nil if no front is being probed.
func (r *Relays) ActiveRelays(now time.Time) map[string]string {
	if len(r.targets) == 0 {
		return nil
	}
	routes := make(map[string]string, len(r.targets))
	for name, target := range r.targets {
		if target.relay != "" && now.Sub(target.relayAnsweredAt) <= relayExpiry.duration(&r.config) {
			routes[name] = target.relay
		}
	}
	return routes
}

// WithoutRelay returns the unresponsive fronts that no relay reaches. If routes is
// empty, it returns unresponsive itself, not a copy.
func WithoutRelay(unresponsive []string, routes map[string]string) []string {
	if len(routes) == 0 {
		return unresponsive
	}
	unreachable := make([]string, 0, len(unresponsive))
	for _, name := range unresponsive {
		if _, relayed := routes[name]; !relayed {
			unreachable = append(unreachable, name)
		}
	}
	return unreachable
}

// MayRelayTo reports whether a front may relay counts to the front named to: it must be
// on the roster and respond to the relaying front's own pings.
func MayRelayTo(to string, fronts, unresponsive []string) bool {
	return slices.Contains(fronts, to) && !slices.Contains(unresponsive, to)
}
