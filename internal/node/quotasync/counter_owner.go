package quotasync

import (
	"context"

	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	// maxQueuedAdds is the number of other fronts' requests that wait for the counter.
	maxQueuedAdds = 64

	// expireIntervals is the number of intervals between two removals of idle counts.
	expireIntervals = 10
)

// counterOwner owns the counter of the tenants that this front owns.
type counterOwner struct {
	service *Service
	counter *quota.Counter
	adds    chan addRequest
	late    bool // as last logged
}

type addRequest struct {
	request  *wire.AddRequest
	response chan *wire.AddResponse
}

func newCounterOwner(s *Service) *counterOwner {
	return &counterOwner{
		service: s,
		counter: quota.NewCounter(s.config.Self, s.config.Incarnation, s.config.Quota),
		adds:    make(chan addRequest, maxQueuedAdds),
	}
}

// String returns the service's name in events.
func (c *counterOwner) String() string { return counterName }

// Serve handles requests until the context ends.
func (c *counterOwner) Serve(ctx context.Context) error {
	ticker := c.service.clock.Ticker(c.service.config.Quota.Interval)
	defer ticker.Stop()
	for interval := 0; ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case add := <-c.adds:
			add.response <- c.counter.Add(add.request, c.service.fleetNow())
		case <-ticker.C():
			c.counter.SetMembership(c.service.fronts(), c.service.relayer.unreachable(), c.service.fleetNow())
			c.reportLag()
			interval++
			if interval%expireIntervals == 0 {
				c.prune()
			}
		}
	}
}

// reportLag publishes how late counts are handled here, and logs when that becomes
// later than the fronts' shares assume, or no longer is.
func (c *counterOwner) reportLag() {
	lag := c.counter.Lag()
	c.service.metrics.setCountLag(lag)
	late := c.counter.CountsLate()
	if late == c.late {
		return
	}
	c.late = late
	if late {
		c.service.log.Emit(events.CountsLate, "lag", lag)
	} else {
		c.service.log.Emit(events.CountsPrompt, "lag", lag)
	}
}

func (c *counterOwner) prune() {
	c.counter.Prune(c.service.fleetNow())
	c.service.metrics.setCounts(c.counter.Tenants())
}

func (c *counterOwner) add(ctx context.Context, req *wire.AddRequest) (*wire.AddResponse, error) {
	add := addRequest{
		request:  req,
		response: make(chan *wire.AddResponse, 1),
	}
	return call(ctx, c.adds, add, add.response)
}
