// Package journal implements a bounded in-memory log of events, which are numbered
// consecutively in the order in which they are appended. Each reader keeps the sequence
// number up to which it has read, and views are computed by folding the retained
// events. Nothing is stored on disk. A journal has one owner and is not safe for
// concurrent use.
package journal

// Entry is an event with its sequence number. Sequence numbers start at 1 and have no
// gaps.
type Entry[E any] struct {
	Sequence uint64
	Event    E
}

// Journal retains the newest events up to its capacity.
type Journal[E any] struct {
	ring         []Entry[E]
	oldest       int // index of the oldest entry in ring
	count        int
	lastSequence uint64
}

// New returns an empty journal that retains the newest capacity events; a capacity
// below one counts as one.
func New[E any](capacity int) *Journal[E] {
	return &Journal[E]{ring: make([]Entry[E], max(capacity, 1))}
}

// Append adds an event and returns its sequence number. If the journal is full, it
// drops the oldest event.
func (j *Journal[E]) Append(event E) uint64 {
	j.lastSequence++
	*j.slot(j.count) = Entry[E]{Sequence: j.lastSequence, Event: event}
	if j.count < len(j.ring) {
		j.count++
	} else {
		j.oldest = (j.oldest + 1) % len(j.ring)
	}
	return j.lastSequence
}

// slot returns the element of ring for the entry with the given index, counted from the
// oldest. In a full journal the index count wraps to the oldest entry, which the next
// event overwrites.
func (j *Journal[E]) slot(index int) *Entry[E] { return &j.ring[(j.oldest+index)%len(j.ring)] }

// LastSequence returns the sequence number of the newest event, or zero if none has
// been appended.
func (j *Journal[E]) LastSequence() uint64 { return j.lastSequence }

// OldestSequence returns the sequence number of the oldest retained event, or that of
// the next event if there is none.
func (j *Journal[E]) OldestSequence() uint64 { return j.lastSequence - uint64(j.count) + 1 }

// EntriesAfter returns up to limit entries with a sequence number above the given one, oldest
// first; a limit of zero means all. Complete is false if events after the given number
// have been dropped or the number is higher than that of the newest event: the reader
// then needs a snapshot.
func (j *Journal[E]) EntriesAfter(sequence uint64, limit int) (entries []Entry[E], complete bool) {
	if sequence > j.lastSequence || sequence+1 < j.OldestSequence() {
		return nil, false
	}
	available := int(j.lastSequence - sequence)
	first := j.count - available
	if limit > 0 {
		available = min(available, limit)
	}
	entries = make([]Entry[E], available)
	for i := range entries {
		entries[i] = *j.slot(first + i)
	}
	return entries, true
}

// Get returns the event with the given sequence number; ok is false if it is not
// retained.
func (j *Journal[E]) Get(sequence uint64) (event E, ok bool) {
	if sequence == 0 || sequence > j.lastSequence || sequence < j.OldestSequence() {
		return event, false
	}
	return j.slot(int(sequence - j.OldestSequence())).Event, true
}

// Fold applies step to a view and each retained entry, oldest first, and returns the
// resulting view.
func Fold[E, V any](j *Journal[E], view V, step func(V, Entry[E]) V) V {
	for i := range j.count {
		view = step(view, *j.slot(i))
	}
	return view
}
