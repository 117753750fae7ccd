package healthcheck

import (
	"context"
	"maps"
	"slices"
	"time"

	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/events"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// pollCost is the least time between two polls of a front, so that the bytes
// it spends on them stay bounded when it watches many servers. Drains come by
// the list, and servers that fail show in the calls that they are sent.
const pollCost = 50 * time.Millisecond

type poll struct {
	running bool
	silent  int
	reach   port.Reach
}

func (w *Watcher) duePolls(v View) {
	for _, name := range slices.Sorted(maps.Keys(v.Servers)) {
		status := v.Servers[name]
		if s := w.sights[sightKey{name, serverstatus.SourceList}]; s != nil && s.status().GetState() == wire.ServerState_SERVER_STATE_GONE {
			continue
		}
		if !w.mine(v.Fronts, name, status.Region, status.Zone, w.cfg.ServerFronts) {
			delete(w.sights, sightKey{name, serverstatus.SourceServer})
			continue
		}
		p := w.polls[name]
		if p == nil {
			p = &poll{}
			w.polls[name] = p
			w.log.Emit(events.WatchTaken, "server", name)
		}
		if !p.running {
			p.running = true
			w.waiting = append(w.waiting, name)
		}
	}
	for name := range w.polls {
		if v.Servers[name] == nil {
			delete(w.polls, name)
			delete(w.sights, sightKey{name, serverstatus.SourceServer})
			delete(w.sights, sightKey{name, serverstatus.SourceList})
		}
	}
}

func (w *Watcher) pollServer(ctx context.Context, name, address string) {
	w.busy++
	at := w.fleetNow()
	w.work(ctx, func() func() {
		status, reach, err := w.source.Status(ctx, name, address)
		return func() {
			w.busy--
			if p := w.polls[name]; p != nil {
				p.running = false
				w.takeStatus(p, name, status, reach, err, at)
			}
		}
	})
}

func (w *Watcher) takeStatus(p *poll, name string, status *wire.ServerStatus, reach port.Reach, err error, at time.Time) {
	switch reach {
	case port.Answers:
		p.silent = 0
		w.see(serverstatus.SourceServer, status, at)
	case port.Refuses:
		p.silent = 0
		w.see(serverstatus.SourceServer, &wire.ServerStatus{Name: name, State: wire.ServerState_SERVER_STATE_GONE}, at)
	default:
		p.silent++
		if p.silent < w.cfg.SilentAfter {
			return
		}
		w.see(serverstatus.SourceServer, &wire.ServerStatus{Name: name}, at)
	}
	if said, told := reaches[reach]; told && p.reach != reach {
		w.log.Emit(said, "server", name, "why", errText(err))
	}
	p.reach = reach
}

var reaches = map[port.Reach]events.Event{port.Silent: events.ServerSilent, port.Garbled: events.ServerBadStatus}
