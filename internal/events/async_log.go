package events

import (
	"context"
	"sync/atomic"
	"time"

	"stepwick/internal/clock"

	"github.com/go-kit/log"
)

const (
	// queueCapacity is the maximum number of events that wait for the logger.
	queueCapacity = 1024
	// reportInterval is the time between reports of suppressed events.
	reportInterval = time.Second
)

// severities ranks the levels.
var severities = map[Level]int32{Debug: 0, Info: 1, Warn: 2, Error: 3}

// AsyncLog is a Log that writes events to a logger from one goroutine and
// limits the rate of each event. Events wait in a bounded queue until Serve
// writes them. Events that are emitted while the queue is full are dropped and
// counted.
type AsyncLog struct {
	logger      log.Logger
	clock       clock.Clock
	minSeverity atomic.Int32
	queue       chan entry
	dropped     atomic.Uint64
}

// entry is one emitted event.
type entry struct {
	event     Event
	emittedAt time.Time
	keyvals   []any
}

// NewAsyncLog returns a log at level Info. The caller must run Serve.
func NewAsyncLog(logger log.Logger, clock clock.Clock) *AsyncLog {
	l := &AsyncLog{
		logger: logger,
		clock:  clock,
		queue:  make(chan entry, queueCapacity),
	}
	l.SetLevel(Info)
	return l
}

// SetLevel sets the lowest level of events that are logged.
func (l *AsyncLog) SetLevel(level Level) { l.minSeverity.Store(severities[level]) }

// Emit queues an event, or drops it if the queue is full. It never blocks.
func (l *AsyncLog) Emit(event Event, keyvals ...any) {
	if severities[event.Level] < l.minSeverity.Load() {
		return
	}
	select {
	case l.queue <- entry{event, l.clock.Now(), keyvals}:
	default:
		l.dropped.Add(1)
	}
}

// Serve writes events until the context ends. It then writes the events that
// are still queued and the counts of suppressed ones, and returns nil.
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

// drain writes all queued events.
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
	if limits.allow(queued.event, queued.emittedAt) {
		l.print(queued)
	}
}

// reportSuppressed logs how many events were suppressed or dropped since the last
// report.
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
		"ts", emitted.emittedAt.Format(clock.RFC3339Milli),
		"level", string(emitted.event.Level),
		"event", emitted.event.Number,
		"event_name", emitted.event.Name,
	}, emitted.keyvals...)
	// An error of the log itself can't be reported anywhere.
	_ = l.logger.Log(line...)
}
