package replica

// syncQueue holds what waits for records of the log to be synced.
type syncQueue struct {
	synced  uint64   // the highest index of the log that is synced
	waiters []waiter // in the order of their indices
}

type waiter struct {
	index uint64
	then  func(error)
}

// after calls then once the log is synced up to the index; at once when it is.
func (q *syncQueue) after(index uint64, then func(error)) {
	if index <= q.synced {
		then(nil)
		return
	}
	q.waiters = append(q.waiters, waiter{index: index, then: then})
}

// advance calls all that waited for indices up to the one that is synced now.
func (q *syncQueue) advance(synced uint64) {
	q.synced = synced
	for len(q.waiters) > 0 && q.waiters[0].index <= synced {
		then := q.waiters[0].then
		// Removed before it is called: then may wait for a later index.
		q.waiters = q.waiters[1:]
		then(nil)
	}
}

// fail calls all that wait, with the reason why the log is not synced any more.
func (q *syncQueue) fail(err error) {
	for _, waiter := range q.waiters {
		waiter.then(err)
	}
}
