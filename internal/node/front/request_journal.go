package front

import (
	"context"
	"sync/atomic"

	"stepwick/internal/journal"
	"stepwick/internal/stage"
)

const (
	journalQueueCapacity = 4096     // entries not yet in the journal
	journalCapacity      = 4 * 4096 // entries of about 4,096 requests
)

// requestJournal owns the journal of recent requests, which Inspect reads. It is
// bounded: the newest entries replace the oldest. Traffic never waits for it:
// entries that find its queue full are dropped and counted.
type requestJournal struct {
	entries *stage.Queue[Entry]
	queries chan journalQuery
	dropped atomic.Uint64
	journal *journal.Journal[Entry]
}

// journalQuery requests the entries of one request id.
type journalQuery struct {
	requestID string
	result    chan []Entry // holds one, so that the owner never waits
}

func newRequestJournal() *requestJournal {
	return &requestJournal{
		entries: stage.NewQueue[Entry](journalQueueCapacity),
		queries: make(chan journalQuery),
		journal: journal.New[Entry](journalCapacity),
	}
}

// record adds an entry, or drops it when the queue is full.
func (j *requestJournal) record(entry Entry) {
	if !j.entries.TryPut(entry) {
		j.dropped.Add(1)
	}
}

// find returns the entries of a request id, oldest first. The error is the
// context's, when it ends before the owner takes the query.
func (j *requestJournal) find(ctx context.Context, id string) ([]Entry, error) {
	query := journalQuery{requestID: id, result: make(chan []Entry, 1)}
	select {
	case j.queries <- query:
		return <-query.result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve owns the journal until the context ends.
func (j *requestJournal) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case entry := <-j.entries.Items():
			j.journal.Append(entry)
		case query := <-j.queries:
			j.appendQueued()
			query.result <- j.entriesOf(query.requestID)
		}
	}
}

// String returns the owner's name in log events.
func (j *requestJournal) String() string { return "scribe" }

// appendQueued empties the queue into the journal, so that a query sees all that
// was recorded before it.
func (j *requestJournal) appendQueued() {
	for queued := j.entries.Len(); queued > 0; queued-- {
		j.journal.Append(<-j.entries.Items())
	}
}

func (j *requestJournal) entriesOf(id string) []Entry {
	return journal.Fold(j.journal, []Entry(nil), func(found []Entry, entry journal.Entry[Entry]) []Entry {
		if entry.Event.ID == id {
			found = append(found, entry.Event)
		}
		return found
	})
}
