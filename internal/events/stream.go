package events

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"

	"github.com/go-kit/log"
)

// Bounds of a Stream.
const (
	Burst   = 20   // emissions of one event at once
	PerSec  = 5    // emissions of one event a second after that
	backlog = 1024 // events that wait for the logger
)

var ranks = map[Level]int32{Debug: 0, Info: 1, Warn: 2, Error: 3}

// Stream is a Log that hands events to a logger from one goroutine and bounds
// the rate of each. Events emitted before Serve runs wait for it.
type Stream struct {
	logger  log.Logger
	clock   clock.Clock
	lowest  atomic.Int32
	waiting chan entry
	lost    atomic.Uint64
}

type entry struct {
	event   Event
	at      time.Time
	keyvals []any
}

// New returns a stream at level Info. Its owner must run Serve.
func New(logger log.Logger, clock clock.Clock) *Stream {
	s := &Stream{logger: logger, clock: clock, waiting: make(chan entry, backlog)}
	s.SetLevel(Info)
	return s
}

// SetLevel sets the lowest level that is logged.
func (s *Stream) SetLevel(level Level) { s.lowest.Store(ranks[level]) }

// Emit hands an event over; it never blocks.
func (s *Stream) Emit(e Event, keyvals ...any) {
	if ranks[e.Level] < s.lowest.Load() {
		return
	}
	select {
	case s.waiting <- entry{e, s.clock.Now(), keyvals}:
	default:
		s.lost.Add(1)
	}
}

// Serve writes events until the context ends; then it writes what waits, with
// the counts of what was left out, and returns nil.
func (s *Stream) Serve(ctx context.Context) error {
	bounds := bounds{}
	ticker := s.clock.Ticker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case e := <-s.waiting:
			s.write(bounds, e)
		case <-ticker.C():
			s.own(bounds)
		case <-ctx.Done():
			for {
				select {
				case e := <-s.waiting:
					s.write(bounds, e)
					continue
				default:
				}
				s.own(bounds)
				return nil
			}
		}
	}
}

func (s *Stream) write(b bounds, e entry) {
	if b.pass(e.event, e.at) {
		s.print(e)
	}
}

func (s *Stream) own(b bounds) {
	now := s.clock.Now()
	for _, left := range b.takeLeftOut() {
		s.print(entry{EventsSuppressed, now, []any{"of", left.event.Number, "of_name", left.event.Name, "count", left.count}})
	}
	if lost := s.lost.Swap(0); lost > 0 {
		s.print(entry{EventsSuppressed, now, []any{"of", 0, "of_name", "any", "count", lost}})
	}
}

func (s *Stream) print(e entry) {
	line := append([]any{"ts", e.at.Format(clock.RFC3339Milli), "level", string(e.event.Level),
		"event", e.event.Number, "event_name", e.event.Name}, e.keyvals...)
	_ = s.logger.Log(line...)
}

type bound struct {
	event  Event
	tokens float64
	at     time.Time
	left   uint64
}

type bounds map[int]*bound

func (b bounds) pass(event Event, now time.Time) bool {
	one, ok := b[event.Number]
	if !ok {
		one = &bound{event: event, tokens: Burst, at: now}
		b[event.Number] = one
	}
	if elapsed := now.Sub(one.at); elapsed > 0 {
		one.tokens = min(Burst, one.tokens+elapsed.Seconds()*PerSec)
		one.at = now
	}
	if one.tokens < 1 {
		one.left++
		return false
	}
	one.tokens--
	return true
}

type leftOut struct {
	event Event
	count uint64
}

func (b bounds) takeLeftOut() []leftOut {
	var list []leftOut
	for _, event := range Catalogue() {
		if one, ok := b[event.Number]; ok && one.left > 0 {
			list = append(list, leftOut{event, one.left})
			one.left = 0
		}
	}
	return list
}
