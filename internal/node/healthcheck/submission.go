package healthcheck

import (
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/wire"
)

const (
	// maxBatchSize is the maximum number of reports in a single call.
	maxBatchSize = 512
	// submitRetryDelay is the time between a failed call to a core and the next one.
	submitRetryDelay = 200 * time.Millisecond
)

// reportQueue holds the reports to be submitted to one core: for each server and
// source only the latest.
type reportQueue struct {
	pending   map[string]*wire.Report // by reportKey
	unchanged *wire.Unchanged         // digest, sent with the last of the pending reports; nil for none
	inFlight  bool
	retryAt   time.Time
}

// batch holds the reports and the digest that are submitted in a single call.
type batch struct {
	reports   map[string]*wire.Report // by reportKey
	unchanged *wire.Unchanged         // digest, nil for none
}

// reportKey returns the key of a report in a queue. A report replaces an earlier one
// with the same key.
func reportKey(report *wire.Report) string { return report.Watcher + " " + report.Server }

func (q *reportQueue) enqueue(report *wire.Report) { q.pending[reportKey(report)] = report }

func (q *reportQueue) contains(report *wire.Report) bool { return q.pending[reportKey(report)] != nil }

// isDue reports whether a batch is to be submitted now.
func (q *reportQueue) isDue(now time.Time) bool {
	isEmpty := len(q.pending) == 0 && q.unchanged == nil
	return !q.inFlight && !isEmpty && !now.Before(q.retryAt)
}

// takeBatch removes the next batch from the queue.
func (q *reportQueue) takeBatch() batch {
	next := batch{reports: map[string]*wire.Report{}}
	for key, report := range q.pending {
		if len(next.reports) == maxBatchSize {
			break
		}
		next.reports[key] = report
		delete(q.pending, key)
	}
	// The digest covers all reports from the list, so the core must receive these first.
	if len(q.pending) == 0 {
		next.unchanged = q.unchanged
		q.unchanged = nil
	}
	return next
}

// requeue returns the reports of a failed batch to the queue, except those replaced by
// newer ones. The digest is dropped, because the next one supersedes it.
func (q *reportQueue) requeue(failed batch) {
	for key, report := range failed.reports {
		if q.pending[key] == nil {
			q.pending[key] = report
		}
	}
}

// coreQueue returns the queue of a core, and creates it if necessary.
func (c *Checker) coreQueue(core string) *reportQueue {
	queue := c.queues[core]
	if queue == nil {
		queue = &reportQueue{pending: map[string]*wire.Report{}}
		c.queues[core] = queue
	}
	return queue
}

// submitPending submits pending reports to the cores, with at most one call in flight
// per core.
func (c *Checker) submitPending(ctx context.Context, now time.Time) {
	for _, core := range c.peers.Cores() {
		queue := c.coreQueue(core.Name)
		if !queue.isDue(now) {
			continue
		}
		next := queue.takeBatch()
		queue.inFlight = true
		client := c.peers.Client(core.Address)
		c.runAsync(ctx, func() func() {
			unknownWatchers, err := c.submit(ctx, client, next)
			return func() { c.completeSubmit(queue, next, unknownWatchers, err) }
		})
	}
}

// completeSubmit handles the result of a call that submitted a batch.
func (c *Checker) completeSubmit(queue *reportQueue, submitted batch, unknownWatchers []string, err error) {
	queue.inFlight = false
	if err != nil {
		queue.retryAt = c.clock.Now().Add(submitRetryDelay)
		queue.requeue(submitted)
		return
	}
	if len(unknownWatchers) > 0 {
		c.requeueListed(queue)
	}
}

// submitter is the part of wireconnect.PeerClient that submits reports.
type submitter interface {
	Submit(context.Context, *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error)
}

// submit sends a batch to a core. It returns the ids of the watchers whose digest does
// not match the reports at the core, which must then be sent to it again.
func (c *Checker) submit(ctx context.Context, client submitter, next batch) (unknownWatchers []string, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.SubmitTimeout)
	defer cancel()
	request := &wire.SubmitRequest{From: c.config.Self}
	for _, key := range slices.Sorted(maps.Keys(next.reports)) {
		request.Reports = append(request.Reports, next.reports[key])
	}
	if next.unchanged != nil {
		request.Unchanged = append(request.Unchanged, next.unchanged)
	}
	resp, err := client.Submit(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Unknown, nil
}
