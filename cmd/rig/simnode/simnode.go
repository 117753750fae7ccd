// Package simnode measures what control costs a node and a core as the fleet
// grows. Cores run as processes of their own; fronts are complete nodes without
// traffic that share the rig's process, so that hundreds fit on one machine.
// Their use of processor, memory and network is therefore measured as a sum and
// given as a mean.
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

	stopTimeout        = 15 * time.Second // of a front
	startBatch         = 20               // fronts that start at once
	startBatchInterval = 200 * time.Millisecond
)

// Options of one measurement.
type Options struct {
	Binary        string
	Dir           string // of the cores' settings, data and logs
	Fronts        int
	Cores         int
	Tenants       int           // in the sheet
	Servers       int           // that the platform lists
	WarmUp        time.Duration // before the measurement
	Duration      time.Duration
	Orders        int               // changes put in force one after another after the measurement
	RestartFronts bool              // at the end, stop all fronts and start them at once
	Settings      map[string]string // of every process
	HeapProfile   string            // file for a heap profile of the fronts; empty for none
}

// Result is the result of one measurement. CPU shares are processor seconds a
// second; bytes count both directions of TCP payload.
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
	RestartMS           float64 `json:"herd_ms,omitempty"`              // from the start until every front is ready
	RestartPeakCPUShare float64 `json:"herd_core_peak_share,omitempty"` // of the busiest half second, mean of the cores
	RestartCPUSeconds   float64 `json:"herd_core_seconds,omitempty"`    // for each core
}

// Measure starts the cores and the fronts, waits, and measures. It ends what it
// started.
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

// usage is the resources used so far.
type usage struct {
	frontCPU         float64 // seconds
	coreCPU          float64 // seconds
	bytes            int64
	healthCheckBytes int64
}

func (f *simFleet) usage() usage {
	return usage{
		frontCPU:         ownCPU(),
		coreCPU:          f.coreCPU(),
		bytes:            f.nodeTraffic.bytes.Load(),
		healthCheckBytes: f.healthCheckTraffic.bytes.Load(),
	}
}

// measureUsage measures the resources used in the duration of the measurement.
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
	options Options
	clock   clock.Clock
	base    int // second number of all addresses

	ctx        context.Context // ends with the measurement
	stop       context.CancelFunc
	cores      []*coreProcess
	stopFronts context.CancelFunc
	ended      chan struct{} // gets a value when a front has ended

	nodeTraffic        traffic // between nodes
	healthCheckTraffic traffic // to the platform and the servers
}

// Second numbers of addresses: a fleet takes one that depends on its process ID.
const (
	firstLoopback  = 10
	loopbackRanges = 200
)

func newFleet(ctx context.Context, options Options) *simFleet {
	f := &simFleet{
		options:    options,
		clock:      clock.System(),
		base:       firstLoopback + os.Getpid()%loopbackRanges,
		stopFronts: func() {},
		ended:      make(chan struct{}, options.Fronts),
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

// startFronts starts all fronts and calls a function after each.
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

// awaitFrontEnd waits until one more front has ended; false after a time-out.
func (f *simFleet) awaitFrontEnd() bool {
	select {
	case <-f.ended:
		return true
	case <-f.clock.After(stopTimeout):
		return false
	}
}

func (f *simFleet) close() {
	f.stop()
	f.stopFronts()
	for range f.options.Fronts {
		f.awaitFrontEnd()
	}
	for _, core := range f.cores {
		core.terminate()
	}
	for _, core := range f.cores {
		core.wait()
	}
}

// errFrontRuns is returned when a front did not stop in time.
var errFrontRuns = errors.New("a front did not stop")

// address returns the i-th address of a group.
func (f *simFleet) address(group, i, port int) string {
	return fmt.Sprintf("%s:%d", f.ip(group, i), port)
}

func (f *simFleet) ip(group, i int) string {
	const hostsPerGroup = 200
	return fmt.Sprintf("127.%d.%d.%d", f.base, group+i/hostsPerGroup, 1+i%hostsPerGroup)
}
