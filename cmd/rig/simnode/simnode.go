// Package simnode measures the cost of the control plane per front and per core as
// the fleet grows. Cores run as separate processes; fronts are complete nodes without
// traffic that share the rig's process, so that hundreds fit on one machine. Their
// use of CPU, memory and network is therefore measured as a total and reported as a
// mean per front.
package simnode

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/pprof"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/clock"
)

const (
	kib = 1 << 10
	mib = 1 << 20

	stopTimeout        = 15 * time.Second // for one front to stop
	startBatch         = 20               // fronts started without a pause
	startBatchInterval = 200 * time.Millisecond
)

// Options configures one measurement.
type Options struct {
	Binary        string
	Dir           string // directory of the cores' settings, data and logs
	Fronts        int
	Cores         int
	Tenants       int           // tenants in the sheet
	Servers       int           // servers in the platform's list
	WarmUp        time.Duration // wait before the measurement
	Duration      time.Duration
	Orders        int               // changes submitted one after another after the measurement
	RestartFronts bool              // at the end, stop all fronts and start them at once
	Settings      map[string]string // of every process
	HeapProfile   string            // file for a heap profile of the fronts; empty for none
}

// Result is the result of one measurement. CPU shares are CPU seconds per second;
// byte counts include the TCP payload of both directions.
type Result struct {
	Fronts              int     `json:"fronts"`
	Tenants             int     `json:"tenants"`
	Servers             int     `json:"servers"`
	ReadyFronts         int     `json:"ruling"`
	FrontCPUShare       float64 `json:"front_core_share"`
	FrontBytes          float64 `json:"front_bytes_per_s"`       // between nodes
	HealthCheckBytes    float64 `json:"front_watch_bytes_per_s"` // to the platform and the servers
	FrontHeapKiB        float64 `json:"front_heap_kib"`
	FrontGoroutines     float64 `json:"front_goroutines"`
	CoreCPUShare        float64 `json:"core_core_share"`
	CoreRSSMiB          float64 `json:"core_rss_mib"`
	InForceP50MS        float64 `json:"in_force_p50_ms"`
	InForceMaxMS        float64 `json:"in_force_max_ms"`
	OrdersNotInForce    int     `json:"orders_not_in_force"`
	LastFailure         string  `json:"last_not_in_force,omitempty"`
	RestartMS           float64 `json:"herd_ms,omitempty"`              // from the restart until every front is ready
	RestartPeakCPUShare float64 `json:"herd_core_peak_share,omitempty"` // in the busiest window of at least half a second, mean of the cores
	RestartCPUSeconds   float64 `json:"herd_core_seconds,omitempty"`    // for each core
}

// Measure starts the servers, cores and fronts, waits for the warm-up and measures.
// It stops everything that it started before it returns.
func Measure(ctx context.Context, options Options) (Result, error) {
	sim := newFleet(ctx, options)
	defer sim.close()
	heapBefore := heapBytes()
	if err := sim.start(); err != nil {
		return Result{}, err
	}
	firstFront := operator{sim.address(frontGroup, 0, callerPort)}
	if err := sim.submitFirstSheet(firstFront); err != nil {
		return Result{}, err
	}
	<-sim.clock.After(options.WarmUp)
	result := sim.measureUsage(heapBefore)
	if options.HeapProfile != "" {
		if err := writeHeapProfile(options.HeapProfile); err != nil {
			return result, err
		}
	}
	result.ReadyFronts = sim.readyFronts()
	sim.measureOrders(firstFront, &result)
	if options.RestartFronts {
		return result, sim.measureRestart(&result)
	}
	return result, nil
}

// usage is the cumulative resource use since the start.
type usage struct {
	frontCPU         float64 // seconds
	coreCPU          float64 // seconds
	bytes            int64
	healthCheckBytes int64
}

func (f *simFleet) usage() usage {
	return usage{
		frontCPU:         selfCPU(),
		coreCPU:          f.coreCPU(),
		bytes:            f.nodeTraffic.bytes.Load(),
		healthCheckBytes: f.healthCheckTraffic.bytes.Load(),
	}
}

// measureUsage measures the resources used during Options.Duration.
func (f *simFleet) measureUsage(heapBefore int64) Result {
	before := f.usage()
	start := f.clock.Now()
	<-f.clock.After(f.options.Duration)
	elapsed := f.clock.Now().Sub(start).Seconds()
	after := f.usage()
	fronts := float64(f.options.Fronts)
	return Result{
		Fronts:           f.options.Fronts,
		Tenants:          f.options.Tenants,
		Servers:          f.options.Servers,
		FrontCPUShare:    (after.frontCPU - before.frontCPU) / elapsed / fronts,
		CoreCPUShare:     (after.coreCPU - before.coreCPU) / elapsed / float64(f.options.Cores),
		FrontBytes:       float64(after.bytes-before.bytes) / elapsed / fronts,
		HealthCheckBytes: float64(after.healthCheckBytes-before.healthCheckBytes) / elapsed / fronts,
		FrontHeapKiB:     float64(heapBytes()-heapBefore) / kib / fronts,
		FrontGoroutines:  float64(runtime.NumGoroutine()) / fronts,
		CoreRSSMiB:       f.coreRSS(),
	}
}

func writeHeapProfile(path string) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := pprof.WriteHeapProfile(file); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

// simFleet is the running fleet of a measurement.
type simFleet struct {
	options       Options
	clock         clock.Clock
	loopbackOctet int // second octet of all addresses

	ctx        context.Context // done when the measurement ends
	stop       context.CancelFunc
	cores      []*coreProcess
	stopFronts context.CancelFunc
	frontEnded chan struct{} // receives a value when a front has ended

	nodeTraffic        traffic // between nodes
	healthCheckTraffic traffic // to the platform and the servers
}

// The second octet of a fleet's addresses is derived from the process ID of the rig.
const (
	firstLoopbackOctet = 10
	loopbackOctets     = 200
)

func newFleet(ctx context.Context, options Options) *simFleet {
	f := &simFleet{
		options:       options,
		clock:         clock.System(),
		loopbackOctet: firstLoopbackOctet + os.Getpid()%loopbackOctets,
		stopFronts:    func() {},
		frontEnded:    make(chan struct{}, options.Fronts),
	}
	f.ctx, f.stop = context.WithCancel(ctx)
	return f
}

// start starts the servers, the cores and the fronts.
func (f *simFleet) start() error {
	if f.options.Servers > 0 {
		if err := f.startServers(); err != nil {
			return err
		}
	}
	for i := range f.options.Cores {
		if err := f.startCore(i); err != nil {
			return err
		}
	}
	return f.startFronts(func(started int) {
		if started%startBatch == 0 {
			<-f.clock.After(startBatchInterval)
		}
	})
}

// startFronts starts all fronts and calls afterEach after each of them with the
// number of fronts started so far.
func (f *simFleet) startFronts(afterEach func(started int)) error {
	ctx, stopFronts := context.WithCancel(f.ctx)
	f.stopFronts = stopFronts
	for i := range f.options.Fronts {
		if err := f.startFront(ctx, i); err != nil {
			return err
		}
		afterEach(i + 1)
	}
	return nil
}

// awaitFrontExit waits until one more front has ended. It returns false if that takes
// longer than stopTimeout.
func (f *simFleet) awaitFrontExit() bool {
	select {
	case <-f.frontEnded:
		return true
	case <-f.clock.After(stopTimeout):
		return false
	}
}

func (f *simFleet) close() {
	f.stop()
	f.stopFronts()
	for range f.options.Fronts {
		f.awaitFrontExit()
	}
	for _, core := range f.cores {
		core.terminate()
	}
	for _, core := range f.cores {
		core.wait()
	}
}

// errFrontStillRunning is returned if a front did not stop within stopTimeout.
var errFrontStillRunning = errors.Errorf("a front did not stop within %s", stopTimeout)

// address returns the address of process i of a group with the given port.
func (f *simFleet) address(group, i, port int) string {
	return fmt.Sprintf("%s:%d", f.loopbackIP(group, i), port)
}

func (f *simFleet) loopbackIP(group, i int) string {
	const hostsPerGroup = 200
	return fmt.Sprintf("127.%d.%d.%d", f.loopbackOctet, group+i/hostsPerGroup, 1+i%hostsPerGroup)
}
