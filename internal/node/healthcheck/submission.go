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
	// maxBatchSize is the largest number of reports in a call to a core.
	maxBatchSize = 512
	// submitRetryDelay is how long after a failed call the next one is made.
	submitRetryDelay = 200 * time.Millisecond
)

// reportQueue holds the reports to be submitted to one core; of each server and
// source only the latest.
type reportQueue struct {
	pending   map[string]*wire.Report // by reportKey
	unchanged *wire.Unchanged         // to be sent with the last pending reports
	inFlight  bool
	retryAt   time.Time
}

// batch is what one call submits.
type batch struct {
	reports   map[string]*wire.Report // by reportKey
	unchanged *wire.Unchanged         // nil for none
}

// reportKey identifies the reports that replace each other in a queue.
func reportKey(report *wire.Report) string { return report.Watcher + " " + report.Server }

func (q *reportQueue) add(report *wire.Report) { q.pending[reportKey(report)] = report }

func (q *reportQueue) has(report *wire.Report) bool { return q.pending[reportKey(report)] != nil }

// isDue reports whether a call to the core is to be made now.
func (q *reportQueue) isDue(now time.Time) bool {
	isEmpty := len(q.pending) == 0 && q.unchanged == nil
	return !q.inFlight && !isEmpty && !now.Before(q.retryAt)
}

// take removes the next batch from the queue.
func (q *reportQueue) take() batch {
	next := batch{reports: map[string]*wire.Report{}}
	for key, report := range q.pending {
		if len(next.reports) == maxBatchSize {
			break
		}
		next.reports[key] = report
		delete(q.pending, key)
	}
	// A digest is of all reports, so that the core must have these first.
	if len(q.pending) == 0 {
		next.unchanged = q.unchanged
		q.unchanged = nil
	}
	return next
}

// putBack queues the reports of a failed batch again, except those that newer ones
// have replaced. Its digest is dropped, as the next one replaces it.
func (q *reportQueue) putBack(failed batch) {
	for key, report := range failed.reports {
		if q.pending[key] == nil {
			q.pending[key] = report
		}
	}
}

// queue returns the queue of a core.
func (c *Checker) queue(core string) *reportQueue {
	queue := c.queues[core]
	if queue == nil {
		queue = &reportQueue{pending: map[string]*wire.Report{}}
		c.queues[core] = queue
	}
	return queue
}

// submitPending submits pending reports to every core, one batch in flight at each.
func (c *Checker) submitPending(ctx context.Context, now time.Time) {
	for _, core := range c.peers.Cores() {
		queue := c.queue(core.Name)
		if !queue.isDue(now) {
			continue
		}
		next := queue.take()
		queue.inFlight = true
		client := c.peers.Client(core.Address)
		c.runAsync(ctx, func() func() {
			unknown, err := c.submit(ctx, client, next)
			return func() { c.completeSubmit(queue, next, unknown, err) }
		})
	}
}

// completeSubmit takes the result of a call that submitted a batch.
func (c *Checker) completeSubmit(queue *reportQueue, submitted batch, unknown []string, err error) {
	queue.inFlight = false
	if err != nil {
		queue.retryAt = c.clock.Now().Add(submitRetryDelay)
		queue.putBack(submitted)
		return
	}
	if len(unknown) > 0 {
		c.requeueListed(queue)
	}
}

// submitter is the part of a core's client that takes reports.
type submitter interface {
	Submit(context.Context, *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error)
}

// submit sends a batch. It returns the watchers whose digest doesn't match what the
// core has, which then needs their reports.
func (c *Checker) submit(ctx context.Context, client submitter, next batch) (unknown []string, err error) {
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
