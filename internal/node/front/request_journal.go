package front

import (
	"context"
	"sync/atomic"

	"stepwick/internal/journal"
	"stepwick/internal/stage"
)

const (
	journalQueueCapacity = 4096     // entries not yet in the journal
	journalCapacity      = 4 * 4096 // entries of about 4,096 requests, at four each
)

// requestJournal owns the journal of recent requests, which Inspect reads. When the
// journal is full, new entries replace the oldest ones. Requests never wait for it:
// when its queue is full, entries are dropped and counted.
type requestJournal struct {
	entries *stage.Queue[JournalEntry]
	queries chan journalQuery
	dropped atomic.Uint64
	journal *journal.Journal[JournalEntry]
}

// journalQuery is a query for the entries of one request ID.
type journalQuery struct {
	requestID string
	result    chan []JournalEntry // buffered, so that the owner never blocks
}

func newRequestJournal() *requestJournal {
	return &requestJournal{
		entries: stage.NewQueue[JournalEntry](journalQueueCapacity),
		queries: make(chan journalQuery),
		journal: journal.New[JournalEntry](journalCapacity),
	}
}

// record adds an entry, or drops it when the queue is full.
func (j *requestJournal) record(entry JournalEntry) {
	if !j.entries.TryPut(entry) {
		j.dropped.Add(1)
	}
}

// find returns the entries of a request ID, oldest first. It returns the context's
// error if the context ends before the owner receives the query.
func (j *requestJournal) find(ctx context.Context, id string) ([]JournalEntry, error) {
	query := journalQuery{requestID: id, result: make(chan []JournalEntry, 1)}
	select {
	case j.queries <- query:
		return <-query.result, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Serve runs the goroutine that owns the journal until the context ends.
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

// String returns the name of this owner in log events.
func (j *requestJournal) String() string { return "request journal" }

// appendQueued moves the queued entries to the journal, so that a query sees all
// entries recorded before it.
func (j *requestJournal) appendQueued() {
	for queued := j.entries.Len(); queued > 0; queued-- {
		j.journal.Append(<-j.entries.Items())
	}
}

func (j *requestJournal) entriesOf(id string) []JournalEntry {
	return journal.Fold(j.journal, []JournalEntry(nil), func(matching []JournalEntry, entry journal.Entry[JournalEntry]) []JournalEntry {
		if entry.Event.ID == id {
			matching = append(matching, entry.Event)
		}
		return matching
	})
}
