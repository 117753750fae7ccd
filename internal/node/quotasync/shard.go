package quotasync

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

const (
	// pacesPerInterval is how often within an interval urgent counts and held
	// requests are looked at.
	pacesPerInterval = 10
	inFlight         = 8 // exchanges with one holder at a time
)

type ask struct {
	ended  <-chan struct{}
	tenant string
	tokens float64
	terms  quota.Allowance
	// patience is how long it may be held.
	patience time.Duration
	answer   chan quota.Decision
}

func newAsks() *sync.Pool {
	return &sync.Pool{New: func() any { return &ask{answer: make(chan quota.Decision, 1)} }}
}

type hold struct {
	*ask
	until time.Time
	last  quota.Decision
}

type learned struct {
	holder string
	sentAt time.Time // fleet time
	resp   *wire.AddResponse
	err    error
}

// shard owns the Book of its part of the tenants.
type shard struct {
	spend    *Service
	name     string
	book     *quota.Limiter
	asks     chan *ask
	inspects chan chan []quota.TenantUsage
	flushes  chan chan error
	answers  chan learned

	roster  []string
	reached []string          // without the silent ones
	holders map[string]string // tenant -> holder
	flying  map[string]int    // holder -> exchanges
	paced   map[string]bool   // holders that were sent to on this pace
	pacedAt time.Time         // when this pace began
	paces   <-chan time.Time  // wakes at each pace while something hurries, nil else
	rest    func()            // ends that
	silent  map[string]bool
	holds   []hold
	flush   []flush
}

type flush struct {
	done    chan error
	pending int
}

func newShard(s *Service, number int) *shard {
	return &shard{spend: s, name: "spend-" + strconv.Itoa(number), book: quota.NewLimiter(s.config.Self, s.config.Quota),
		asks: make(chan *ask, 64), inspects: make(chan chan []quota.TenantUsage), flushes: make(chan chan error),
		answers: make(chan learned, 64), holders: map[string]string{}, flying: map[string]int{},
		paced: map[string]bool{}, rest: func() {}, silent: map[string]bool{}}
}

func (o *shard) String() string { return o.name }

// Serve runs the owner until the context ends.
func (o *shard) Serve(ctx context.Context) error {
	ticker := o.spend.clock.Ticker(o.spend.config.Quota.Interval)
	defer ticker.Stop()
	defer func() { o.rest() }()
	o.follow()
	for {
		o.pace()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case ask := <-o.asks:
			o.decide(ask)
			o.hurryIfPaced(ctx)
		case <-ticker.C():
			o.follow()
			o.beginPace()
			o.send(ctx, o.book.CountsToSend(o.spend.fleetNow(), o.holderOf))
			o.spend.metrics.active(o.name, o.book.ActiveTenants())
			o.hurry(ctx)
			o.retry()
		case <-o.paces:
			o.beginPace()
			o.hurry(ctx)
			o.retry()
		case answer := <-o.answers:
			o.learn(answer)
			o.hurry(ctx)
			o.retry()
		case answer := <-o.inspects:
			answer <- o.book.Inspect(o.spend.fleetNow())
		case done := <-o.flushes:
			sent := o.send(ctx, o.book.CountsToSend(o.spend.fleetNow(), o.holderOf))
			if o.flush = append(o.flush, flush{done, sent}); sent == 0 {
				o.flushed(nil)
			}
		}
	}
}

// many tells whether the fleet has so many fronts that nearly each request of a
// tenant is its first at a front, so that it has no share by demand there yet.
func (o *shard) many() bool { return len(o.roster) >= manyFronts }

const manyFronts = 33

// pace has the owner woken at each pace while it has tenants. Where fronts are many,
// each of which has few requests, it is only while counts are urgent or requests held.
func (o *shard) pace() {
	busy := len(o.holds) > 0 || o.book.HasUrgent() || !o.many() && o.book.ActiveTenants() > 0
	switch {
	case busy && o.paces == nil:
		pacer := o.spend.clock.Ticker(o.spend.paceEvery())
		o.paces, o.rest = pacer.C(), pacer.Stop
	case !busy && o.paces != nil:
		o.rest()
		o.paces, o.rest = nil, func() {}
	}
}

// beginPace lets each holder be sent to once more.
func (o *shard) beginPace() {
	clear(o.paced)
	o.pacedAt = o.spend.clock.Now()
}

// hurryIfPaced sends urgent counts at once, where fronts are many and the last pace
// is over: none may be under way that would.
func (o *shard) hurryIfPaced(ctx context.Context) {
	if !o.many() || !o.book.HasUrgent() || o.spend.clock.Now().Sub(o.pacedAt) < o.spend.paceEvery() {
		return
	}
	o.beginPace()
	o.hurry(ctx)
}

func (o *shard) follow() {
	roster := o.spend.roster()
	if reached := quota.Reachable(roster, o.spend.config.Unresponsive()); !slices.Equal(reached, o.reached) {
		o.reached = slices.Clone(reached)
		clear(o.holders)
	}
	if !slices.Equal(roster, o.roster) {
		o.roster = slices.Clone(roster)
		o.book.SetFronts(o.roster)
	}
}

func (o *shard) holderOf(tenant string) string {
	holder, known := o.holders[tenant]
	if !known {
		if len(o.holders) > 2*o.book.ActiveTenants()+1024 {
			clear(o.holders)
		}
		holder = quota.OwnerOf(tenant, o.reached)
		o.holders[tenant] = holder
	}
	return holder
}

func (o *shard) decide(ask *ask) {
	decision := o.book.Admit(ask.tenant, ask.tokens, ask.terms, o.spend.fleetNow())
	if !decision.Queue || len(o.holds) >= o.spend.config.MaxPending {
		ask.answer <- decision
		return
	}
	o.holds = append(o.holds, hold{ask, o.spend.clock.Now().Add(o.patience(ask)), decision})
}

// patience returns how long a request may be held. In a small fleet a front has a
// share by demand of nearly each tenant, and holding for longer lets more pass in a
// jump than there is room for.
func (o *shard) patience(ask *ask) time.Duration {
	if !o.many() {
		return o.spend.config.QueueTimeout
	}
	return max(o.spend.config.QueueTimeout, min(ask.patience, holdMost))
}

// holdMost is how long a request may be held at most where fronts are many: until
// its share by demand counts, and a way to another region and back.
const holdMost = 400 * time.Millisecond

func (o *shard) retry() {
	if len(o.holds) == 0 {
		return
	}
	now, kept := o.spend.clock.Now(), o.holds[:0]
	for _, h := range o.holds {
		select {
		case <-h.ended:
			continue
		default:
		}
		h.last = o.book.AdmitQueued(h.tenant, h.tokens, h.terms, o.spend.fleetNow())
		if h.last.Queue && now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		o.spend.metrics.held(h.last.Allowed)
		h.answer <- h.last
	}
	clear(o.holds[len(kept):])
	o.holds = kept
}

func (o *shard) hurry(ctx context.Context) {
	o.send(ctx, o.book.UrgentCounts(o.spend.fleetNow(), o.holderOf, func(holder string) bool {
		return !o.paced[holder] && o.flying[holder] < inFlight
	}))
}

func (o *shard) send(ctx context.Context, batches map[string][]*wire.Count) int {
	sent := 0
	for holder, counts := range batches {
		if o.flying[holder] >= inFlight {
			continue
		}
		o.flying[holder]++
		o.paced[holder] = true
		sent++
		sentAt := o.spend.fleetNow()
		go func() {
			resp, err := o.spend.exchange(ctx, holder, counts)
			select {
			case o.answers <- learned{holder, sentAt, resp, err}:
			case <-ctx.Done():
			}
		}()
	}
	return sent
}

func (o *shard) learn(answer learned) {
	if o.flying[answer.holder]--; o.flying[answer.holder] <= 0 {
		delete(o.flying, answer.holder)
	}
	o.spend.metrics.exchanged(answer.err)
	if answer.err == nil {
		o.book.ApplyTotals(answer.resp, answer.sentAt, o.spend.fleetNow())
	}
	if silent := answer.err != nil; silent != o.silent[answer.holder] {
		if silent {
			o.silent[answer.holder] = true
			o.spend.log.Emit(events.HolderUnresponsive, "holder", answer.holder, "owner", o.name, "error", answer.err)
		} else {
			delete(o.silent, answer.holder)
			o.spend.log.Emit(events.HolderRecovered, "holder", answer.holder, "owner", o.name)
		}
	}
	if len(o.flush) > 0 {
		o.flushed(answer.err)
	}
}

func (o *shard) flushed(err error) {
	kept := o.flush[:0]
	for _, f := range o.flush {
		f.pending--
		if err == nil && f.pending > 0 {
			kept = append(kept, f)
			continue
		}
		f.done <- err
	}
	o.flush = kept
}
