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

	// lostAnswerEvery is how many changes there are for each whose answer is lost.
	lostAnswerEvery = 5
	maxLossDelayMs  = 40
)

// operatorOf returns the operator who sends a numbered order: they take turns.
func operatorOf(number uint64) string {
	if number%2 == 0 {
		return firstOperator
	}
	return secondOperator
}

// runBeside runs a function beside a case's faults. The function returned ends it
// and waits for that; it may be called again.
func (r *Run) runBeside(work func(ctx context.Context)) (end func()) {
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

// submitChanges submits one change after another through changing nodes, loses
// some answers, and sends each order until its answer is final. The order that is
// pending when ctx ends is left as it is.
func (r *Run) submitChanges(ctx context.Context, interval time.Duration, further func(number uint64) []loadgen.Change) {
	_, base := r.Operators.NewestKey()
	for number := uint64(0); ctx.Err() == nil; number++ {
		var changes []loadgen.Change
		if further != nil {
			changes = further(number)
		}
		order := r.Operators.Change(operatorOf(number), base, changes...)
		base = r.submitChange(ctx, order, number, base)
		if !owner.Sleep(ctx, interval) {
			return
		}
	}
}

// submitChange submits a numbered change and returns the base of the next one.
func (r *Run) submitChange(ctx context.Context, order *loadgen.Order, number, base uint64) uint64 {
	nodes := r.rotatedNodes(number)
	if number%lostAnswerEvery == lostAnswerEvery-1 {
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

// submit submits an order, through a node that a number decides first, and returns
// the last answer's version.
func (r *Run) submit(order *loadgen.Order, number uint64, timeout time.Duration) (acknowledged bool, version uint64) {
	ctx, cancel := context.WithTimeout(r.ctx, timeout)
	defer cancel()
	answer := r.Operators.Submit(ctx, order, r.rotatedNodes(number))
	return answer.Acknowledged(), answer.Version
}

// readBack reads the sheet after the end of traffic through every running node,
// and again until at least one read succeeds.
func (r *Run) readBack(timeout time.Duration) error {
	until := r.Recorder.Now() + timeout
	for {
		if r.readThroughAll(true) > 0 {
			return nil
		}
		if r.Recorder.Now() > until || !r.Wait(readBackInterval) {
			return fmt.Errorf("no node gave the sheet at day's end within %s", timeout)
		}
	}
}

// readThroughAll reads the sheet once through every running node and returns how
// many reads succeeded.
func (r *Run) readThroughAll(final bool) int {
	succeeded := 0
	for _, node := range runningNodes(r.Fleet.Nodes) {
		if read, _ := r.Operators.ReadSheet(node, final); read.Status == http.StatusOK {
			succeeded++
		}
	}
	return succeeded
}

// checkAcknowledged returns an error if no order was acknowledged lately.
func (r *Run) checkAcknowledged(condition string, lately time.Duration) error {
	recording := r.Recorder.Snapshot()
	for _, order := range recording.Orders {
		if order.Acknowledged() && order.Answered > r.Recorder.Now()-lately {
			return nil
		}
	}
	return errors.Errorf("no order was acknowledged in %s while %s", lately, condition)
}

// servesNewestSheet waits until a node uses the newest sheet; false when it
// doesn't in time.
func (r *Run) servesNewestSheet(node *fleet.Node, timeout time.Duration) bool {
	until := r.Recorder.Now() + timeout
	for r.Recorder.Now() < until {
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
