// Package fleet runs complete nodes, as the program runs them, over an in-memory
// network and in virtual time. It must be used inside a synctest bubble. The checks
// use the public API only: the key that a node accepts identifies the configuration
// that it applies.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/events"
	"stepwick/internal/node"
	"stepwick/internal/settings"
	"stepwick/sim/memnet"
)

const (
	operatorKey = "the operator's key"
	servers     = "127.0.3.1"
	outside     = "127.0.4.1"
)

// place returns the region and zone of node i: three zones in two regions.
func place(i int) (region, zone string) {
	return []string{"lagos", "lagos", "abeokuta"}[i%3], []string{"a", "b", "a"}[i%3]
}

// Config is the size of a fleet. The first Cores nodes are cores, of which
// Voters vote; where there are more, the rest stand by. Where Join is set, a core
// with a blank disk may take the place of one that is gone. Seeds are the nodes
// that every node knows at its start; without any, each knows the three that
// follow it.
type Config struct {
	Nodes, Cores, Voters int
	Join                 bool
	Seeds                []int
	// Log receives the events of each node; nil discards them.
	Log func(node int) events.Log
}

// small is the fleet of the first deployment: three cores, all of which vote.
var small = Config{Nodes: 9, Cores: 3, Voters: 3}

// Relayed is the least fleet with three cores whose fronts renew their leases
// through one core.
var Relayed = Config{Nodes: 36, Cores: 3, Voters: 3}

// Fleet is a number of nodes with one web server and a platform beside them.
type Fleet struct {
	Net    *memnet.Network
	ctx    context.Context
	config Config
	folder string
	nodes  []*member
	client *http.Client
}

type member struct {
	index      int
	stop       context.CancelFunc
	ended      chan error
	started    bool // has been up before
	poweredOff bool
}

func host(i int) string { return fmt.Sprintf("127.0.2.%d", i+1) }

// Start starts a fleet; its cores' disks lie in folder. It ends with the context.
func Start(ctx context.Context, config Config, folder string) (*Fleet, error) {
	f := &Fleet{Net: memnet.New(ctx), ctx: ctx, config: config, folder: folder}
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.Net.Dialer(outside), DisableKeepAlives: true}}
	if err := f.standIns(); err != nil {
		return nil, err
	}
	for i := range config.Nodes {
		f.nodes = append(f.nodes, &member{index: i})
	}
	for i := range f.nodes {
		if err := f.Up(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) standIns() error {
	platform := map[string]any{"servers": []map[string]any{{"name": "web1", "address": servers + ":80", "kind": "web",
		"services": []string{"outage"}, "region": "lagos", "zone": "a", "state": "ready"}}}
	mux := http.NewServeMux()
	mux.HandleFunc("/servers", func(w http.ResponseWriter, _ *http.Request) { apierror.WriteJSON(w, http.StatusOK, platform) })
	mux.HandleFunc("/v1/status", func(w http.ResponseWriter, _ *http.Request) {
		apierror.WriteJSON(w, http.StatusOK, map[string]any{"server": "web1", "incarnation": 1, "state": "ready", "slots": 64, "answered": 1000})
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Stepwick-Request-Id", r.Header.Get("Stepwick-Request-Id"))
		apierror.WriteJSON(w, http.StatusOK, map[string]any{"ran": r.Header.Get("Stepwick-Request-Id")})
	})
	listener, err := f.Net.Listen(servers + ":80")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux}
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (f *Fleet) settings(i int) ([]byte, string) {
	region, zone := place(i)
	role := node.RoleFront
	s := map[string]string{"name": fmt.Sprintf("n%d", i), "region": region, "zone": zone,
		"listen.caller": host(i) + ":7000", "listen.internal": host(i) + ":7001", "seeds": strings.Join(f.seeds(i), ","),
		"platform.url": "http://" + servers + ":80/servers", "fleet.secret": "a secret of the simulated fleet",
		"operator.keys": "ada:" + sheet.HashKey(operatorKey), "drain.grace": "1s"}
	if i < f.config.Cores {
		role = node.RoleCore
		s["data"] = f.disk(i)
		s["core.voters"] = strconv.Itoa(f.config.Voters)
		s["core.join"] = strconv.FormatBool(f.config.Join)
		s["core.first"] = strconv.FormatBool(!f.nodes[i].started)
	}
	text, _ := yaml.Marshal(s)
	return text, role
}

func (f *Fleet) seeds(i int) []string {
	known := f.config.Seeds
	if len(known) == 0 {
		known = []int{(i + 1) % len(f.nodes), (i + 2) % len(f.nodes), (i + 3) % len(f.nodes)}
	}
	addresses := make([]string, len(known))
	for at, seed := range known {
		addresses[at] = host(seed) + ":7001"
	}
	return addresses
}

func (f *Fleet) disk(i int) string { return filepath.Join(f.folder, fmt.Sprintf("n%d", i)) }

// Up starts node i, which must be down.
func (f *Fleet) Up(i int) error {
	m := f.nodes[i]
	if m.poweredOff {
		f.isolate(i, false)
		m.poweredOff = false
	}
	text, role := f.settings(i)
	if role == node.RoleCore {
		if err := os.MkdirAll(f.disk(i), 0o700); err != nil {
			return err
		}
	}
	values, problems := settings.Read("simulated", text, nil, role)
	if len(problems) > 0 {
		return errors.New(problems[0].String())
	}
	ctx, stop := context.WithCancel(f.ctx)
	m.started, m.stop, m.ended = true, stop, make(chan error, 1)
	world := node.Environment{Clock: clock.System(), Listen: f.Net.Listen, Dial: f.Net.Dialer(host(i))}
	go func() { m.ended <- node.RunIn(ctx, world, role, values, f.log(i)) }()
	return nil
}

func (f *Fleet) log(i int) events.Log {
	if f.config.Log == nil {
		return events.Discard
	}
	return f.config.Log(i)
}

// Kill ends node i as a killed process does: its connections are reset at once and
// nothing that it sends afterwards arrives.
func (f *Fleet) Kill(i int) {
	m := f.nodes[i]
	f.Net.Down(host(i))
	f.isolate(i, true)
	m.stop()
	<-m.ended //nolint:errcheck // a killed process has nobody to report its error to
	f.Net.Down(host(i))
	f.isolate(i, false)
	m.stop = nil
}

// PowerOff ends nodes at one moment as a loss of power does: their peers receive
// nothing more, and their disks are kept. Up restarts them.
func (f *Fleet) PowerOff(lost ...int) {
	for _, i := range lost {
		f.isolate(i, true)
	}
	for _, i := range lost {
		f.nodes[i].stop()
	}
	for _, i := range lost {
		<-f.nodes[i].ended //nolint:errcheck // a process without power has nobody to report its error to
		f.nodes[i].stop, f.nodes[i].poweredOff = nil, true
	}
}

// isolate partitions a node from everything, or heals the partition.
func (f *Fleet) isolate(i int, partitioned bool) {
	for j := range f.nodes {
		f.Net.Cut(host(i), host(j), partitioned)
	}
	f.Net.Cut(host(i), servers, partitioned)
	f.Net.Cut(host(i), outside, partitioned)
}

// Terminate starts a graceful shutdown of node i, as SIGTERM does; it runs until Ended.
func (f *Fleet) Terminate(i int) { f.nodes[i].stop() }

// Ended reports whether the graceful shutdown of node i has ended, and its error.
func (f *Fleet) Ended(i int) (bool, error) {
	m := f.nodes[i]
	select {
	case err := <-m.ended:
		f.Net.Down(host(i))
		m.stop = nil
		return true, err
	default:
		return false, nil
	}
}

// Running reports whether node i is up.
func (f *Fleet) Running(i int) bool { return f.nodes[i].stop != nil }

// Wipe empties the disk of core i, which must be down.
func (f *Fleet) Wipe(i int) error { return os.RemoveAll(f.disk(i)) }

// Split partitions the nodes of one side from all others, or heals the partition.
// Callers and operators reach both sides.
func (f *Fleet) Split(side map[int]bool, partitioned bool) {
	for i := range f.nodes {
		for j := range i {
			if side[i] != side[j] {
				f.Net.Cut(host(i), host(j), partitioned)
			}
		}
	}
}

// Close ends every node and the network.
func (f *Fleet) Close() {
	for i, m := range f.nodes {
		if m.stop != nil {
			f.Kill(i)
		}
	}
	f.Net.Close()
}

// Answer is the response to a caller or an operator. Status 0 means none.
type Answer struct {
	Status       int
	Code         apierror.Code `json:"code"`
	Version      uint64        `json:"epoch"`
	SheetVersion uint64        `json:"sheet_epoch"`
	InForce      bool          `json:"in_force"`
	Sheet        *sheet.Sheet  `json:"sheet"`
}

func (f *Fleet) call(i int, method, path, key string, body any, wait time.Duration) (answer Answer) {
	var data io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		data = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(f.ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+host(i)+":7000"+path, data)
	if err != nil {
		return answer
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := f.client.Do(req)
	if err != nil {
		return answer
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&answer) == nil {
		answer.Status = resp.StatusCode
	}
	return answer
}

// key returns the tenant's key in the sheets from order k on, until the next.
func key(k int) string { return fmt.Sprintf("key %d", k) }

// Ask sends a one-shot with key k to node i.
func (f *Fleet) Ask(i, k int) Answer {
	return f.call(i, http.MethodGet, "/v1/call/outage/map", key(k), nil, time.Second)
}

// First puts the first sheet, with key 0, in force.
func (f *Fleet) First(i int) Answer {
	return f.call(i, http.MethodPut, "/v1/control/sheet", operatorKey, map[string]any{"order_id": "first", "base": 0, "sheet": sheetOf()}, 10*time.Second)
}

func sheetOf() *sheet.Sheet {
	return &sheet.Sheet{Services: map[string]sheet.Service{"outage": {Kind: "web"}},
		Weights: map[string]map[string]float64{"outage": {"lagos": 1}},
		Tenants: map[string]sheet.Tenant{"civic": {Rate: 1e6, Burst: 1e6, KeyHashes: []string{sheet.HashKey(key(0))}}}}
}

// Change puts key k in the place of the one before, on a base, through node i.
func (f *Fleet) Change(i, k int, base uint64) Answer {
	return f.call(i, http.MethodPatch, "/v1/control/sheet", operatorKey, map[string]any{"order_id": fmt.Sprintf("order %d", k), "base": base,
		"changes": []map[string]any{{"path": "tenants.civic.keys", "value": []string{sheet.HashKey(key(k))}}}}, 10*time.Second)
}

// Read reads the sheet back through node i.
func (f *Fleet) Read(i int) Answer {
	return f.call(i, http.MethodGet, "/v1/control/sheet", operatorKey, nil, 5*time.Second)
}

// Holds reports whether a sheet that was read back has key k.
func (a Answer) Holds(k int) bool {
	return a.Sheet != nil && len(a.Sheet.Tenants["civic"].KeyHashes) == 1 && a.Sheet.Tenants["civic"].KeyHashes[0] == sheet.HashKey(key(k))
}

// Draw returns a random source that a seed reproduces.
func Draw(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x5749434b)) }

// formation describes how far the cores have formed: of each its standing and its
// formation, or the error that it ended with.
func (f *Fleet) formation() string {
	var cores []string
	for i := range f.config.Cores {
		ended, err := f.Ended(i)
		if ended {
			cores = append(cores, fmt.Sprintf("n%d ended with %v", i, err))
			continue
		}
		status := f.status(i)
		cores = append(cores, fmt.Sprintf("n%d is %q in %q", i, status.Standing, status.Formation))
	}
	return strings.Join(cores, ", ")
}

// standing asks core i for its standing.
func (f *Fleet) standing(i int) string { return f.status(i).Standing }

// coreStatus is what a core says of itself.
type coreStatus struct {
	Standing  string `json:"standing"`
	Formation string `json:"formation"`
}

// status asks core i for its status, which is empty where it doesn't answer.
func (f *Fleet) status(i int) coreStatus {
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host(i)+":7000/v1/control/status", nil)
	if err != nil {
		return coreStatus{}
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := f.client.Do(req)
	if err != nil {
		return coreStatus{}
	}
	defer resp.Body.Close()
	var status struct {
		Node coreStatus `json:"node"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&status)
	return status.Node
}
