package quotasync

import (
	"context"

	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	// maxQueuedAdds is the maximum number of Add requests that wait for the counter.
	maxQueuedAdds = 64

	// pruneIntervals is the number of exchange intervals from one pruning of idle counts
	// to the next.
	pruneIntervals = 10
)

// counterOwner runs the goroutine that owns the counter of this front's tenants.
type counterOwner struct {
	service    *Service
	counter    *quota.Counter
	adds       chan queuedAdd
	loggedLate bool // last value of CountsLate that was logged
}

// queuedAdd is an Add request that waits for the counter.
type queuedAdd struct {
	request  *wire.AddRequest
	response chan *wire.AddResponse
}

func newCounterOwner(s *Service) *counterOwner {
	return &counterOwner{
		service: s,
		counter: quota.NewCounter(s.config.Self, s.config.Incarnation, s.config.Quota),
		adds:    make(chan queuedAdd, maxQueuedAdds),
	}
}

// String returns the service's name in events.
func (c *counterOwner) String() string { return counterServiceName }

// Serve handles requests until the context ends.
func (c *counterOwner) Serve(ctx context.Context) error {
	ticker := c.service.clock.Ticker(c.service.config.Quota.Interval)
	defer ticker.Stop()
	for intervals := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case queued := <-c.adds:
			queued.response <- c.counter.Add(queued.request, c.service.fleetNow())
		case <-ticker.C():
			c.counter.SetMembership(c.service.fronts(), c.service.relayer.unreachable(), c.service.fleetNow())
			c.reportLag()
			intervals++
			if intervals%pruneIntervals == 0 {
				c.prune()
			}
		}
	}
}

// reportLag sets the metric of the counter's lag. It logs when counts begin to be
// handled later than the fronts' shares assume, and when they are on time again.
func (c *counterOwner) reportLag() {
	lag := c.counter.Lag()
	c.service.metrics.setCountLag(lag)
	late := c.counter.CountsLate()
	if late == c.loggedLate {
		return
	}
	c.loggedLate = late
	if late {
		c.service.log.Emit(events.CountsLate, "lag", lag)
	} else {
		c.service.log.Emit(events.CountsPrompt, "lag", lag)
	}
}

func (c *counterOwner) prune() {
	c.counter.Prune(c.service.fleetNow())
	c.service.metrics.setOwnedTenants(c.counter.Tenants())
}

// add queues a request for the counter and returns the counter's response. The error is
// that of the context.
func (c *counterOwner) add(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	queued := queuedAdd{
		request:  req,
		response: make(chan *wire.AddResponse, 1),
	}
	return call(ctx, c.adds, queued, queued.response)
}
