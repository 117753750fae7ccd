package replica

// syncQueue holds callbacks that wait for records of the log to be synced.
type syncQueue struct {
	synced  uint64   // highest synced index of the log
	waiters []waiter // ordered by index
}

type waiter struct {
	index    uint64
	callback func(error)
}

// whenSynced calls the callback once the log is synced up to the index; immediately if
// it already is.
func (q *syncQueue) whenSynced(index uint64, callback func(error)) {
	if index <= q.synced {
		callback(nil)
		return
	}
	q.waiters = append(q.waiters, waiter{index: index, callback: callback})
}

// advance sets the highest synced index and calls the callbacks that waited for it or
// a lower one.
func (q *syncQueue) advance(synced uint64) {
	q.synced = synced
	for len(q.waiters) > 0 && q.waiters[0].index <= synced {
		callback := q.waiters[0].callback
		// Removed before the call, since the callback may add a waiter.
		q.waiters = q.waiters[1:]
		callback(nil)
	}
}

// fail calls all waiting callbacks with the error of the log.
func (q *syncQueue) fail(err error) {
	for _, waiter := range q.waiters {
		waiter.callback(err)
	}
}
