package main

import (
	"context"
	"fmt"
	"syscall"
	"time"
)

// Indices of the machines and zones in the case.
const (
	frozenMachine = 1 // the machine that stands still, in kuto-hall
	otherMachine  = 0 // a machine that runs throughout
	evacuatedZone = 2 // lekki-hall
)

// trafficBefore is how long the clients send before anything else is done.
const trafficBefore = 2 * time.Second

const (
	firstEvacuation = 3 * time.Second
	frozenFor       = 5 * time.Second
	freezeLead      = 300 * time.Millisecond
	secondPause     = time.Second // from the end of the first evacuation to the second one
	observedFor     = 5 * time.Second
	minimumRequests = 50 // that must have been run in the observed time
)

// staleEvacuationOrder evacuates a zone, takes that back, and evacuates it again. With
// trouble, a machine stands still for frozenFor, and the order that takes the first
// evacuation back is sent to it first. It reports whether requests arrived in the zone
// while it was to get none.
func staleEvacuationOrder(d *deployment, trouble bool, record *record) (broken bool, err error) {
	operator := newOperator(d)
	ctx, stopClients := context.WithCancel(context.Background())
	defer stopClients()
	if err := d.beginTraffic(ctx, operator); err != nil {
		return false, err
	}

	zone := zones[evacuatedZone].name
	if _, err := operator.order("/-/Evacuation.Begin/"+zone, "", 0, otherMachine, ackTimeLimit); err != nil {
		return false, err
	}
	time.Sleep(firstEvacuation)

	thawed := freeze(d.machines[frozenMachine], trouble, record)
	time.Sleep(freezeLead)
	if _, err := operator.order("/-/Evacuation.Finish/"+zone, "", 0, frozenMachine, ackTimeLimit); err != nil {
		return false, err
	}
	time.Sleep(secondPause)
	acknowledged, err := operator.order("/-/Evacuation.Begin/"+zone, "", 0, otherMachine, ackTimeLimit)
	if err != nil {
		return false, err
	}

	inTouch := (<-thawed).Add(contactTime)
	// The core was not stable for a time: outerTime is allowed for that as well.
	from := acknowledged.Add(evacuateTime + outerTime)
	if inTouch.After(from) {
		from = inTouch
	}
	to := from.Add(observedFor)
	time.Sleep(time.Until(to))
	stopClients()
	return judge(record, zone, from, to)
}

// beginTraffic sends the first configuration and starts the clients.
func (d *deployment) beginTraffic(ctx context.Context, operator *operator) error {
	if _, err := operator.order("/-/Configuration.Replace", firstConfiguration, 0, otherMachine, startTimeLimit); err != nil {
		return err
	}
	if err := d.awaitReady(); err != nil {
		return err
	}
	d.startClients(ctx)
	time.Sleep(trafficBefore)
	return nil
}

// freeze stops the processes of a machine and lets them continue after frozenFor. The
// channel delivers the time at which they continued; without trouble, that is now.
func freeze(frozen *machine, trouble bool, record *record) <-chan time.Time {
	thawed := make(chan time.Time, 1)
	if !trouble {
		thawed <- time.Now()
		return thawed
	}
	frozen.signal(syscall.SIGSTOP)
	record.add("frozen    %s", frozen.name)
	go func() {
		time.Sleep(frozenFor)
		frozen.signal(syscall.SIGCONT)
		record.add("continues %s", frozen.name)
		thawed <- time.Now()
	}()
	return thawed
}

// judge reports whether the rule was broken in a span of time.
func judge(record *record, zone string, from, to time.Time) (broken bool, err error) {
	arrivals := record.arrivalsBetween(from, to)
	inZone := 0
	for _, entry := range arrivals {
		if entry.zone == zone {
			inZone++
		}
	}
	record.add("judged    %.3f s to %.3f s: %d requests were run, %d of them in the evacuated zone %s",
		record.since(from), record.since(to), len(arrivals), inZone, zone)
	if len(arrivals) < minimumRequests {
		return false, fmt.Errorf("only %d requests were run in the observed time", len(arrivals))
	}
	return inZone > 0, nil
}
