package quotasync

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// maxInFlight is the maximum number of concurrent exchanges of a shard with one owner.
const maxInFlight = 8

// exchanges tracks a shard's exchanges with owners, by the owner's name.
type exchanges struct {
	inFlight     map[string]int
	sentThisTick map[string]bool // counts were sent since the last tick

	// unansweredSince is the time since which direct exchanges in flight have had no
	// response.
	unansweredSince map[string]time.Time
	unresponsive    map[string]bool // the last exchange failed
}

func newExchanges() exchanges {
	return exchanges{
		inFlight:        map[string]int{},
		sentThisTick:    map[string]bool{},
		unansweredSince: map[string]time.Time{},
		unresponsive:    map[string]bool{},
	}
}

func (e *exchanges) beginTick() { clear(e.sentThisTick) }

func (e *exchanges) atLimit(owner string) bool { return e.inFlight[owner] >= maxInFlight }

// readyForUrgent reports whether urgent counts may be sent to an owner: no counts were
// sent to it in this tick, and fewer than maxInFlight exchanges are in flight.
func (e *exchanges) readyForUrgent(owner string) bool {
	return !e.sentThisTick[owner] && !e.atLimit(owner)
}

func (e *exchanges) begin(path quota.Path, now time.Time) {
	e.inFlight[path.Front]++
	e.sentThisTick[path.Front] = true
	if _, waiting := e.unansweredSince[path.Front]; path.Relay == "" && !waiting {
		e.unansweredSince[path.Front] = now
	}
}

func (e *exchanges) end(path quota.Path, err error) {
	e.inFlight[path.Front]--
	idle := e.inFlight[path.Front] <= 0
	if idle {
		delete(e.inFlight, path.Front)
	}
	if idle || err == nil {
		delete(e.unansweredSince, path.Front)
	}
}

// takeOverdue returns the owners that have not responded to direct exchanges within the
// timeout, and restarts the timeout for each of them.
func (e *exchanges) takeOverdue(timeout time.Duration, now time.Time) []string {
	var owners []string
	for owner, since := range e.unansweredSince {
		if now.Sub(since) > timeout {
			owners = append(owners, owner)
			e.unansweredSince[owner] = now
		}
	}
	return owners
}

// setUnresponsive records whether an owner is unresponsive and reports whether that
// changed.
func (e *exchanges) setUnresponsive(owner string, unresponsive bool) bool {
	if unresponsive == e.unresponsive[owner] {
		return false
	}
	if unresponsive {
		e.unresponsive[owner] = true
	} else {
		delete(e.unresponsive, owner)
	}
	return true
}

// exchangeResult is the outcome of one exchange.
type exchangeResult struct {
	path     quota.Path
	sentAt   time.Time // fleet time
	response *wire.AddResponse
	err      error
}

// sendCounts sends the counts that are due in this exchange interval.
func (s *shard) sendCounts(ctx context.Context) {
	s.send(ctx, s.limiter.CountsToSend(s.service.fleetNow(), s.ownerOf))
}

// sendUrgent sends the counts that should not wait for the next exchange interval.
func (s *shard) sendUrgent(ctx context.Context) {
	s.send(ctx, s.limiter.UrgentCounts(s.service.fleetNow(), s.ownerOf, s.exchanges.readyForUrgent))
}

// send starts an exchange with each owner that has fewer than maxInFlight in flight, and
// returns the number of exchanges started. Batches for other owners are dropped.
func (s *shard) send(ctx context.Context, batches map[string][]*wire.Count) int {
	sent := 0
	for owner, counts := range batches {
		if s.exchanges.atLimit(owner) {
			continue
		}
		path := s.service.relayer.pathTo(owner)
		s.exchanges.begin(path, s.service.clock.Now())
		sent++
		sentAt := s.service.fleetNow()
		go s.runExchange(ctx, path, counts, sentAt)
	}
	return sent
}

// runExchange performs one exchange and sends its result to the shard's goroutine.
func (s *shard) runExchange(ctx context.Context, path quota.Path, counts []*wire.Count, sentAt time.Time) {
	response, err := s.service.exchange(ctx, path, counts)
	result := exchangeResult{
		path:     path,
		sentAt:   sentAt,
		response: response,
		err:      err,
	}
	select {
	case s.results <- result:
	case <-ctx.Done():
	}
}

// handleResult applies the result of an exchange to the limiter and the shard's state.
func (s *shard) handleResult(result exchangeResult) {
	s.exchanges.end(result.path, result.err)
	s.service.metrics.countExchange(result.err)
	if result.err == nil {
		s.limiter.ApplyTotals(result.response, result.sentAt, s.service.fleetNow())
	}
	s.logOwnerState(result)
	if len(s.pendingFlushes) > 0 {
		s.completeFlushes(result.err)
	}
}

// logOwnerState logs when an owner becomes unresponsive or recovers. Events and the
// errors logged with them call the tenants' owner "holder", since the event key "owner"
// is the name of this shard, whose goroutine owns the limiter.
func (s *shard) logOwnerState(result exchangeResult) {
	unresponsive := result.err != nil
	if !s.exchanges.setUnresponsive(result.path.Front, unresponsive) {
		return
	}
	if unresponsive {
		s.service.log.Emit(events.HolderUnresponsive, "holder", result.path.Front, "owner", s.name, "error", result.err)
	} else {
		s.service.log.Emit(events.HolderRecovered, "holder", result.path.Front, "owner", s.name)
	}
}

// pendingFlush is a flush that waits for the results of its exchanges.
type pendingFlush struct {
	done      chan error
	remaining int // exchanges without a result
}

// flush sends all counts that no owner has acknowledged. It sends the outcome to done
// once the exchanges have ended, or immediately if none was started.
func (s *shard) flush(ctx context.Context, done chan error) {
	sent := s.send(ctx, s.limiter.CountsToFlush(s.service.fleetNow(), s.ownerOf))
	s.pendingFlushes = append(s.pendingFlushes, pendingFlush{done, sent})
	if sent == 0 {
		s.completeFlushes(nil)
	}
}

// completeFlushes counts one exchange result for every pending flush, also if that
// exchange began before the flush. It completes the flushes that have all their results
// or, after an error, all pending flushes.
func (s *shard) completeFlushes(err error) {
	stillPending := s.pendingFlushes[:0]
	for _, flush := range s.pendingFlushes {
		flush.remaining--
		if err == nil && flush.remaining > 0 {
			stillPending = append(stillPending, flush)
			continue
		}
		flush.done <- err
	}
	s.pendingFlushes = stillPending
}

// exchange sends a batch of counts to an owner, which may be this front, and returns the
// owner's totals. It fails after Config.Timeout.
func (s *Service) exchange(ctx context.Context, path quota.Path, counts []*wire.Count) (*wire.AddResponse, error) {
	if path.Front == s.config.Self {
		ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
		defer cancel()
		return s.counter.add(ctx, s.newAddRequest(counts))
	}
	resp, err := s.exchangeWithPeer(ctx, path, counts)
	if path.Relay != "" {
		s.relayer.reportResult(ctx, path, err)
	}
	return resp, err
}

func (s *Service) newAddRequest(counts []*wire.Count) *wire.AddRequest {
	return &wire.AddRequest{Front: s.config.Self, Incarnation: s.config.Incarnation, Counts: counts}
}

// exchangeWithPeer sends a batch of counts to another front, directly or through a relay,
// and returns that front's totals. It fails after Config.Timeout, if the address of the
// front or relay is unknown, or if the response is from a different front: a process
// whose version doesn't support relaying ignores RelayTo and responds itself.
func (s *Service) exchangeWithPeer(ctx context.Context, path quota.Path, counts []*wire.Count) (*wire.AddResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	req := s.newAddRequest(counts)
	receiver := path.Front
	if path.Relay != "" {
		receiver = path.Relay
		req.RelayTo = path.Front
	}
	process, ok := s.peers.Process(receiver)
	if !ok {
		return nil, errors.Errorf("send counts for holder %s to %s: address unknown", path.Front, receiver)
	}
	wire.PackCounts(req.Counts)
	resp, err := s.peers.Client(process.Address).Add(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "send counts for holder %s to %s", path.Front, receiver)
	}
	wire.UnpackTotals(resp.Msg.Totals)
	if resp.Msg.Holder != path.Front {
		return nil, errors.Errorf("send counts: response from %s instead of holder %s", resp.Msg.Holder, path.Front)
	}
	return resp.Msg, nil
}
