package events

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"

	"github.com/go-kit/log"
)

const (
	// queueCapacity bounds the events that wait for the logger.
	queueCapacity = 1024
	// reportInterval is how often suppressed events are reported.
	reportInterval = time.Second
)

// severities orders the levels.
var severities = map[Level]int32{Debug: 0, Info: 1, Warn: 2, Error: 3}

// AsyncLog is a Log that writes events to a logger from one goroutine and
// limits the rate of each event. Events that are emitted before Serve runs wait
// in a bounded queue; those that find it full are dropped and counted.
type AsyncLog struct {
	logger  log.Logger
	clock   clock.Clock
	lowest  atomic.Int32
	queue   chan entry
	dropped atomic.Uint64
}

// entry is one emitted event.
type entry struct {
	event   Event
	at      time.Time
	keyvals []any
}

// NewAsyncLog returns a log at level Info. Its owner must run Serve.
func NewAsyncLog(logger log.Logger, clock clock.Clock) *AsyncLog {
	l := &AsyncLog{
		logger: logger,
		clock:  clock,
		queue:  make(chan entry, queueCapacity),
	}
	l.SetLevel(Info)
	return l
}

// SetLevel sets the lowest level that is logged.
func (l *AsyncLog) SetLevel(level Level) { l.lowest.Store(severities[level]) }

// Emit queues an event; it never blocks.
func (l *AsyncLog) Emit(event Event, keyvals ...any) {
	if severities[event.Level] < l.lowest.Load() {
		return
	}
	select {
	case l.queue <- entry{event, l.clock.Now(), keyvals}:
	default:
		l.dropped.Add(1)
	}
}

// Serve writes events until the context ends; then it writes those that are
// queued, with the counts of suppressed ones, and returns nil.
func (l *AsyncLog) Serve(ctx context.Context) error {
	limits := make(rateLimits)
	ticker := l.clock.Ticker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case queued := <-l.queue:
			l.write(limits, queued)
		case <-ticker.C():
			l.reportSuppressed(limits)
		case <-ctx.Done():
			l.drain(limits)
			l.reportSuppressed(limits)
			return nil
		}
	}
}

// drain writes all events that are queued.
func (l *AsyncLog) drain(limits rateLimits) {
	for {
		select {
		case queued := <-l.queue:
			l.write(limits, queued)
		default:
			return
		}
	}
}

func (l *AsyncLog) write(limits rateLimits, queued entry) {
	if limits.allow(queued.event, queued.at) {
		l.print(queued)
	}
}

// reportSuppressed logs how many events were left out since the last report.
func (l *AsyncLog) reportSuppressed(limits rateLimits) {
	now := l.clock.Now()
	for _, suppressed := range limits.takeSuppressed() {
		l.print(entry{EventsSuppressed, now, []any{"of", suppressed.event.Number, "of_name", suppressed.event.Name, "count", suppressed.count}})
	}
	if dropped := l.dropped.Swap(0); dropped > 0 {
		l.print(entry{EventsSuppressed, now, []any{"of", 0, "of_name", "any", "count", dropped}})
	}
}

func (l *AsyncLog) print(emitted entry) {
	line := append([]any{
		"ts", emitted.at.Format(clock.RFC3339Milli),
		"level", string(emitted.event.Level),
		"event", emitted.event.Number,
		"event_name", emitted.event.Name,
	}, emitted.keyvals...)
	// A log that can't be written has nowhere to report that.
	_ = l.logger.Log(line...)
}
