package balance

import "time"

const (
	// heldFor is how long after its last use a shared prompt is taken to be kept
	// by a server that this node sent it to.
	heldFor = 8 * time.Second
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
	used   time.Time
}

func newHolders() holders { return holders{places: map[uint64][]place{}} }

func (h *holders) holds(key uint64, server string, now time.Time) bool {
	for _, p := range h.places[key] {
		if p.server == server {
			return now.Sub(p.used) < heldFor
		}
	}
	return false
}

func (h *holders) note(key uint64, server string, now time.Time) {
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
func (h *holders) sweep(now time.Time) {
	for key, places := range h.places {
		if now.Sub(places[0].used) >= heldFor {
			delete(h.places, key)
		}
	}
	if len(h.places) >= holdersMost {
		clear(h.places)
	}
}

// missing is how many tokens of a request's shared prompt a server is expected
// to read anew: none at the server on which all nodes agree for the prompt, and
// at those that this node sent it to of late.
func (t *Table) missing(s *server, request *Request, holder *server, now time.Time) float64 {
	if request.Affinity == 0 || s == holder || t.holders.holds(request.Affinity, s.name, now) {
		return 0
	}
	return request.Shared
}
