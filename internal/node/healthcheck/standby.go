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

// InspectListed is what a core is asked for to learn when the platform's list was
// last read; it answers with Listed.
const InspectListed = "listed"

// Listed tells the fleet time, in ms, at which the platform's list was last read.
type Listed struct {
	AtMS int64 `json:"at_ms"`
}

// standbyShare is the part of DrainWithin after which a list that nobody read is
// read by another region. Under standbyLeast, since a list that is read regularly
// is told of each 1.4 s, every region reads for itself.
const (
	standbyShare = 0.4
	standbyLeast = 2 * time.Second
)

// standby returns after how long without a reading the fronts of regions that do
// not lead read the list; zero where every region reads for itself.
func (c Config) standby() time.Duration {
	after := time.Duration(standbyShare * float64(c.DrainWithin))
	if after < standbyLeast {
		return 0
	}
	return after
}

// listedTimeout bounds the question to a core.
const listedTimeout = 300 * time.Millisecond

// lookAtList reads the list or, where the fronts of another region do that, asks
// whether it was read of late.
func (w *Watcher) lookAtList(ctx context.Context, fronts []*wire.Process) {
	standby := w.cfg.standby()
	if standby == 0 || leads(w.cfg.Region, fronts) {
		w.pollList(ctx)
		return
	}
	w.listing = true
	asked := w.fleetNow()
	w.work(ctx, func() func() {
		listed, err := w.askListed(ctx)
		return func() {
			w.listing = false
			if err != nil || asked.Sub(listed) > standby {
				w.pollList(ctx)
			}
		}
	})
}

// askListed asks the cores of the own region first.
func (w *Watcher) askListed(ctx context.Context) (time.Time, error) {
	core := w.nearCore()
	if core == nil {
		return time.Time{}, errors.New("no core is known")
	}
	bound, cancel := context.WithTimeout(ctx, listedTimeout)
	defer cancel()
	resp, err := w.peers.Client(core.Address).Inspect(bound, connect.NewRequest(&wire.InspectRequest{What: InspectListed}))
	if err != nil {
		return time.Time{}, err
	}
	var listed Listed
	if apierror.Code(resp.Msg.Code) != apierror.OK {
		return time.Time{}, errors.Errorf("core %s: code %d", core.Name, resp.Msg.Code)
	}
	if err := json.Unmarshal(resp.Msg.Body, &listed); err != nil {
		return time.Time{}, errors.Wrapf(err, "core %s", core.Name)
	}
	return time.UnixMilli(listed.AtMS), nil
}

// nearCore returns a core of the own region that votes, or any that does.
func (w *Watcher) nearCore() *wire.Process {
	var near, far *wire.Process
	for _, p := range w.peers.Cores() {
		switch {
		case p.Standing != wire.Standing_STANDING_VOTING:
		case p.Region == w.cfg.Region && near == nil:
			near = p
		case far == nil:
			far = p
		}
	}
	if near != nil {
		return near
	}
	return far
}

// leads tells whether a region's fronts are those that read the list: the highest
// by rendezvous hash among the regions that have fronts.
func leads(region string, fronts []*wire.Process) bool {
	var regions []string
	for _, p := range fronts {
		if p.Front && !p.Leaving && !slices.Contains(regions, p.Region) {
			regions = append(regions, p.Region)
		}
	}
	return Ranks(region, listSubject, regions, 1)
}

// listSubject is what regions are ranked for.
const listSubject = "the platform's list"
