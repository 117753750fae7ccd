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

// In a large fleet a front renews its lease at one nearby core, which relays the
// renewal to the other cores. Each of them receives the renewals of many fronts in
// one message. A lease is still timed from when the front sent its own request, so
// the time that relaying takes shortens the lease and never extends it.
const (
	// relayInterval is the interval at which renewals are sent to the other cores.
	relayInterval = 100 * time.Millisecond
	// relayTimeout bounds the wait of a relayed renewal for the other cores' answers.
	relayTimeout = 350 * time.Millisecond
	// maxRelayBatch bounds the number of renewals that are queued for one core, and
	// of those in one batch.
	maxRelayBatch = 4096
	// relayAnswersCapacity exceeds the number of other cores that there may be, so
	// that the owner never blocks when it delivers an answer.
	relayAnswersCapacity = 64
)

// relayQueues holds the renewals for the next batch to each core.
type relayQueues struct {
	byCore      map[string][]relayedRenewal
	lastFlushAt time.Time
}

// relayedRenewal is a renewal queued for another core.
type relayedRenewal struct {
	request *wire.RenewRequest
	// withRecord is set if the renewal is sent a second time, with the member's
	// process record.
	withRecord bool
	answers    chan<- relayedAnswer
}

// relayedAnswer is another core's answer to a relayed renewal; resp is nil if the
// core did not answer.
type relayedAnswer struct {
	resp *wire.RenewResponse
	// clockOffset is the other core's clock minus this core's.
	clockOffset time.Duration
}

// queueRelays queues a renewal for the other cores, except those whose queue is full,
// and returns for how many it was queued.
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
// one core may be in flight, because a round trip between regions may take longer
// than relayInterval. relayTimeout bounds their number.
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

// dropQueuedRelays drops the renewals queued for cores that are no longer known. If
// such a core returned later, they must not reach it, because the members may have
// released their leases by then.
func (c *Controller) dropQueuedRelays() {
	for _, batch := range c.relays.byCore {
		failRelays(batch)
	}
	clear(c.relays.byCore)
}

// failRelays answers each renewal of a batch with no response.
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

// deliverAnswers delivers a core's answers to the waiting renewals. It assumes that
// the core read its clock at the midpoint of the call. A renewal of a member of which
// the core has no process record is sent again immediately, with the record.
func (c *Controller) deliverAnswers(core *wire.Process, batch []relayedRenewal, answers []*wire.RenewResponse, midpoint time.Time) {
	hasResent := false
	for i, relayed := range batch {
		answer := answers[i]
		if !answer.Who {
			relayed.answers <- relayedAnswer{resp: answer, clockOffset: time.UnixMicro(answer.TimeUs).Sub(midpoint)}
			continue
		}
		record := c.leases.ProcessRecord(relayed.request.Name, relayed.request.Incarnation)
		if relayed.withRecord || record == nil {
			relayed.answers <- relayedAnswer{}
			continue
		}
		resent := relayedRenewal{
			request:    &wire.RenewRequest{Self: record, Epoch: relayed.request.Epoch},
			withRecord: true,
			answers:    relayed.answers,
		}
		c.relays.byCore[core.Name] = append(c.relays.byCore[core.Name], resent)
		hasResent = true
	}
	if hasResent {
		c.sendBatch(core)
	}
}

// awaitRelayedAnswers waits for the expected number of answers to a relayed renewal
// and returns those that arrive in time. Their clock readings are advanced to now.
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

// collectAnswers receives the expected number of answers, or those that arrive within
// relayTimeout. It omits answers without a response.
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

// batchResult is the owner's result of a batch of renewals; rejected is why this core
// could not decide.
type batchResult struct {
	resp     *wire.RenewBatchResponse
	rejected *apierror.Error
}

// RenewBatch renews the leases of members whose renewals another core relays. The
// error is an *apierror.Error or the context's.
func (c *Controller) RenewBatch(ctx context.Context, req *wire.RenewBatchRequest) (*wire.RenewBatchResponse, error) {
	if apiErr := validateBatch(req); apiErr != nil {
		return nil, apiErr
	}
	result, err := callOwner(ctx, c, func() batchResult { return c.renewBatch(req) })
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
		return apierror.Errorf(apierror.BadField, "the batch of %d renewals exceeds the limit of %d", len(req.Renewals), maxRelayBatch)
	}
	for _, renewal := range req.Renewals {
		if renewal.Unconfirmed || lease.RenewalMemberName(renewal) == "" {
			return apierror.Errorf(apierror.BadField, "the batch contains a renewal of member %q with unconfirmed=%t; members must be named and confirmed", lease.RenewalMemberName(renewal), renewal.Unconfirmed)
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
