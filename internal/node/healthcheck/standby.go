package healthcheck

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// InspectListed is the name of the inspection by which a core reports when the
// platform's list was last read; its body is a Listed.
const InspectListed = "listed"

// Listed is the JSON form of a core's report on the platform's list.
type Listed struct {
	AtMS int64 `json:"at_ms"` // fleet time of the last reading
}

const (
	// standbyShare is the part of DrainWithin after which a list that nobody read is
	// read by the fronts of another region.
	standbyShare = 0.4
	// minStandbyDelay is the least delay: a list that is read regularly is confirmed
	// to the cores each 1.4 s. Under it every region reads for itself.
	minStandbyDelay = 2 * time.Second
	// listedTimeout bounds the request to a core for when the list was read.
	listedTimeout = 300 * time.Millisecond
	// listSubject is the subject for which regions are ranked.
	listSubject = "the platform's list"
)

var errNoCore = errors.New("no core is known")

// standbyDelay returns after how long without a reading the fronts of standby
// regions read the list; zero where every region reads for itself.
func (c Config) standbyDelay() time.Duration {
	delay := time.Duration(standbyShare * float64(c.DrainWithin))
	if delay < minStandbyDelay {
		return 0
	}
	return delay
}

// discover reads the list. A front of a standby region does that only where the
// cores report no recent reading, or don't answer.
func (c *Checker) discover(ctx context.Context, fronts []*wire.Process) {
	delay := c.config.standbyDelay()
	if delay == 0 || isActiveRegion(c.config.Region, fronts) {
		c.readList(ctx)
		return
	}
	c.discovery.inFlight = true
	requestedAt := c.config.FleetNow()
	c.runAsync(ctx, func() func() {
		listedAt, err := c.fetchListedAt(ctx)
		return func() {
			c.discovery.inFlight = false
			if err != nil || requestedAt.Sub(listedAt) > delay {
				c.readList(ctx)
			}
		}
	})
}

// fetchListedAt requests from a core the fleet time at which the list was last
// read.
func (c *Checker) fetchListedAt(ctx context.Context) (time.Time, error) {
	core := c.votingCore()
	if core == nil {
		return time.Time{}, errNoCore
	}
	ctx, cancel := context.WithTimeout(ctx, listedTimeout)
	defer cancel()
	resp, err := c.peers.Client(core.Address).Inspect(ctx, connect.NewRequest(&wire.InspectRequest{What: InspectListed}))
	if err != nil {
		return time.Time{}, err
	}
	if apierror.Code(resp.Msg.Code) != apierror.OK {
		return time.Time{}, errors.Errorf("core %s: code %d", core.Name, resp.Msg.Code)
	}
	var listed Listed
	if err := json.Unmarshal(resp.Msg.Body, &listed); err != nil {
		return time.Time{}, errors.Wrapf(err, "core %s", core.Name)
	}
	return time.UnixMilli(listed.AtMS), nil
}

// votingCore returns a voting core, one of the own region where there is one, or
// nil.
func (c *Checker) votingCore() *wire.Process {
	var near, far *wire.Process
	for _, core := range c.peers.Cores() {
		switch {
		case core.Standing != wire.Standing_STANDING_VOTING:
		case core.Region == c.config.Region && near == nil:
			near = core
		case far == nil:
			far = core
		}
	}
	if near != nil {
		return near
	}
	return far
}

// isActiveRegion reports whether a region's fronts are those that read the list:
// the first by rendezvous hashing among the regions that have fronts.
func isActiveRegion(region string, fronts []*wire.Process) bool {
	var regions []string
	for _, front := range fronts {
		if front.Front && !front.Leaving && !slices.Contains(regions, front.Region) {
			regions = append(regions, front.Region)
		}
	}
	return isAmongFirst(region, listSubject, regions, 1)
}
