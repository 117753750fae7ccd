package main

import (
	"context"
	"time"
)

const (
	removalGap  = 1300 * time.Millisecond // from one SIGTERM to the next
	calmFor     = 10 * time.Second        // from the end of the last process to the order
	orderWindow = 20 * time.Second        // for which the operator repeats the order
)

// ordersAfterRemoval removes, with trouble, every machine that has no core, one after the
// other, and later sends a valid change of the configuration. It reports whether that was
// still unacknowledged after ackTimeLimit.
func ordersAfterRemoval(d *deployment, trouble bool, record *record) (broken bool, err error) {
	operator := newOperator(d)
	ctx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	if err := d.beginTraffic(ctx, operator); err != nil {
		return false, err
	}
	if trouble {
		if err := d.removeAll(d.withoutCores()); err != nil {
			return false, err
		}
	}
	time.Sleep(calmFor)

	sent := time.Now()
	acknowledged, err := operator.order("/-/Configuration.Modify", idleChange, 1, otherMachine, orderWindow)
	if err != nil {
		record.add("judged    %v; the bound is %v", err, ackTimeLimit)
		return true, nil
	}
	record.add("judged    acknowledged after %.3f s; the bound is %v", acknowledged.Sub(sent).Seconds(), ackTimeLimit)
	return acknowledged.Sub(sent) > ackTimeLimit, nil
}

// removeAll removes machines, each removalGap after the one before it, and waits until
// all of their processes have ended.
func (d *deployment) removeAll(removed []*machine) error {
	results := make(chan error, len(removed))
	for _, next := range removed {
		go func() { results <- d.remove(next) }()
		time.Sleep(removalGap)
	}
	for range removed {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}
