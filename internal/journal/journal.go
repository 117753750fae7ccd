// Package journal keeps events in memory, numbered in the order of their
// appending and bounded; views are folded from it. A journal has one owner.
package journal

// Entry is an event with its number. Numbers begin at 1 and have no gaps.
type Entry[E any] struct {
	Sequence uint64
	Event    E
}

// Journal holds the newest events up to its bound.
type Journal[E any] struct {
	ring  []Entry[E]
	start int
	count int
	last  uint64
}

// New returns an empty journal that keeps at most bound events, at least one.
func New[E any](bound int) *Journal[E] {
	return &Journal[E]{ring: make([]Entry[E], max(bound, 1))}
}

// Append adds an event, drops the oldest if the journal is full, and returns
// the event's number.
func (j *Journal[E]) Append(event E) uint64 {
	j.last++
	at := (j.start + j.count) % len(j.ring)
	j.ring[at] = Entry[E]{Sequence: j.last, Event: event}
	if j.count < len(j.ring) {
		j.count++
	} else {
		j.start = (j.start + 1) % len(j.ring)
	}
	return j.last
}

// LastSequence returns the number of the newest event, zero when there was none.
func (j *Journal[E]) LastSequence() uint64 { return j.last }

// OldestSequence returns the number of the oldest event that is kept, or the number
// that comes next when none is.
func (j *Journal[E]) OldestSequence() uint64 { return j.last - uint64(j.count) + 1 }

// After returns up to limit events after a number, oldest first; limit zero
// means all. Whole is false when events after that number were dropped or the
// number was never given: the reader needs a snapshot.
func (j *Journal[E]) After(number uint64, limit int) (entries []Entry[E], whole bool) {
	if number > j.last || number+1 < j.OldestSequence() {
		return nil, false
	}
	n := int(j.last - number)
	if limit > 0 {
		n = min(n, limit)
	}
	from := j.count - int(j.last-number)
	entries = make([]Entry[E], n)
	for i := range entries {
		entries[i] = j.ring[(j.start+from+i)%len(j.ring)]
	}
	return entries, true
}

// Get returns the event of a number while it is kept.
func (j *Journal[E]) Get(number uint64) (event E, ok bool) {
	if number == 0 || number > j.last || number < j.OldestSequence() {
		return event, false
	}
	return j.ring[(j.start+int(number-j.OldestSequence()))%len(j.ring)].Event, true
}

// Fold folds the events that are kept into a view, oldest first.
func Fold[E, V any](j *Journal[E], view V, step func(V, Entry[E]) V) V {
	for i := range j.count {
		view = step(view, j.ring[(j.start+i)%len(j.ring)])
	}
	return view
}
