package balance

import "time"

// retryBudget limits this node's retries to one service, within any window, to a
// fraction of its requests in that window plus a fixed number. It needs no
// communication between nodes: the fraction holds for the fleet if each node applies
// it to its own requests, and the fixed number, Config.RetrySlack, is divided evenly
// among the nodes (Table.retrySlackPerNode).
type retryBudget struct {
	ratio   float64
	window  time.Duration
	buckets [budgetBucketCount]budgetBucket
}

// budgetBucketCount is the number of buckets, one more than fit into a window. Of the
// oldest bucket the retries are counted and the requests are not, so that a bucket
// partly outside the window makes the limit stricter, never looser.
const budgetBucketCount = 21

type budgetBucket struct {
	number            int64
	requests, retries float64
}

func newRetryBudget(ratio float64, window time.Duration) *retryBudget {
	return &retryBudget{ratio: ratio, window: window}
}

// currentBucket returns the bucket for now. It resets the bucket if that was last used
// for an earlier interval.
func (b *retryBudget) currentBucket(now time.Time) *budgetBucket {
	number := b.bucketNumber(now)
	bucket := &b.buckets[number%budgetBucketCount]
	if bucket.number != number {
		*bucket = budgetBucket{number: number}
	}
	return bucket
}

func (b *retryBudget) bucketNumber(now time.Time) int64 {
	return now.UnixNano() / int64(b.window/(budgetBucketCount-1))
}

func (b *retryBudget) countRequest(now time.Time) { b.currentBucket(now).requests++ }
func (b *retryBudget) countRetry(now time.Time)   { b.currentBucket(now).retries++ }

// allows reports whether one more retry is within the budget; slack is the fixed
// number of retries allowed in addition to the fraction.
func (b *retryBudget) allows(now time.Time, slack float64) bool {
	current := b.bucketNumber(now)
	requests := 0.0
	retries := 0.0
	for _, bucket := range b.buckets {
		age := current - bucket.number
		if age >= budgetBucketCount {
			continue
		}
		retries += bucket.retries
		if age < budgetBucketCount-1 {
			requests += bucket.requests
		}
	}
	return retries+1 <= requests*b.ratio+slack
}
