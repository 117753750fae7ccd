package balance

import (
	"math"

	"stepwick/internal/kernel"
)

const (
	// heldFor is how long after its last use a shared prompt is taken to be kept
	// by a server that this node sent it to.
	heldFor = 8 * kernel.Second
	// holdersMost bounds the shared prompts that are remembered, and placesMost
	// the servers of each.
	holdersMost = 8192
	placesMost  = 4
)

// holders remembers which servers this node has sent a shared prompt to.
type holders struct {
	places map[uint64][]place
}

type place struct {
	server string
	used   kernel.Time
}

func newHolders() holders { return holders{places: map[uint64][]place{}} }

func (h *holders) holds(key uint64, server string, now kernel.Time) bool {
	for _, p := range h.places[key] {
		if p.server == server {
			return now.Sub(p.used) < heldFor
		}
	}
	return false
}

func (h *holders) note(key uint64, server string, now kernel.Time) {
	if key == 0 {
		return
	}
	if len(h.places) >= holdersMost {
		h.sweep(now)
	}
	kept := make([]place, 0, placesMost)
	kept = append(kept, place{server: server, used: now})
	for _, p := range h.places[key] {
		if p.server != server && now.Sub(p.used) < heldFor && len(kept) < placesMost {
			kept = append(kept, p)
		}
	}
	h.places[key] = kept
}

// sweep drops what was not used of late, or everything where that is not enough.
func (h *holders) sweep(now kernel.Time) {
	for key, places := range h.places {
		if now.Sub(places[0].used) >= heldFor {
			delete(h.places, key)
		}
	}
	if len(h.places) >= holdersMost {
		clear(h.places)
	}
}

// popularity counts, with fading weight, how often this node has been asked for
// each part of a prompt of late.
type popularity struct {
	parts map[uint64]*popular
}

type popular struct {
	uses float64
	at   kernel.Time
}

func newPopularity() popularity { return popularity{parts: map[uint64]*popular{}} }

// uses is how often a part was asked for within about heldFor.
func (p *popularity) uses(digest uint64, now kernel.Time) float64 {
	one := p.parts[digest]
	if one == nil {
		return 0
	}
	return one.uses * math.Exp(-now.Sub(one.at).Seconds()/heldFor.Seconds())
}

func (p *popularity) note(digest uint64, now kernel.Time) {
	if len(p.parts) >= holdersMost {
		clear(p.parts)
	}
	p.parts[digest] = &popular{uses: p.uses(digest, now) + 1, at: now}
}

// remember notes that a request was sent to a server.
func (t *Table) remember(request *Request, server string, now kernel.Time) {
	for i, part := range request.Shared {
		t.holders.note(part.Digest, server, now)
		if i < len(request.Shared)-1 {
			t.asked.note(part.Digest, now)
		}
	}
}

// missing is how many tokens of a request's shared prompt a server is expected
// to read anew. The server on which all nodes agree for the prompt, and those
// that this node sent it to of late, hold all of it. Of others it is known how
// popular the parts at the prompt's beginning are: as many prompts begin with
// them, they are asked for at many servers.
func (t *Table) missing(s *server, request *Request, holder *server, now kernel.Time) float64 {
	affinity := request.affinity()
	if affinity == 0 || s == holder || t.holders.holds(affinity, s.name, now) {
		return 0
	}
	missing, held := 0.0, 1.0
	for i, part := range request.Shared {
		switch {
		case t.config.Off[Parts], i == len(request.Shared)-1:
			held = 0
		case !t.holders.holds(part.Digest, s.name, now):
			held *= 1 - math.Exp(-t.usesPerServer(part.Digest, request.Service, now))
		}
		missing += part.Tokens * (1 - held)
	}
	return missing
}

// usesPerServer is how often a part is likely to have been asked for at each
// server of a service of late, if all nodes are asked for it as often as this
// one.
func (t *Table) usesPerServer(digest uint64, service string, now kernel.Time) float64 {
	return t.asked.uses(digest, now) * float64(len(t.fronts)) / float64(max(len(t.pools[service]), 1))
}
