// Package simnode measures what control costs a node and a core as the fleet
// grows: cores run as processes of their own, the fronts are whole nodes
// without traffic that share the rig's process.
package simnode

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/procfs"
	"go.yaml.in/yaml/v3"

	"stepwick/cmd/rig/fleet"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/node"
	"stepwick/internal/settings"
)

const (
	secret  = "a secret of the hollow fleet"
	zones   = 65
	regions = 22
)

// Options of one measurement. Warm and Span are seconds before and of it.
type Options struct {
	Binary   string
	Dir      string
	Fronts   int
	Cores    int
	Tenants  int // in the sheet
	Servers  int // that the platform lists
	Warm     time.Duration
	Span     time.Duration
	Orders   int  // changes put in force one after another after the span
	Herd     bool // last, all fronts are stopped and started anew at once
	Settings map[string]string
	Profile  string // file for a heap profile of the fronts, or empty
}

// Result is what one measurement gave. Shares of a core are processor seconds
// a second; bytes count both directions of TCP payload.
type Result struct {
	Fronts          int     `json:"fronts"`
	Tenants         int     `json:"tenants"`
	Servers         int     `json:"servers"`
	Ruling          int     `json:"ruling"`
	FrontCore       float64 `json:"front_core_share"`
	FrontBytes      float64 `json:"front_bytes_per_s"`
	WatchBytes      float64 `json:"front_watch_bytes_per_s"`
	FrontHeapKiB    float64 `json:"front_heap_kib"`
	FrontGoroutines float64 `json:"front_goroutines"`
	CoreCore        float64 `json:"core_core_share"`
	CoreRSSMiB      float64 `json:"core_rss_mib"`
	InForceP50MS    float64 `json:"in_force_p50_ms"`
	InForceMaxMS    float64 `json:"in_force_max_ms"`
	Unmet           int     `json:"orders_not_in_force"`
	Why             string  `json:"last_not_in_force,omitempty"`
	HerdMS          float64 `json:"herd_ms,omitempty"`              // from the start until every front rules
	HerdCorePeak    float64 `json:"herd_core_peak_share,omitempty"` // of the busiest half second, mean of the cores
	HerdCoreSeconds float64 `json:"herd_core_seconds,omitempty"`    // processor seconds a core
}

type counters struct{ bytes atomic.Int64 }

type countedConn struct {
	net.Conn
	*counters
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	*counters
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{c, l.counters}, nil
}

type run struct {
	options  Options
	base     int
	procs    []*exec.Cmd
	count    counters // of the fleet's own messages
	watching counters // of the platform's list and the servers' status
	ended    chan error
	stop     context.CancelFunc
	lose     context.CancelFunc // ends the fronts alone
}

func (r *run) address(group, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.base, group+i/200, 1+i%200, port)
}

// zones and regions keep the letter's ratio of nodes to places: 410 nodes in 65
// zones of 22 regions.
func (r *run) zones() int   { return max(3, r.options.Fronts*zones/410) }
func (r *run) regions() int { return max(2, r.options.Fronts*regions/410) }

func (r *run) settingsOf(i int, core bool) map[string]string {
	group, name := 100, fmt.Sprintf("front%03d", i)
	if core {
		group, name = 90, fmt.Sprintf("core%d", i)
	}
	var seeds []string
	for c := range min(3, r.options.Cores) {
		seeds = append(seeds, r.address(90, c, 7001))
	}
	s := map[string]string{"name": name, "region": fmt.Sprintf("r%02d", i%r.zones()%r.regions()), "zone": fmt.Sprintf("z%02d", i%r.zones()),
		"listen.caller": r.address(group, i, 7000), "listen.internal": r.address(group, i, 7001), "bind": strings.Split(r.address(group, i, 0), ":")[0],
		"seeds": strings.Join(seeds, ","), "core.voters": fmt.Sprint(r.options.Cores), "fleet.secret": secret,
		"operator.keys": "ada:" + fleet.Hash("ada's key"), "log.level": "warn"}
	if core {
		s["data"] = filepath.Join(r.options.Dir, name)
	}
	if r.options.Servers > 0 {
		s["platform.url"] = "http://" + r.platform() + "/servers"
	}
	for name, value := range r.options.Settings {
		s[name] = value
	}
	return s
}

// Measure starts the cores and the fronts, waits, and measures. It ends what
// it started.
func Measure(ctx context.Context, options Options) (result Result, err error) {
	r := &run{options: options, base: 10 + os.Getpid()%200, ended: make(chan error, options.Fronts)}
	ctx, r.stop = context.WithCancel(ctx)
	defer r.close()
	clock := clock.System()
	before := heap()
	if options.Servers > 0 {
		if err := r.startServers(ctx); err != nil {
			return result, err
		}
	}
	for i := range options.Cores {
		if err := r.startCore(i); err != nil {
			return result, err
		}
	}
	started := 0
	fronts, lose := context.WithCancel(ctx)
	r.lose = lose
	for i := range options.Fronts {
		if err := r.startFront(fronts, i); err != nil {
			return result, err
		}
		started++
		if i%20 == 19 {
			<-clock.After(200 * time.Millisecond)
		}
	}
	caller := operator{r.address(100, 0, 7000)}
	if err := r.firstSheet(ctx, clock, caller); err != nil {
		return result, err
	}
	<-clock.After(options.Warm)
	result = Result{Fronts: options.Fronts, Tenants: options.Tenants, Servers: options.Servers}
	cpu, coreCPU, bytes, watching, at := ownCPU(), r.coreCPU(), r.count.bytes.Load(), r.watching.bytes.Load(), clock.Now()
	<-clock.After(options.Span)
	span := clock.Now().Sub(at).Seconds()
	n := float64(options.Fronts)
	result.FrontCore = (ownCPU() - cpu) / span / n
	result.CoreCore = (r.coreCPU() - coreCPU) / span / float64(options.Cores)
	result.FrontBytes = float64(r.count.bytes.Load()-bytes) / span / n
	result.WatchBytes = float64(r.watching.bytes.Load()-watching) / span / n
	result.FrontHeapKiB = float64(heap()-before) / 1024 / n
	result.FrontGoroutines = float64(runtime.NumGoroutine()) / n
	result.CoreRSSMiB = r.coreRSS()
	if options.Profile != "" {
		if err := r.profile(); err != nil {
			return result, err
		}
	}
	result.Ruling = r.ruling(ctx)
	r.orders(ctx, clock, caller, &result)
	if options.Herd {
		return result, r.herd(ctx, clock, &result)
	}
	return result, nil
}

func (r *run) startCore(i int) error {
	text, err := yaml.Marshal(r.settingsOf(i, true))
	if err != nil {
		return err
	}
	file := filepath.Join(r.options.Dir, fmt.Sprintf("core%d.yaml", i))
	if err := os.MkdirAll(filepath.Join(r.options.Dir, fmt.Sprintf("core%d", i)), 0o700); err != nil {
		return err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(r.options.Binary, "core", "--config", file)
	log, err := os.Create(filepath.Join(r.options.Dir, fmt.Sprintf("core%d.log", i)))
	if err != nil {
		return err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start a core")
	}
	r.procs = append(r.procs, cmd)
	return nil
}

func (r *run) startFront(ctx context.Context, i int) error {
	text, err := yaml.Marshal(r.settingsOf(i, false))
	if err != nil {
		return err
	}
	values, problems := settings.Read("hollow", text, nil, node.RoleFront)
	if len(problems) > 0 {
		return errors.New(problems[0].String())
	}
	dialer := &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(values.String("bind"))}}
	world := node.Environment{Clock: clock.System(),
		Listen: func(address string) (net.Listener, error) {
			l, err := net.Listen("tcp", address)
			return countedListener{l, &r.count}, err
		},
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if strings.HasSuffix(address, ":8000") {
				return countedConn{c, &r.watching}, nil
			}
			return countedConn{c, &r.count}, nil
		}}
	go func() { r.ended <- node.RunIn(ctx, world, node.RoleFront, values, events.Discard) }()
	return nil
}

func (r *run) close() {
	r.stop()
	for range r.options.Fronts {
		select {
		case <-r.ended:
		case <-clock.System().After(15 * time.Second):
		}
	}
	for _, p := range r.procs {
		_ = p.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range r.procs {
		_ = p.Wait()
	}
}

func (r *run) profile() error {
	file, err := os.Create(r.options.Profile)
	if err != nil {
		return err
	}
	defer file.Close()
	return pprof.WriteHeapProfile(file)
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

func ownCPU() float64 {
	p, err := procfs.Self()
	if err != nil {
		return 0
	}
	return cpuOf(p)
}

func cpuOf(p procfs.Proc) float64 {
	stat, err := p.Stat()
	if err != nil {
		return 0
	}
	return stat.CPUTime()
}

func (r *run) coreCPU() float64 {
	sum := 0.0
	for _, cmd := range r.procs {
		if p, err := procfs.NewProc(cmd.Process.Pid); err == nil {
			sum += cpuOf(p)
		}
	}
	return sum
}

func (r *run) coreRSS() float64 {
	sum := 0
	for _, cmd := range r.procs {
		if p, err := procfs.NewProc(cmd.Process.Pid); err == nil {
			if stat, err := p.Stat(); err == nil {
				sum += stat.ResidentMemory()
			}
		}
	}
	return float64(sum) / (1 << 20) / float64(len(r.procs))
}
