package quota

import (
	"slices"
	"time"

	"stepwick/internal/decision/rendezvous"
)

const (
	// suspectAfter is the time without an answer to counts after which an owner is
	// suspected. It exceeds a round trip between regions, and is well below the time
	// after which a front is known to be unresponsive.
	suspectAfter intervals = 2

	// relayCandidates is the number of fronts that are asked at once for a way to
	// another.
	relayCandidates = 3

	// maxSoughtFronts is the number of fronts to which a way is sought at once: a
	// partition between regions makes many unresponsive.
	maxSoughtFronts = 4

	// relayProbeEvery is the time between two probes for one front.
	relayProbeEvery intervals = 5

	// maxProbeFraction is the fraction of an owner's rate of requests up to which all
	// fronts probe an owner that is suspected.
	maxProbeFraction = 0.25

	// relayTrustedFor is the time after its last answer in which a relay is used.
	relayTrustedFor = 2 * relayProbeEvery
)

// Relays finds, for fronts that are unresponsive or suspected to be, another front
// that reaches them: the indirect probes of SWIM (Das, Gupta and Motivala 2002). A
// front with a relay keeps its tenants, so that a partition between two fronts alone
// doesn't make a second count of a tenant.
//
// Relays is a plain value with one owner. It decides which probes to send; a probe is
// an AddRequest without counts.
type Relays struct {
	self   string
	config Config
	sought map[string]*soughtFront
	fronts int // on the roster
}

// soughtFront is a front that doesn't answer and what is known of the ways to it.
type soughtFront struct {
	suspected    bool      // it did not answer counts
	unresponsive bool      // by the membership
	relay        string    // that answered last; "" if none did, or it has failed since
	answeredAt   time.Time // of the relay
	probedAt     time.Time
	offset       int // of the next candidates in their order
}

// Way is how a front is reached, or whether it is reached so: the question of a probe.
type Way struct {
	Front string
	Relay string // "": directly
}

// NewRelays returns Relays of the front named self without any relay.
func NewRelays(self string, config Config) *Relays {
	return &Relays{
		self:   self,
		config: config.withDefaults(),
		sought: map[string]*soughtFront{},
	}
}

// SuspectAfter returns the time without an answer to counts after which an owner is
// suspected.
func (r *Relays) SuspectAfter() time.Duration { return suspectAfter.in(&r.config) }

// Suspect records that a front did not answer counts in time. In a fleet whose probes
// would take much of what an owner accepts, it is rather slow than out of reach, and
// they would slow it further: there only the membership tells who is unresponsive.
func (r *Relays) Suspect(name string) {
	probes := float64(r.fronts*(relayCandidates+1)) / relayProbeEvery.in(&r.config).Seconds()
	if probes > maxProbeFraction*r.config.MaxAddRate {
		return
	}
	if front := r.seek(name); front != nil {
		front.suspected = true
	}
}

// seek returns a sought front, added if there are fewer than maxSoughtFronts, else nil.
func (r *Relays) seek(name string) *soughtFront {
	front := r.sought[name]
	if front == nil && name != r.self && len(r.sought) < maxSoughtFronts {
		front = &soughtFront{}
		r.sought[name] = front
	}
	return front
}

// Probes sets the membership and returns the probes that are due.
func (r *Relays) Probes(fronts, unresponsive []string, now time.Time) []Way {
	r.fronts = len(fronts)
	r.setMembership(fronts, unresponsive)
	if len(r.sought) == 0 {
		return nil
	}
	var probes []Way
	for _, name := range fronts {
		if front := r.sought[name]; front != nil && now.Sub(front.probedAt) >= relayProbeEvery.in(&r.config) {
			front.probedAt = now
			probes = front.appendProbes(probes, name, r.candidates(name, fronts, unresponsive))
		}
	}
	return probes
}

// setMembership seeks the unresponsive fronts, and forgets those that are gone or
// neither suspected nor unresponsive.
func (r *Relays) setMembership(fronts, unresponsive []string) {
	for name, front := range r.sought {
		front.unresponsive = slices.Contains(unresponsive, name)
		if !front.suspected && !front.unresponsive || !slices.Contains(fronts, name) {
			delete(r.sought, name)
		}
	}
	for _, name := range unresponsive {
		if front := r.seek(name); front != nil {
			front.unresponsive = true
		}
	}
}

// candidates returns the fronts that may reach another, by rendezvous hashing.
func (r *Relays) candidates(name string, fronts, unresponsive []string) []string {
	excluded := func(candidate string) bool {
		return candidate == r.self || candidate == name || r.sought[candidate] != nil
	}
	candidates := slices.DeleteFunc(slices.Clone(Reachable(fronts, unresponsive)), excluded)
	sortForSubject(candidates, name)
	return candidates
}

// appendProbes appends the probes through the relay in use, or else through the next
// candidates, and a direct one while the front is responsive by the membership.
func (s *soughtFront) appendProbes(probes []Way, front string, candidates []string) []Way {
	if !s.unresponsive {
		probes = append(probes, Way{Front: front})
	}
	if s.relay != "" {
		return append(probes, Way{front, s.relay})
	}
	for i := range min(relayCandidates, len(candidates)) {
		candidate := candidates[(s.offset+i)%len(candidates)]
		probes = append(probes, Way{front, candidate})
	}
	s.offset += relayCandidates
	return probes
}

// sortForSubject sorts names by descending weight of rendezvous hashing.
func sortForSubject(names []string, subject string) {
	slices.SortFunc(names, func(a, b string) int {
		weightA, weightB := rendezvous.Weight(a, subject), rendezvous.Weight(b, subject)
		switch {
		case weightA > weightB:
			return -1
		case weightA < weightB:
			return 1
		}
		return 0
	})
}

// Answered records that a front answered, through a relay or directly.
func (r *Relays) Answered(way Way, now time.Time) {
	front := r.sought[way.Front]
	switch {
	case front == nil:
	case way.Relay == "":
		front.suspected = false
		if !front.unresponsive {
			delete(r.sought, way.Front)
		}
	case front.relay == "" || front.relay == way.Relay:
		front.relay = way.Relay
		front.answeredAt = now
	}
}

// Failed records that a front did not answer through a relay. If the relay was in
// use, the next probes for the front are due at once.
func (r *Relays) Failed(way Way) {
	front := r.sought[way.Front]
	if front == nil || way.Relay == "" || front.relay != way.Relay {
		return
	}
	front.relay = ""
	front.probedAt = time.Time{}
}

// Routes returns the relays in use, by the front that they reach; nil if no way is
// sought.
func (r *Relays) Routes(now time.Time) map[string]string {
	if len(r.sought) == 0 {
		return nil
	}
	routes := make(map[string]string, len(r.sought))
	for name, front := range r.sought {
		if front.relay != "" && now.Sub(front.answeredAt) <= relayTrustedFor.in(&r.config) {
			routes[name] = front.relay
		}
	}
	return routes
}

// WithoutRoutes returns the unresponsive fronts that no relay reaches. It returns
// unresponsive itself if there is no relay.
func WithoutRoutes(unresponsive []string, routes map[string]string) []string {
	if len(routes) == 0 {
		return unresponsive
	}
	unreachable := make([]string, 0, len(unresponsive))
	for _, name := range unresponsive {
		if _, reached := routes[name]; !reached {
			unreachable = append(unreachable, name)
		}
	}
	return unreachable
}

// MayRelayTo reports whether a front passes counts on to another: that one is on the
// roster and responsive by its own pings.
func MayRelayTo(to string, fronts, unresponsive []string) bool {
	return slices.Contains(fronts, to) && !slices.Contains(unresponsive, to)
}
