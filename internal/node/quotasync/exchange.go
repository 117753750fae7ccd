package quotasync

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// maxInFlight is the number of concurrent exchanges of a shard with one owner.
const maxInFlight = 8

// exchanges is a shard's state of the exchanges with owners, by the owner's name.
type exchanges struct {
	inFlight     map[string]int
	sentTo       map[string]bool // since the last tick
	unresponsive map[string]bool
}

func newExchanges() exchanges {
	return exchanges{
		inFlight:     map[string]int{},
		sentTo:       map[string]bool{},
		unresponsive: map[string]bool{},
	}
}

func (e *exchanges) beginTick() { clear(e.sentTo) }

func (e *exchanges) full(owner string) bool { return e.inFlight[owner] >= maxInFlight }

func (e *exchanges) readyForUrgent(owner string) bool { return !e.sentTo[owner] && !e.full(owner) }

func (e *exchanges) begin(owner string) {
	e.inFlight[owner]++
	e.sentTo[owner] = true
}

func (e *exchanges) end(owner string) {
	e.inFlight[owner]--
	if e.inFlight[owner] <= 0 {
		delete(e.inFlight, owner)
	}
}

// setUnresponsive records an owner's state and reports whether it changed.
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
	owner    string
	sentAt   time.Time // fleet time
	response *wire.AddResponse
	err      error
}

func (s *shard) sendCounts(ctx context.Context) {
	s.send(ctx, s.limiter.CountsToSend(s.service.fleetNow(), s.ownerOf))
}

func (s *shard) sendUrgent(ctx context.Context) {
	s.send(ctx, s.limiter.UrgentCounts(s.service.fleetNow(), s.ownerOf, s.exchanges.readyForUrgent))
}

// send begins an exchange with each owner, unless too many are in flight, and returns
// their number.
func (s *shard) send(ctx context.Context, batches map[string][]*wire.Count) int {
	sent := 0
	for owner, counts := range batches {
		if s.exchanges.full(owner) {
			continue
		}
		s.exchanges.begin(owner)
		sent++
		sentAt := s.service.fleetNow()
		go s.exchange(ctx, owner, counts, sentAt)
	}
	return sent
}

// exchange sends one batch of counts and passes the result to the shard.
func (s *shard) exchange(ctx context.Context, owner string, counts []*wire.Count, sentAt time.Time) {
	response, err := s.service.exchange(ctx, owner, counts)
	result := exchangeResult{
		owner:    owner,
		sentAt:   sentAt,
		response: response,
		err:      err,
	}
	select {
	case s.responses <- result:
	case <-ctx.Done():
	}
}

func (s *shard) handleResult(result exchangeResult) {
	s.exchanges.end(result.owner)
	s.service.metrics.countExchange(result.err)
	if result.err == nil {
		s.limiter.ApplyTotals(result.response, result.sentAt, s.service.fleetNow())
	}
	s.logOwnerState(result)
	if len(s.flushing) > 0 {
		s.completeFlushes(result.err)
	}
}

// logOwnerState logs an owner that has become unresponsive, or has recovered. In the
// events the tenants' owner is the key "holder"; the key "owner" is the name of this
// shard, the goroutine that owns the limiter.
func (s *shard) logOwnerState(result exchangeResult) {
	unresponsive := result.err != nil
	if !s.exchanges.setUnresponsive(result.owner, unresponsive) {
		return
	}
	if unresponsive {
		s.service.log.Emit(events.HolderUnresponsive, "holder", result.owner, "owner", s.name, "error", result.err)
	} else {
		s.service.log.Emit(events.HolderRecovered, "holder", result.owner, "owner", s.name)
	}
}

// pendingFlush is a flush that waits for the results of exchanges.
type pendingFlush struct {
	done    chan error
	pending int
}

func (s *shard) flush(ctx context.Context, done chan error) {
	sent := s.send(ctx, s.limiter.CountsToFlush(s.service.fleetNow(), s.ownerOf))
	s.flushing = append(s.flushing, pendingFlush{done, sent})
	if sent == 0 {
		s.completeFlushes(nil)
	}
}

// completeFlushes counts one result for each pending flush and ends those that have
// all of theirs, or all of them after an error.
func (s *shard) completeFlushes(err error) {
	stillPending := s.flushing[:0]
	for _, flush := range s.flushing {
		flush.pending--
		if err == nil && flush.pending > 0 {
			stillPending = append(stillPending, flush)
			continue
		}
		flush.done <- err
	}
	s.flushing = stillPending
}

// exchange sends one batch of counts to an owner, which may be this front, and returns
// its totals. It fails after Config.Timeout, without an address of the owner, and if
// another process responds at that address.
func (s *Service) exchange(ctx context.Context, owner string, counts []*wire.Count) (*wire.AddResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	req := &wire.AddRequest{Front: s.config.Self, Incarnation: s.config.Incarnation, Counts: counts}
	if owner == s.config.Self {
		return s.counter.add(ctx, req)
	}
	process, known := s.peers.Process(owner)
	if !known {
		return nil, errors.Errorf("no address of holder %s is known", owner)
	}
	wire.PackCounts(req.Counts)
	resp, err := s.peers.Client(process.Address).Add(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "send counts to holder %s", owner)
	}
	wire.UnpackTotals(resp.Msg.Totals)
	if resp.Msg.Holder != owner {
		return nil, errors.Errorf("%s answered in place of holder %s", resp.Msg.Holder, owner)
	}
	return resp.Msg, nil
}
