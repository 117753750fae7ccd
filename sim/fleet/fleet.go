// Package fleet simulates a fleet of complete nodes over an in-memory network and in
// virtual time. The nodes run the production code. Callers must be inside a synctest
// bubble. The checks use the public API only: the tenant key that a node accepts
// identifies the configuration that it applies.
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
	serverHost  = "127.0.3.1"
	clientHost  = "127.0.4.1"
)

// locationOf returns the region and zone of node i: three zones in two regions.
func locationOf(i int) (region, zone string) {
	return []string{"lagos", "lagos", "abeokuta"}[i%3], []string{"a", "b", "a"}[i%3]
}

// Config describes a fleet. The first Cores nodes are cores, of which Voters vote
// and the others are standbys. If Join is set, a core with a blank disk may replace
// a lost one. Seeds are the indices of the seed nodes of every node; if empty, the
// seeds of a node are the next three nodes.
type Config struct {
	Nodes, Cores, Voters int
	Join                 bool
	Seeds                []int
	// Log receives the events of each node; nil discards them.
	Log func(node int) events.Log
}

// smallConfig is a small deployment: three cores, all of which vote.
var smallConfig = Config{Nodes: 9, Cores: 3, Voters: 3}

// RelayingConfig is the smallest fleet with three cores in which fronts renew their
// leases through one core.
var RelayingConfig = Config{Nodes: 36, Cores: 3, Voters: 3}

// Fleet is a set of nodes with one emulated web server and an emulated platform API.
type Fleet struct {
	Net     *memnet.Network
	ctx     context.Context
	config  Config
	dataDir string
	nodes   []*nodeProcess
	client  *http.Client
}

type nodeProcess struct {
	index         int
	stop          context.CancelFunc
	exited        chan error
	startedBefore bool // has run before
	poweredOff    bool
}

func nodeHost(i int) string { return fmt.Sprintf("127.0.2.%d", i+1) }

// Start starts a fleet, which runs until the context ends. The cores store their data
// in subdirectories of dataDir.
func Start(ctx context.Context, config Config, dataDir string) (*Fleet, error) {
	f := &Fleet{Net: memnet.New(ctx), ctx: ctx, config: config, dataDir: dataDir}
	f.client = &http.Client{Transport: &http.Transport{DialContext: f.Net.Dialer(clientHost), DisableKeepAlives: true}}
	if err := f.startBackends(); err != nil {
		return nil, err
	}
	for i := range config.Nodes {
		f.nodes = append(f.nodes, &nodeProcess{index: i})
	}
	for i := range f.nodes {
		if err := f.StartNode(i); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *Fleet) startBackends() error {
	platform := map[string]any{"servers": []map[string]any{{"name": "web1", "address": serverHost + ":80", "kind": "web",
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
	listener, err := f.Net.Listen(serverHost + ":80")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: mux}
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

func (f *Fleet) settings(i int) ([]byte, string) {
	region, zone := locationOf(i)
	role := node.RoleFront
	s := map[string]string{"name": fmt.Sprintf("n%d", i), "region": region, "zone": zone,
		"listen.caller": nodeHost(i) + ":7000", "listen.internal": nodeHost(i) + ":7001", "seeds": strings.Join(f.seeds(i), ","),
		"platform.url": "http://" + serverHost + ":80/servers", "fleet.secret": "a secret of the simulated fleet",
		"operator.keys": "ada:" + sheet.HashKey(operatorKey), "drain.grace": "1s"}
	if i < f.config.Cores {
		role = node.RoleCore
		s["data"] = f.diskPath(i)
		s["core.voters"] = strconv.Itoa(f.config.Voters)
		s["core.join"] = strconv.FormatBool(f.config.Join)
		s["core.first"] = strconv.FormatBool(!f.nodes[i].startedBefore)
	}
	text, _ := yaml.Marshal(s)
	return text, role
}

func (f *Fleet) seeds(i int) []string {
	indices := f.config.Seeds
	if len(indices) == 0 {
		indices = []int{(i + 1) % len(f.nodes), (i + 2) % len(f.nodes), (i + 3) % len(f.nodes)}
	}
	addresses := make([]string, len(indices))
	for position, seed := range indices {
		addresses[position] = nodeHost(seed) + ":7001"
	}
	return addresses
}

func (f *Fleet) diskPath(i int) string { return filepath.Join(f.dataDir, fmt.Sprintf("n%d", i)) }

// StartNode starts node i, which must not be running.
func (f *Fleet) StartNode(i int) error {
	m := f.nodes[i]
	if m.poweredOff {
		f.setIsolated(i, false)
		m.poweredOff = false
	}
	text, role := f.settings(i)
	if role == node.RoleCore {
		if err := os.MkdirAll(f.diskPath(i), 0o700); err != nil {
			return err
		}
	}
	values, problems := settings.Read("simulated", text, nil, role)
	if len(problems) > 0 {
		return errors.New(problems[0].String())
	}
	ctx, stop := context.WithCancel(f.ctx)
	m.startedBefore, m.stop, m.exited = true, stop, make(chan error, 1)
	environment := node.Environment{Clock: clock.System(), Listen: f.Net.Listen, Dial: f.Net.Dialer(nodeHost(i))}
	go func() { m.exited <- node.RunIn(ctx, environment, role, values, f.log(i)) }()
	return nil
}

func (f *Fleet) log(i int) events.Log {
	if f.config.Log == nil {
		return events.Discard
	}
	return f.config.Log(i)
}

// Kill ends node i as SIGKILL does: its connections are reset at once and nothing
// that it sends afterwards is delivered.
func (f *Fleet) Kill(i int) {
	m := f.nodes[i]
	f.Net.ResetHost(nodeHost(i))
	f.setIsolated(i, true)
	m.stop()
	<-m.exited //nolint:errcheck // a killed process reports no error
	f.Net.ResetHost(nodeHost(i))
	f.setIsolated(i, false)
	m.stop = nil
}

// PowerOff ends nodes simultaneously, as a power failure does: connections are not
// reset, peers receive nothing more, and disks are kept. StartNode restarts them.
func (f *Fleet) PowerOff(indices ...int) {
	for _, i := range indices {
		f.setIsolated(i, true)
	}
	for _, i := range indices {
		f.nodes[i].stop()
	}
	for _, i := range indices {
		<-f.nodes[i].exited //nolint:errcheck // a process that lost power reports no error
		f.nodes[i].stop, f.nodes[i].poweredOff = nil, true
	}
}

// setIsolated partitions node i from all hosts, or heals the partition.
func (f *Fleet) setIsolated(i int, partitioned bool) {
	for j := range f.nodes {
		f.Net.SetPartitioned(nodeHost(i), nodeHost(j), partitioned)
	}
	f.Net.SetPartitioned(nodeHost(i), serverHost, partitioned)
	f.Net.SetPartitioned(nodeHost(i), clientHost, partitioned)
}

// Terminate starts a graceful shutdown of node i, as SIGTERM does. The node runs
// until Exited returns true.
func (f *Fleet) Terminate(i int) { f.nodes[i].stop() }

// Exited reports whether node i has exited, and the error that it exited with.
func (f *Fleet) Exited(i int) (bool, error) {
	m := f.nodes[i]
	select {
	case err := <-m.exited:
		f.Net.ResetHost(nodeHost(i))
		m.stop = nil
		return true, err
	default:
		return false, nil
	}
}

// Running reports whether node i is running.
func (f *Fleet) Running(i int) bool { return f.nodes[i].stop != nil }

// WipeDisk erases the disk of core i, which must not be running.
func (f *Fleet) WipeDisk(i int) error { return os.RemoveAll(f.diskPath(i)) }

// SetPartitioned partitions the nodes of one side from all others, or heals the
// partition. Callers and operators can reach both sides.
func (f *Fleet) SetPartitioned(side map[int]bool, partitioned bool) {
	for i := range f.nodes {
		for j := range i {
			if side[i] != side[j] {
				f.Net.SetPartitioned(nodeHost(i), nodeHost(j), partitioned)
			}
		}
	}
}

// Close kills every running node and closes the network.
func (f *Fleet) Close() {
	for i, m := range f.nodes {
		if m.stop != nil {
			f.Kill(i)
		}
	}
	f.Net.Close()
}

// Response is the response to a caller or an operator. Status is the HTTP status, or
// 0 if there was no valid response.
type Response struct {
	Status       int
	Code         apierror.Code `json:"code"`
	Version      uint64        `json:"epoch"`
	SheetVersion uint64        `json:"sheet_epoch"`
	InForce      bool          `json:"in_force"`
	Sheet        *sheet.Sheet  `json:"sheet"`
}

func (f *Fleet) call(i int, method, path, key string, body any, timeout time.Duration) (response Response) {
	var data io.Reader
	if body != nil {
		text, _ := json.Marshal(body)
		data = bytes.NewReader(text)
	}
	ctx, cancel := context.WithTimeout(f.ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+nodeHost(i)+":7000"+path, data)
	if err != nil {
		return response
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := f.client.Do(req)
	if err != nil {
		return response
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&response) == nil {
		response.Status = resp.StatusCode
	}
	return response
}

// tenantKey returns the tenant's API key in the sheet that order k submits.
func tenantKey(k int) string { return fmt.Sprintf("key %d", k) }

// Call sends a one-shot request with key k to node i.
func (f *Fleet) Call(i, k int) Response {
	return f.call(i, http.MethodGet, "/v1/call/outage/map", tenantKey(k), nil, time.Second)
}

// SubmitFirstSheet submits the first sheet, with key 0, through node i.
func (f *Fleet) SubmitFirstSheet(i int) Response {
	return f.call(i, http.MethodPut, "/v1/control/sheet", operatorKey, map[string]any{"order_id": "first", "base": 0, "sheet": firstSheet()}, 10*time.Second)
}

func firstSheet() *sheet.Sheet {
	return &sheet.Sheet{Services: map[string]sheet.Service{"outage": {Kind: "web"}},
		Weights: map[string]map[string]float64{"outage": {"lagos": 1}},
		Tenants: map[string]sheet.Tenant{"civic": {Rate: 1e6, Burst: 1e6, KeyHashes: []string{sheet.HashKey(tenantKey(0))}}}}
}

// ReplaceKey submits an order through node i that replaces the tenant's key by key k.
// base is the sheet version that the order changes.
func (f *Fleet) ReplaceKey(i, k int, base uint64) Response {
	return f.call(i, http.MethodPatch, "/v1/control/sheet", operatorKey, map[string]any{"order_id": fmt.Sprintf("order %d", k), "base": base,
		"changes": []map[string]any{{"path": "tenants.civic.keys", "value": []string{sheet.HashKey(tenantKey(k))}}}}, 10*time.Second)
}

// ReadSheet reads the current sheet through node i.
func (f *Fleet) ReadSheet(i int) Response {
	return f.call(i, http.MethodGet, "/v1/control/sheet", operatorKey, nil, 5*time.Second)
}

// HasKey reports whether the sheet of a response has key k as its only key.
func (a Response) HasKey(k int) bool {
	return a.Sheet != nil && len(a.Sheet.Tenants["civic"].KeyHashes) == 1 && a.Sheet.Tenants["civic"].KeyHashes[0] == sheet.HashKey(tenantKey(k))
}

// NewRandom returns a deterministic random source for a seed.
func NewRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x5749434b)) }

// describeFormation describes the progress of the formation: the standing and the
// formation of each core, or the error that it exited with.
func (f *Fleet) describeFormation() string {
	var cores []string
	for i := range f.config.Cores {
		ended, err := f.Exited(i)
		if ended {
			cores = append(cores, fmt.Sprintf("n%d exited with error %v", i, err))
			continue
		}
		status := f.queryStatus(i)
		cores = append(cores, fmt.Sprintf("n%d has standing %q in formation %q", i, status.Standing, status.Formation))
	}
	return strings.Join(cores, ", ")
}

// coreStanding requests the standing of core i; it is empty if the core doesn't answer.
func (f *Fleet) coreStanding(i int) string { return f.queryStatus(i).Standing }

// coreStatus is the part of a core's status response that the simulation uses.
type coreStatus struct {
	Standing  string `json:"standing"`
	Formation string `json:"formation"`
}

// queryStatus requests the status of core i; it is empty if the core doesn't answer.
func (f *Fleet) queryStatus(i int) coreStatus {
	ctx, cancel := context.WithTimeout(f.ctx, 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+nodeHost(i)+":7000/v1/control/status", nil)
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
