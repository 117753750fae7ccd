package loadgen

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
)

const (
	discoveryInterval = time.Second
	discoveryRetry    = 200 * time.Millisecond
	discoveryTimeout  = 2 * time.Second
	maxRemoteFronts   = 3 // used if a zone has no front
)

// frontSelector selects the front of an attempt: one of the nearest fronts without a
// recent failure.
type frontSelector struct {
	recorder   *history.Recorder
	nearest    *owner.Owner[map[string][]string]        // addresses by zone
	avoidUntil *owner.Owner[map[string]history.Instant] // end of the avoidance, by address
}

func newFrontSelector(f *fleet.Fleet) frontSelector {
	return frontSelector{
		recorder:   f.Recorder,
		nearest:    owner.New(map[string][]string{}),
		avoidUntil: owner.New(map[string]history.Instant{}),
	}
}

func (s *frontSelector) close() {
	s.nearest.Close()
	s.avoidUntil.Close()
}

func (s *frontSelector) setNearest(zone fleet.Location, addresses []string) {
	s.nearest.Do(func(nearest *map[string][]string) { (*nearest)[zone.ZoneName()] = addresses })
}

// choose returns the address of a front: the index-th, modulo their number, of the
// usable nearest fronts, else of all usable fronts, else of all fronts.
func (s *frontSelector) choose(zone fleet.Location, all []string, index uint64, tried map[string]bool) string {
	var nearest []string
	s.nearest.Do(func(byZone *map[string][]string) { nearest = (*byZone)[zone.ZoneName()] })
	now := s.recorder.Now()
	chosen := ""
	s.avoidUntil.Do(func(avoid *map[string]history.Instant) {
		usable := func(address string) bool { return !tried[address] && (*avoid)[address] <= now }
		chosen = pickUsable(nearest, index, usable)
		if chosen == "" {
			chosen = pickUsable(all, index, usable)
		}
	})
	if chosen == "" {
		chosen = all[index%uint64(len(all))]
	}
	return chosen
}

// pickUsable returns the index-th of the usable addresses, modulo their number; empty
// if there is none.
func pickUsable(addresses []string, index uint64, usable func(string) bool) string {
	var candidates []string
	for _, address := range addresses {
		if usable(address) {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	return candidates[index%uint64(len(candidates))]
}

// avoidFor makes callers avoid a front for a duration.
func (s *frontSelector) avoidFor(address string, d time.Duration) {
	until := s.recorder.Now() + d
	s.avoidUntil.Post(func(avoid *map[string]history.Instant) { (*avoid)[address] = until })
}

func (c *Callers) nodeAddresses() []string {
	var addresses []string
	for _, node := range c.Fleet.Nodes {
		addresses = append(addresses, node.CallerAddress)
	}
	return addresses
}

// connectAnswer is the answer to GET /v1/connect.
type connectAnswer struct {
	Nodes []connectNode
}

type connectNode struct {
	Name    string
	Address string
	Region  string
	Zone    string
}

// discoverFronts periodically requests which fronts the callers of a zone should connect
// to, each time from a random node, until ctx ends.
func (c *Callers) discoverFronts(ctx context.Context, zone fleet.Location) {
	random := rand.New(rand.NewPCG(c.seed, uint64(len(zone.ZoneName()))))
	for {
		node := c.Fleet.Nodes[random.IntN(len(c.Fleet.Nodes))]
		wait := discoveryRetry
		if nodes, err := c.requestFronts(node, zone); err == nil {
			c.fronts.setNearest(zone, nearestAddresses(nodes, zone))
			wait = discoveryInterval
		}
		if !owner.Sleep(ctx, wait) {
			return
		}
	}
}

func (c *Callers) requestFronts(node *fleet.Node, zone fleet.Location) ([]connectNode, error) {
	tenant := c.Tenants[0]
	path := "/v1/connect?service=" + tenant.Service + "&region=" + zone.Region + "&zone=" + zone.Zone
	req := newRequest(http.MethodGet, node.CallerAddress, path, nil)
	req.Header.Set("Authorization", "Bearer "+tenant.Key)
	status, data, err := exchange(req, node.CallerAddress, discoveryTimeout)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errors.Errorf("GET /v1/connect: HTTP status %d, want 200", status)
	}
	var answer connectAnswer
	if err := json.Unmarshal(data, &answer); err != nil {
		return nil, errors.Wrap(err, "decode answer to GET /v1/connect")
	}
	if len(answer.Nodes) == 0 {
		return nil, errors.New("answer to GET /v1/connect lists no nodes")
	}
	return answer.Nodes, nil
}

// nearestAddresses returns the addresses of the nodes in a zone, or of the first
// maxRemoteFronts nodes if the zone has none.
func nearestAddresses(nodes []connectNode, zone fleet.Location) []string {
	var addresses []string
	for _, node := range nodes {
		if node.Region == zone.Region && node.Zone == zone.Zone {
			addresses = append(addresses, node.Address)
		}
	}
	if len(addresses) > 0 {
		return addresses
	}
	for _, node := range nodes[:min(maxRemoteFronts, len(nodes))] {
		addresses = append(addresses, node.Address)
	}
	return addresses
}
