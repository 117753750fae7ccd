package healthcheck

import (
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/wire"
)

type outbox struct {
	reports   map[string]*wire.Report
	unchanged *wire.Unchanged // to say once no report waits any more
	sending   bool
	retryAt   time.Time
}

// waitingKey names a report among those that wait for a core.
func waitingKey(report *wire.Report) string { return report.Watcher + " " + report.Server }

func (w *Watcher) box(core string) *outbox {
	box := w.outbox[core]
	if box == nil {
		box = &outbox{reports: map[string]*wire.Report{}}
		w.outbox[core] = box
	}
	return box
}

// send hands what waits to every core, one batch under way at each. What was
// not taken waits on, unless something newer has replaced it.
func (w *Watcher) send(ctx context.Context, now time.Time) {
	for _, p := range w.peers.Cores() {
		box := w.box(p.Name)
		if box.sending || len(box.reports) == 0 && box.unchanged == nil || now.Before(box.retryAt) {
			continue
		}
		batch := map[string]*wire.Report{}
		for key, report := range box.reports {
			if len(batch) == batchSize {
				break
			}
			batch[key] = report
			delete(box.reports, key)
		}
		var unchanged *wire.Unchanged
		if len(box.reports) == 0 {
			unchanged, box.unchanged = box.unchanged, nil
		}
		box.sending = true
		client := w.peers.Client(p.Address)
		w.work(ctx, func() func() {
			unknown, err := w.submit(ctx, client, batch, unchanged)
			return func() {
				box.sending = false
				if err == nil {
					if len(unknown) > 0 {
						w.sendWhole(box)
					}
					return
				}
				box.retryAt = w.clock.Now().Add(retryAfter)
				for key, report := range batch {
					if box.reports[key] == nil {
						box.reports[key] = report
					}
				}
			}
		})
	}
}

type submitter interface {
	Submit(context.Context, *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error)
}

// submit returns the names of watchers whose unchanged reports the core asks for.
func (w *Watcher) submit(ctx context.Context, client submitter, batch map[string]*wire.Report, unchanged *wire.Unchanged) (unknown []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, w.cfg.SendTimeout)
	defer cancel()
	request := &wire.SubmitRequest{From: w.cfg.Self}
	for _, key := range slices.Sorted(maps.Keys(batch)) {
		request.Reports = append(request.Reports, batch[key])
	}
	if unchanged != nil {
		request.Unchanged = append(request.Unchanged, unchanged)
	}
	resp, err := client.Submit(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Unknown, nil
}
