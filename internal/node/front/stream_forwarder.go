package front

import (
	"time"

	"stepwick/internal/adapter/backend"
	"stepwick/internal/adapter/clientapi"
	"stepwick/internal/apierror"
)

// streamForwarder forwards the events of one attempt to the caller and records
// their latency.
type streamForwarder struct {
	call        *call
	stream      *clientapi.Stream
	startedAt   time.Time     // start of the attempt
	events      int           // number of events forwarded so far
	firstEvent  time.Duration // time from startedAt to the first event
	lastEventAt time.Time
}

// forwardAll forwards events until the channel is closed. It returns true if the
// server was reported as removed or unreachable before the first event. Later
// reports are ignored, since the events themselves show that the server works.
func (s *streamForwarder) forwardAll(events <-chan backend.Event, serverLost <-chan struct{}) (bool, *apierror.Error) {
	for {
		select {
		case event, open := <-events:
			if !open {
				return false, nil
			}
			serverLost = nil
			if apiErr := s.forward(event); apiErr != nil {
				return false, apiErr
			}
		case <-serverLost:
			return true, nil
		}
	}
}

// forward writes one event to the caller, unless the call may no longer run or its
// deadline has passed. Both are checked for each event, since timers fire late after
// a pause of the process.
func (s *streamForwarder) forward(event backend.Event) *apierror.Error {
	front := s.call.front
	if apiErr := front.calls.checkRunning(&s.call.runningCall); apiErr != nil {
		return apiErr
	}
	now := front.clock.Now()
	if !now.Before(s.call.request.Deadline) {
		if !s.stream.Begun() {
			return apierror.Errorf(apierror.DeadlineExceeded, "the first event arrived after the deadline").WithRetryAfter(shortRetryAfter)
		}
		return errDeadlineDuringStream()
	}
	if err := s.stream.SendEvent(event.Data); err != nil {
		return apierror.Errorf(apierror.CallerDisconnected, "write an event to the caller: %s", err)
	}
	s.observeEvent(now)
	return nil
}

func (s *streamForwarder) observeEvent(now time.Time) {
	metrics := s.call.front.metrics
	if s.events == 0 {
		s.firstEvent = now.Sub(s.startedAt)
		metrics.firstEvent.WithLabelValues(s.call.service).Observe(now.Sub(s.call.arrived).Seconds())
	} else {
		metrics.eventGap.WithLabelValues(s.call.service).Observe(now.Sub(s.lastEventAt).Seconds())
	}
	s.events++
	s.lastEventAt = now
}
