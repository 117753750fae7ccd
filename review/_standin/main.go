// Command review-standin runs the script cases of the review: a small deployment of the
// project's own processes on loopback addresses, with stand-ins for the platform's list,
// the servers, the clients and the operator.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
	"time"
)

// Bounds of the deployment that the case refers to; they also stand in the settings.
const (
	contactTime  = 4000 * time.Millisecond
	evacuateTime = 5000 * time.Millisecond
	outerTime    = 6000 * time.Millisecond
	ackTimeLimit = 5000 * time.Millisecond
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	program := flag.String("program", "target/stepwick", "the program under test")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	name := flag.String("case", "evacuation", "evacuation or removal")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	// The processes under test end with the thread that started them.
	runtime.LockOSThread()
	record, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := runCase(*name, *program, *trouble, record)
	record.close()
	os.Exit(code)
}

// reviewCase is a case that was written as a script.
type reviewCase struct {
	perZone int // machines of each zone
	run     func(d *deployment, trouble bool, record *record) (broken bool, err error)
}

var cases = map[string]reviewCase{
	"evacuation": {perZone: 1, run: staleEvacuationOrder},
	"removal":    {perZone: 3, run: ordersAfterRemoval},
}

// runCase runs a case and returns the exit code.
func runCase(name, program string, trouble bool, record *record) int {
	chosen, known := cases[name]
	if !known {
		record.add("not run: no case %q", name)
		return exitNotRun
	}
	deployment, err := startDeployment(program, chosen.perZone, record)
	if err != nil {
		record.add("not run: %v", err)
		return exitNotRun
	}
	defer deployment.stop()
	broken, err := chosen.run(deployment, trouble, record)
	switch {
	case err != nil:
		record.add("not run: %v", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
