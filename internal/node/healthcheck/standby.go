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

// InspectListTime is the name of the inspection that returns when, as far as a core
// knows, any front last read the platform's list. Its body is a ListTime.
const InspectListTime = "listed"

// ListTime is the JSON body of the inspection InspectListTime.
type ListTime struct {
	ObservedAtMS int64 `json:"at_ms"` // fleet time of the last read, in ms since the epoch
}

const (
	// standbyDelayFraction is the fraction of DrainWithin after which the fronts of
	// standby regions read the list if no other front has.
	standbyDelayFraction = 0.4
	// minStandbyDelay is the minimum delay, because the cores receive a confirmation of
	// a regularly read list only every 1.4 s. If the delay would be shorter, every
	// region reads the list.
	minStandbyDelay = 2 * time.Second
	// listTimeTimeout bounds the inspection InspectListTime of a core.
	listTimeTimeout = 300 * time.Millisecond
	// listSubject is the subject of the rendezvous hashing that ranks regions. All
	// fronts must use the same value.
	listSubject = "the platform's list"
)

var errNoCore = errors.New("no voting core is known")

// standbyDelay returns the time without a read after which the fronts of standby
// regions read the list, or zero if there are no standby regions: every region reads
// the list then.
func (c Config) standbyDelay() time.Duration {
	delay := time.Duration(standbyDelayFraction * float64(c.DrainWithin))
	if delay < minStandbyDelay {
		return 0
	}
	return delay
}

// discover starts a read of the list. In a standby region it first asks a core when
// the list was last read, and reads it only if that is longer ago than the standby
// delay or no core answers.
func (c *Checker) discover(ctx context.Context, fronts []*wire.Process) {
	delay := c.config.standbyDelay()
	if delay == 0 || isActiveRegion(c.config.Region, fronts) {
		c.readList(ctx)
		return
	}
	c.discovery.inFlight = true
	requestedAt := c.config.FleetNow()
	c.runAsync(ctx, func() func() {
		listedAt, err := c.fetchListTime(ctx)
		return func() {
			c.discovery.inFlight = false
			if err != nil || requestedAt.Sub(listedAt) > delay {
				c.readList(ctx)
			}
		}
	})
}

// fetchListTime asks a voting core for the fleet time of the last read of the list.
func (c *Checker) fetchListTime(ctx context.Context) (time.Time, error) {
	core := c.votingCore()
	if core == nil {
		return time.Time{}, errNoCore
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeTimeout)
	defer cancel()
	resp, err := c.peers.Client(core.Address).Inspect(ctx, connect.NewRequest(&wire.InspectRequest{What: InspectListTime}))
	if err != nil {
		return time.Time{}, err
	}
	if apierror.Code(resp.Msg.Code) != apierror.OK {
		return time.Time{}, errors.Errorf("inspection of the time of the last list read at core %s failed with code %d", core.Name, resp.Msg.Code)
	}
	var listed ListTime
	if err := json.Unmarshal(resp.Msg.Body, &listed); err != nil {
		return time.Time{}, errors.Wrapf(err, "decode time of the last list read from core %s", core.Name)
	}
	return time.UnixMilli(listed.ObservedAtMS), nil
}

// votingCore returns a voting core, preferably in this front's region, or nil if none
// is known.
func (c *Checker) votingCore() *wire.Process {
	var sameRegion, otherRegion *wire.Process
	for _, core := range c.peers.Cores() {
		switch {
		case core.Standing != wire.Standing_STANDING_VOTING:
		case core.Region == c.config.Region && sameRegion == nil:
			sameRegion = core
		case otherRegion == nil:
			otherRegion = core
		}
	}
	if sameRegion != nil {
		return sameRegion
	}
	return otherRegion
}

// isActiveRegion reports whether a region is the active one, whose fronts read the
// list. That is the first by rendezvous hashing among the regions with fronts that are
// not leaving; all others are standby regions.
func isActiveRegion(region string, fronts []*wire.Process) bool {
	var regions []string
	for _, front := range fronts {
		if front.Front && !front.Leaving && !slices.Contains(regions, front.Region) {
			regions = append(regions, front.Region)
		}
	}
	return isAmongFirst(region, listSubject, regions, 1)
}
