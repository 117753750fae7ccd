package healthcheck

import (
	"context"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// callCost is how long a list that takes many calls is not read again for each of
// them: the platform bounds the calls of all nodes, and charges for them.
const callCost = 140 * time.Millisecond

// listShare is the part of DrainWithin that may pass between two readings.
const listShare = 0.28

// listEvery returns how often the list is read: more seldom where it is long, as
// far as drains are still noticed in time.
func (w *Watcher) listEvery() time.Duration {
	most := time.Duration(listShare * float64(w.cfg.DrainWithin))
	return max(w.cfg.ListEvery, min(time.Duration(w.calls)*callCost, most))
}

func (w *Watcher) pollList(ctx context.Context) {
	w.listing = true
	at := w.fleetNow()
	w.work(ctx, func() func() {
		listing, err := w.source.List(ctx)
		return func() {
			w.listing = false
			w.takeList(listing, err, at)
		}
	})
}

func (w *Watcher) takeList(listing port.Listing, err error, at time.Time) {
	known := w.view().Servers
	if err == nil && len(listing.Servers) == 0 && len(known) > 0 {
		w.failed("the list is empty although servers are known")
		return
	}
	if err != nil {
		w.failed(err.Error())
		return
	}
	w.calls = listing.Calls
	if w.failing {
		w.failing = false
		w.log.Emit(events.PlatformBack)
	}
	for _, name := range slices.Sorted(maps.Keys(listing.Bad)) {
		w.log.Emit(events.PlatformBadList, "server", name, "why", listing.Bad[name])
	}
	listed := map[string]bool{}
	for _, status := range listing.Servers {
		listed[status.Name] = true
		delete(w.missing, status.Name)
		if left := listing.Cold[status.Name]; left > 0 {
			status.ColdUntilMs = at.Add(left).UnixMilli()
		}
		w.see(serverstatus.SourceList, status, at)
	}
	for name, status := range known {
		if !listed[name] && listing.Bad[name] == "" {
			w.unlisted(name, status, at)
		}
	}
	for name := range w.missing {
		if known[name] == nil {
			delete(w.missing, name)
		}
	}
	w.forget(listed, known)
	w.stand(at)
}

// forget drops what was seen of servers that are neither listed nor known any
// more.
func (w *Watcher) forget(listed map[string]bool, known map[string]*wire.ServerStatus) {
	for key := range w.sights {
		if !listed[key.server] && known[key.server] == nil {
			delete(w.sights, key)
		}
	}
}

// standEvery is how often the cores are told that what was reported of the list
// still stands. It is one message whatever the number of servers, and fronts that
// stand by for those who read the list go by it.
const standEvery = time.Second

// stand tells the cores that what was reported of the list still stands.
func (w *Watcher) stand(at time.Time) {
	now := w.clock.Now()
	if now.Sub(w.stoodAt) < standEvery {
		return
	}
	w.stoodAt, w.listedAt = now, at
	var digest serverstatus.Digest
	for key, s := range w.sights {
		if key.kind == serverstatus.SourceList {
			digest.Add(s.report)
		}
	}
	unchanged := &wire.Unchanged{Watcher: serverstatus.WatcherID(w.cfg.Self, serverstatus.SourceList), Incarnation: w.cfg.Incarnation,
		Digest: uint64(digest), AtMs: at.UnixMilli()}
	for _, core := range w.peers.Cores() {
		w.box(core.Name).unchanged = unchanged
	}
}

// sendWhole has all listed sights reported to a core that does not hold them.
func (w *Watcher) sendWhole(box *outbox) {
	for key, s := range w.sights {
		if !stands(key.kind, s.status()) || box.reports[waitingKey(s.report)] != nil {
			continue
		}
		report := proto.Clone(s.report).(*wire.Report)
		report.AtMs = max(report.AtMs, w.listedAt.UnixMilli())
		box.reports[waitingKey(report)] = report
	}
}

// unlisted takes a server as gone once two lists in a row lack it, and says so
// for a while only, so that every process can forget it.
func (w *Watcher) unlisted(name string, status *wire.ServerStatus, at time.Time) {
	w.missing[name]++
	if w.missing[name] < 2 {
		return
	}
	gone := &wire.ServerStatus{Name: name, Address: status.Address, Kind: status.Kind, Services: status.Services,
		Region: status.Region, Zone: status.Zone, State: wire.ServerState_SERVER_STATE_GONE}
	if s := w.sights[sightKey{name, serverstatus.SourceList}]; s != nil && proto.Equal(s.status(), gone) && w.clock.Now().Sub(s.since) > goneFor {
		return
	}
	w.see(serverstatus.SourceList, gone, at)
}

func (w *Watcher) failed(why string) {
	if !w.failing {
		w.failing = true
		w.log.Emit(events.PlatformSilent, "why", why)
	}
}
