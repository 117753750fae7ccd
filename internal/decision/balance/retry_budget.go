package balance

import "time"

// retryBudget limits this node's retries to one service, within any window, to a
// fraction of its requests in that window and a fixed number. Nodes exchange nothing
// for it: a limit by a fraction holds over the fleet where each node keeps it for its
// own requests, and of the fixed number, RetrySlack, each node has an even part
// (Table.retrySlackPerNode).
type retryBudget struct {
	ratio   float64
	window  time.Duration
	buckets [budgetBuckets]budgetBucket
}

// budgetBuckets divide a window; there is one more than fit into it. Requests of the
// oldest bucket are not counted and its retries are, so that an incomplete bucket
// makes the limit stricter, never looser.
const budgetBuckets = 21

type budgetBucket struct {
	number            int64
	requests, retries float64
}

func newRetryBudget(ratio float64, window time.Duration) *retryBudget {
	return &retryBudget{ratio: ratio, window: window}
}

// current returns the bucket of now.
func (b *retryBudget) current(now time.Time) *budgetBucket {
	number := b.number(now)
	bucket := &b.buckets[number%budgetBuckets]
	if bucket.number != number {
		*bucket = budgetBucket{number: number}
	}
	return bucket
}

func (b *retryBudget) number(now time.Time) int64 {
	return now.UnixNano() / int64(b.window/(budgetBuckets-1))
}

func (b *retryBudget) countRequest(now time.Time) { b.current(now).requests++ }
func (b *retryBudget) countRetry(now time.Time)   { b.current(now).retries++ }

// allows reports whether one more retry is within the budget, of which slack is the
// fixed number.
func (b *retryBudget) allows(now time.Time, slack float64) bool {
	current := b.number(now)
	requests := 0.0
	retries := 0.0
	for _, bucket := range b.buckets {
		age := current - bucket.number
		if age >= budgetBuckets {
			continue
		}
		retries += bucket.retries
		if age < budgetBuckets-1 {
			requests += bucket.requests
		}
	}
	return retries+1 <= requests*b.ratio+slack
}
