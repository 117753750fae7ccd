// Command review-standin runs the script case of the review: a small deployment of the
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
	trouble := flag.Bool("trouble", true, "freeze a machine")
	flag.Parse()
	// The processes under test end with the thread that started them.
	runtime.LockOSThread()
	record, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code := runCase(*program, *trouble, record)
	record.close()
	os.Exit(code)
}

// runCase runs the case and returns the exit code.
func runCase(program string, trouble bool, record *record) int {
	deployment, err := startDeployment(program, record)
	if err != nil {
		record.add("not run: %v", err)
		return exitNotRun
	}
	defer deployment.stop()
	broken, err := staleEvacuationOrder(deployment, trouble, record)
	switch {
	case err != nil:
		record.add("not run: %v", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
