// Package journal is a bounded in-memory log of events, numbered without gaps in
// the order of their appending. Readers keep the sequence number that they have
// read up to, and views are folded from the events retained. Nothing is stored on
// disk. A journal has one owner; it is not safe for concurrent use.
package journal

// Entry is an event with its sequence number. Numbers begin at 1 and have no gaps.
type Entry[E any] struct {
	Sequence uint64
	Event    E
}

// Journal retains the newest events up to its capacity.
type Journal[E any] struct {
	ring  []Entry[E]
	start int // of the oldest entry in ring
	count int
	last  uint64
}

// New returns an empty journal that retains at most capacity events, at least one.
func New[E any](capacity int) *Journal[E] {
	return &Journal[E]{ring: make([]Entry[E], max(capacity, 1))}
}

// Append adds an event, drops the oldest if the journal is full, and returns the
// event's sequence number.
func (j *Journal[E]) Append(event E) uint64 {
	j.last++
	*j.at(j.count) = Entry[E]{Sequence: j.last, Event: event}
	if j.count < len(j.ring) {
		j.count++
	} else {
		j.start = (j.start + 1) % len(j.ring)
	}
	return j.last
}

// at returns the slot of the entry at an index, counted from the oldest. The index
// of the next entry in a full journal is the slot of the oldest.
func (j *Journal[E]) at(index int) *Entry[E] { return &j.ring[(j.start+index)%len(j.ring)] }

// LastSequence returns the number of the newest event, zero when there was none.
func (j *Journal[E]) LastSequence() uint64 { return j.last }

// OldestSequence returns the number of the oldest event retained, or the one that
// comes next when there is none.
func (j *Journal[E]) OldestSequence() uint64 { return j.last - uint64(j.count) + 1 }

// After returns up to limit events after a sequence number, oldest first; limit
// zero means all. Complete is false when events after that number were dropped or
// the number is from the future: the reader needs a snapshot.
func (j *Journal[E]) After(sequence uint64, limit int) (entries []Entry[E], complete bool) {
	if sequence > j.last || sequence+1 < j.OldestSequence() {
		return nil, false
	}
	available := int(j.last - sequence)
	from := j.count - available
	if limit > 0 {
		available = min(available, limit)
	}
	entries = make([]Entry[E], available)
	for i := range entries {
		entries[i] = *j.at(from + i)
	}
	return entries, true
}

// Get returns the event of a sequence number while it is retained.
func (j *Journal[E]) Get(sequence uint64) (event E, ok bool) {
	if sequence == 0 || sequence > j.last || sequence < j.OldestSequence() {
		return event, false
	}
	return j.at(int(sequence - j.OldestSequence())).Event, true
}

// Fold folds the events retained into a view, oldest first.
func Fold[E, V any](j *Journal[E], view V, step func(V, Entry[E]) V) V {
	for i := range j.count {
		view = step(view, *j.at(i))
	}
	return view
}
