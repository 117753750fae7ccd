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

// maxInFlight is the number of concurrent exchanges of a shard with one owner.
const maxInFlight = 8

// exchanges is a shard's state of the exchanges with owners, by the owner's name.
type exchanges struct {
	inFlight map[string]int
	sentTo   map[string]bool // since the last tick

	// unanswered holds since when direct exchanges in flight have had no answer.
	unanswered   map[string]time.Time
	unresponsive map[string]bool
}

func newExchanges() exchanges {
	return exchanges{
		inFlight:     map[string]int{},
		sentTo:       map[string]bool{},
		unanswered:   map[string]time.Time{},
		unresponsive: map[string]bool{},
	}
}

func (e *exchanges) beginTick() { clear(e.sentTo) }

func (e *exchanges) full(owner string) bool { return e.inFlight[owner] >= maxInFlight }

func (e *exchanges) readyForUrgent(owner string) bool { return !e.sentTo[owner] && !e.full(owner) }

func (e *exchanges) begin(way quota.Path, now time.Time) {
	e.inFlight[way.Front]++
	e.sentTo[way.Front] = true
	if _, known := e.unanswered[way.Front]; way.Relay == "" && !known {
		e.unanswered[way.Front] = now
	}
}

func (e *exchanges) end(way quota.Path, err error) {
	e.inFlight[way.Front]--
	idle := e.inFlight[way.Front] <= 0
	if idle {
		delete(e.inFlight, way.Front)
	}
	if idle || err == nil {
		delete(e.unanswered, way.Front)
	}
}

// takeOverdue returns the owners that have not answered direct exchanges for a time, and
// restarts the time of these.
func (e *exchanges) takeOverdue(after time.Duration, now time.Time) []string {
	var owners []string
	for owner, since := range e.unanswered {
		if now.Sub(since) > after {
			owners = append(owners, owner)
			e.unanswered[owner] = now
		}
	}
	return owners
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
	way      quota.Path
	sentAt   time.Time // fleet time
	response *wire.AddResponse
	err      error
}

// sendCounts sends the counts that are due.
func (s *shard) sendCounts(ctx context.Context) {
	s.send(ctx, s.limiter.CountsToSend(s.service.fleetNow(), s.ownerOf))
}

// sendUrgent sends the counts that don't wait for the next interval.
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
		way := s.service.relayer.way(owner)
		s.exchanges.begin(way, s.service.clock.Now())
		sent++
		sentAt := s.service.fleetNow()
		go s.exchange(ctx, way, counts, sentAt)
	}
	return sent
}

// exchange sends one batch of counts and passes the result to the shard.
func (s *shard) exchange(ctx context.Context, way quota.Path, counts []*wire.Count, sentAt time.Time) {
	response, err := s.service.exchange(ctx, way, counts)
	result := exchangeResult{
		way:      way,
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
	s.exchanges.end(result.way, result.err)
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
	if !s.exchanges.setUnresponsive(result.way.Front, unresponsive) {
		return
	}
	if unresponsive {
		s.service.log.Emit(events.HolderUnresponsive, "holder", result.way.Front, "owner", s.name, "error", result.err)
	} else {
		s.service.log.Emit(events.HolderRecovered, "holder", result.way.Front, "owner", s.name)
	}
}

// pendingFlush is a flush that waits for the results of exchanges.
type pendingFlush struct {
	done    chan error
	pending int
}

// flush sends all counts that no owner is known to have, and has done told the result.
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
// its totals. It fails after Config.Timeout.
func (s *Service) exchange(ctx context.Context, way quota.Path, counts []*wire.Count) (*wire.AddResponse, error) {
	if way.Front == s.config.Self {
		ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
		defer cancel()
		return s.counter.add(ctx, s.addRequest(counts))
	}
	resp, err := s.exchangeThrough(ctx, way, counts)
	if way.Relay != "" {
		s.relayer.report(ctx, way, err)
	}
	return resp, err
}

func (s *Service) addRequest(counts []*wire.Count) *wire.AddRequest {
	return &wire.AddRequest{Front: s.config.Self, Incarnation: s.config.Incarnation, Counts: counts}
}

// exchangeThrough sends one batch of counts to another front, directly or through a
// relay, and returns its totals. It fails after Config.Timeout, without an address, and
// if another process responds: a process of a version that doesn't relay does.
func (s *Service) exchangeThrough(ctx context.Context, way quota.Path, counts []*wire.Count) (*wire.AddResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout)
	defer cancel()
	req := s.addRequest(counts)
	receiver := way.Front
	if way.Relay != "" {
		receiver = way.Relay
		req.RelayTo = way.Front
	}
	process, known := s.peers.Process(receiver)
	if !known {
		return nil, errors.Errorf("no address of %s is known", receiver)
	}
	wire.PackCounts(req.Counts)
	resp, err := s.peers.Client(process.Address).Add(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "send counts for holder %s to %s", way.Front, receiver)
	}
	wire.UnpackTotals(resp.Msg.Totals)
	if resp.Msg.Holder != way.Front {
		return nil, errors.Errorf("%s answered in place of holder %s", resp.Msg.Holder, way.Front)
	}
	return resp.Msg, nil
}
