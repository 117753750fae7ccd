package quotasync

import (
	"sync"
	"time"

	"stepwick/internal/decision/quota"
)

// maxLargeFleetWait is how long a request is queued at most in a large fleet: until
// the front's share by demand is in effect, and for a round trip between regions.
const maxLargeFleetWait = 400 * time.Millisecond

// admitRequest is a request to a shard.
type admitRequest struct {
	done      <-chan struct{} // closed when the caller gives up
	tenant    string
	tokens    float64
	allowance quota.Allowance
	maxWait   time.Duration // in the queue of a large fleet; see queueTimeout
	decision  chan quota.Decision
}

func newRequestPool() *sync.Pool {
	return &sync.Pool{New: func() any { return &admitRequest{decision: make(chan quota.Decision, 1)} }}
}

func (r *admitRequest) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// pendingRequest is a request that waits for an exchange.
type pendingRequest struct {
	*admitRequest
	deadline time.Time
}

// admit decides a request, or queues it if an exchange may change the decision.
func (s *shard) admit(request *admitRequest) {
	decision := s.limiter.Admit(request.tenant, request.tokens, request.allowance, s.service.fleetNow())
	if !decision.Queue || len(s.pending) >= s.service.config.MaxPending {
		request.decision <- decision
		return
	}
	deadline := s.service.clock.Now().Add(s.queueTimeout(request))
	s.pending = append(s.pending, pendingRequest{request, deadline})
}

// queueTimeout returns how long a request may be queued: QueueTimeout, or in a large
// fleet what the request allows where that is longer, up to maxLargeFleetWait. In a
// small fleet a front has a share by demand of nearly each tenant, and a longer queue
// allows more at once than there is capacity for.
func (s *shard) queueTimeout(request *admitRequest) time.Duration {
	if !s.inLargeFleet() {
		return s.service.config.QueueTimeout
	}
	return max(s.service.config.QueueTimeout, min(request.maxWait, maxLargeFleetWait))
}

// retryPending decides the queued requests again.
func (s *shard) retryPending() {
	if len(s.pending) == 0 {
		return
	}
	now := s.service.clock.Now()
	stillPending := s.pending[:0]
	for _, request := range s.pending {
		if request.ended() {
			continue
		}
		decision := s.limiter.AdmitQueued(request.tenant, request.tokens, request.allowance, s.service.fleetNow())
		if decision.Queue && now.Before(request.deadline) {
			stillPending = append(stillPending, request)
			continue
		}
		s.service.metrics.countQueued(decision)
		request.decision <- decision
	}
	clear(s.pending[len(stillPending):])
	s.pending = stillPending
}
