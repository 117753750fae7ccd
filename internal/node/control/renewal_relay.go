package control

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/lease"
	"stepwick/internal/wire"
)

// In a large fleet a front renews its lease at one core near it, which relays the
// renewal to the other cores: each of them gets the renewals of many fronts in one
// message. A lease still counts from when the front's own request was sent, so the
// time that a relay takes shortens the lease and never extends it.
const (
	// relayInterval is how long renewals are gathered for the other cores.
	relayInterval = 100 * time.Millisecond
	// relayTimeout is how long a relayed renewal waits for the others' answers.
	relayTimeout = 350 * time.Millisecond
	// maxRelayBatch bounds the renewals queued for one core, and those in a batch.
	maxRelayBatch = 4096
	// relayAnswersCapacity is more than the number of other cores there may be, so
	// that the owner never blocks on an answer.
	relayAnswersCapacity = 64
)

// relayQueues holds the renewals that wait for the next batch to each core.
type relayQueues struct {
	byCore      map[string][]relayedRenewal
	lastFlushAt time.Time
}

// relayedRenewal is a renewal queued for another core.
type relayedRenewal struct {
	request *wire.RenewRequest
	// withRecord is set when it is sent a second time, with the member's record.
	withRecord bool
	answers    chan<- relayedAnswer
}

// relayedAnswer is another core's answer; resp is nil when there was none.
type relayedAnswer struct {
	resp *wire.RenewResponse
	// clockOffset is the core's clock minus this one's.
	clockOffset time.Duration
}

// queueRelays queues a renewal for the other cores and returns for how many.
func (c *Controller) queueRelays(req *wire.RenewRequest, answers chan<- relayedAnswer) (queued int) {
	request := &wire.RenewRequest{
		Self:        req.Self,
		Epoch:       req.Epoch,
		Name:        req.Name,
		Incarnation: req.Incarnation,
	}
	for _, core := range c.otherCores() {
		if len(c.relays.byCore[core.Name]) >= maxRelayBatch {
			continue
		}
		relayed := relayedRenewal{request: request, answers: answers}
		c.relays.byCore[core.Name] = append(c.relays.byCore[core.Name], relayed)
		queued++
	}
	return queued
}

// flushRelays sends each other core the renewals queued for it. Several batches to
// a core may be in flight, as a round trip between regions may take longer than
// relayInterval; relayTimeout bounds how many.
func (c *Controller) flushRelays(now time.Time) {
	if now.Sub(c.relays.lastFlushAt) < relayInterval {
		return
	}
	c.relays.lastFlushAt = now
	for _, core := range c.otherCores() {
		c.sendBatch(core)
	}
	c.dropQueuedRelays()
}

// dropQueuedRelays drops what is queued for cores that are not known any more: it
// must not reach one that returns when the members may have released their leases.
func (c *Controller) dropQueuedRelays() {
	for _, batch := range c.relays.byCore {
		failRelays(batch)
	}
	clear(c.relays.byCore)
}

func failRelays(batch []relayedRenewal) {
	for _, relayed := range batch {
		relayed.answers <- relayedAnswer{}
	}
}

// sendBatch sends a core the renewals queued for it in one call.
func (c *Controller) sendBatch(core *wire.Process) {
	batch := c.relays.byCore[core.Name]
	if len(batch) == 0 {
		return
	}
	c.relays.byCore[core.Name] = nil
	req := &wire.RenewBatchRequest{}
	for _, relayed := range batch {
		req.Renewals = append(req.Renewals, relayed.request)
	}
	parent := c.ctx
	sentAt := c.clock.Now()
	go func() {
		ctx, cancel := context.WithTimeout(parent, relayTimeout)
		defer cancel()
		resp, err := c.peers.Client(core.Address).RenewBatch(ctx, connect.NewRequest(req))
		receivedAt := c.clock.Now()
		c.post(parent, func() {
			if err != nil || len(resp.Msg.Answers) != len(batch) {
				failRelays(batch)
				return
			}
			c.deliverAnswers(core, batch, resp.Msg.Answers, sentAt.Add(receivedAt.Sub(sentAt)/2))
		})
	}()
}

// deliverAnswers delivers a core's answers to those who wait. The core's clock is
// taken to have been read in the middle of the call. Renewals of members of which
// the core holds no record are sent again at once, with it.
func (c *Controller) deliverAnswers(core *wire.Process, batch []relayedRenewal, answers []*wire.RenewResponse, middle time.Time) {
	resend := false
	for i, relayed := range batch {
		answer := answers[i]
		if !answer.Who {
			relayed.answers <- relayedAnswer{resp: answer, clockOffset: time.UnixMicro(answer.TimeUs).Sub(middle)}
			continue
		}
		record := c.leases.ProcessRecord(relayed.request.Name, relayed.request.Incarnation)
		if relayed.withRecord || record == nil {
			relayed.answers <- relayedAnswer{}
			continue
		}
		again := relayedRenewal{
			request:    &wire.RenewRequest{Self: record, Epoch: relayed.request.Epoch},
			withRecord: true,
			answers:    relayed.answers,
		}
		c.relays.byCore[core.Name] = append(c.relays.byCore[core.Name], again)
		resend = true
	}
	if resend {
		c.sendBatch(core)
	}
}

// awaitRelayedAnswers waits for a number of other cores' answers to a relayed
// renewal, and returns those that arrived in time with their clocks as of now.
func (c *Controller) awaitRelayedAnswers(ctx context.Context, expected int, answers <-chan relayedAnswer) []*wire.RenewResponse {
	arrived := collectAnswers(ctx, expected, answers)
	now := c.clock.Now()
	var others []*wire.RenewResponse
	for _, answer := range arrived {
		answer.resp.TimeUs = now.Add(answer.clockOffset).UnixMicro()
		others = append(others, answer.resp)
	}
	return others
}

func collectAnswers(ctx context.Context, expected int, answers <-chan relayedAnswer) []relayedAnswer {
	timeout, stop := clock.NewTimer(relayTimeout)
	defer stop()
	var arrived []relayedAnswer
	for range expected {
		select {
		case answer := <-answers:
			if answer.resp != nil {
				arrived = append(arrived, answer)
			}
		case <-timeout:
			return arrived
		case <-ctx.Done():
			return arrived
		}
	}
	return arrived
}

// batchResult is what the owner made of a batch of renewals.
type batchResult struct {
	resp     *wire.RenewBatchResponse
	rejected *apierror.Error
}

// RenewBatch renews the leases of members that renewed at another core. The error
// is an *apierror.Error, or the context's.
func (c *Controller) RenewBatch(ctx context.Context, req *wire.RenewBatchRequest) (*wire.RenewBatchResponse, error) {
	if apiErr := validateBatch(req); apiErr != nil {
		return nil, apiErr
	}
	result, err := query(ctx, c, func() batchResult { return c.renewBatch(req) })
	if err != nil {
		return nil, err
	}
	if result.rejected != nil {
		return nil, result.rejected
	}
	return result.resp, nil
}

func validateBatch(req *wire.RenewBatchRequest) *apierror.Error {
	if len(req.Renewals) > maxRelayBatch {
		return apierror.Errorf(apierror.BadField, "a batch of %d renewals, at most %d", len(req.Renewals), maxRelayBatch)
	}
	for _, renewal := range req.Renewals {
		if renewal.Unconfirmed || lease.RenewalMemberName(renewal) == "" {
			return apierror.Errorf(apierror.BadField, "a batch holds renewals of members that are confirmed, by name")
		}
	}
	return nil
}

func (c *Controller) renewBatch(req *wire.RenewBatchRequest) batchResult {
	if apiErr := c.notReady(); apiErr != nil {
		return batchResult{rejected: apiErr}
	}
	resp := &wire.RenewBatchResponse{}
	for _, renewal := range req.Renewals {
		resp.Answers = append(resp.Answers, c.renew(renewal))
	}
	c.answerViewWaiters()
	return batchResult{resp: resp}
}
