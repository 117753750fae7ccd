package faultcase

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/owner"
)

const (
	readBackTimeout  = 20 * time.Second
	readBackInterval = 500 * time.Millisecond

	changesPerLostAnswer = 5  // changes for each one whose answer is lost
	maxLossDelayMs       = 40 // from sending a change until its answer is dropped
)

// operatorFor returns the operator who submits the order of a number; the two
// operators alternate.
func operatorFor(number uint64) string {
	if number%2 == 0 {
		return firstOperator
	}
	return secondOperator
}

// runInBackground runs a function concurrently with the faults of a case. The returned
// function cancels its context and waits until it has returned; calling it more than
// once is safe.
func (r *Run) runInBackground(work func(ctx context.Context)) (stop func()) {
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		work(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// submitChanges submits one change after another through alternating nodes, drops
// some of the answers, and retries each order until its answer is final. An order
// that is pending when ctx ends is not retried any more.
func (r *Run) submitChanges(ctx context.Context, interval time.Duration, extraChanges func(number uint64) []loadgen.Change) {
	_, base := r.Operators.NewestKey()
	for number := uint64(0); ctx.Err() == nil; number++ {
		var changes []loadgen.Change
		if extraChanges != nil {
			changes = extraChanges(number)
		}
		order := r.Operators.Patch(operatorFor(number), base, changes...)
		base = r.submitChange(ctx, order, number, base)
		if !owner.Sleep(ctx, interval) {
			return
		}
	}
}

// submitChange submits the change of a number and returns the base version for the
// next one.
func (r *Run) submitChange(ctx context.Context, order *loadgen.Order, number, base uint64) uint64 {
	nodes := r.rotatedNodes(number)
	if number%changesPerLostAnswer == changesPerLostAnswer-1 {
		lossDelay := time.Duration(1+number%maxLossDelayMs) * time.Millisecond
		r.Operators.Send(order, nodes[0], lossDelay)
		nodes = nodes[1:]
	}
	answer := r.Operators.Submit(ctx, order, nodes)
	if answer.Acknowledged() {
		return answer.Version
	}
	if ctx.Err() == nil {
		if current, ok := r.Operators.SheetVersion(ctx, nodes); ok {
			return current
		}
	}
	return base
}

// submit submits an order, first through the node that the number selects, and
// returns the version in the last answer.
func (r *Run) submit(order *loadgen.Order, number uint64, timeout time.Duration) (acknowledged bool, version uint64) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	answer := r.Operators.Submit(ctx, order, r.rotatedNodes(number))
	return answer.Acknowledged(), answer.Version
}

// readBack reads the sheet through every running node at the end of a case, and
// repeats this until at least one read has succeeded.
func (r *Run) readBack(timeout time.Duration) error {
	deadline := r.Recorder.Now() + timeout
	for {
		if r.readThroughAll(true) > 0 {
			return nil
		}
		if r.Recorder.Now() > deadline || !r.Wait(readBackInterval) {
			return fmt.Errorf("reading back the sheet at the end of the case: no running node answered within %s", timeout)
		}
	}
}

// readThroughAll reads the sheet once through every running node and returns the
// number of successful reads.
func (r *Run) readThroughAll(final bool) int {
	succeeded := 0
	for _, node := range runningNodes(r.Fleet.Nodes) {
		if read, _ := r.Operators.ReadSheet(node, final); read.Status == http.StatusOK {
			succeeded++
		}
	}
	return succeeded
}

// checkAcknowledged returns an error if no order was acknowledged within the last
// period of this length. The condition describes the fault in the error.
func (r *Run) checkAcknowledged(condition string, period time.Duration) error {
	recording := r.Recorder.Snapshot()
	for _, order := range recording.Orders {
		if order.Acknowledged() && order.Answered > r.Recorder.Now()-period {
			return nil
		}
	}
	return errors.Errorf("no order was acknowledged in the last %s while %s", period, condition)
}

// awaitNewestSheet waits until a node serves by the newest sheet. It returns false
// after the timeout or when the run ends.
func (r *Run) awaitNewestSheet(node *fleet.Node, timeout time.Duration) bool {
	deadline := r.Recorder.Now() + timeout
	for r.Recorder.Now() < deadline {
		key, _ := r.Operators.NewestKey()
		if r.Operators.CheckKey(node, key).Accepted() {
			return true
		}
		if !r.Wait(pollInterval) {
			return false
		}
	}
	return false
}
