package simnode

import (
	"fmt"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"stepwick/internal/clock"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/route"
	"stepwick/internal/decision/serverstatus"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

const (
	timedCalls = 10 // calls per mean

	listReports        = 3 // reports of a server from the fronts that poll the platform's list
	healthCheckReports = 2 // reports of a server from the fronts that check its health

	planTenants = 5
	planPeriod  = 5 * time.Second

	mergedReporter = "core1/fold"
)

// StateCost is the cost of state of one size: heap in KiB, messages in bytes and the
// mean time of one call in milliseconds.
type StateCost struct {
	Servers int `json:"servers,omitempty"`
	Tenants int `json:"tenants,omitempty"`

	FrontReportsHeapKiB float64 `json:"front_folds_heap_kib,omitempty"`
	CoreReportsHeapKiB  float64 `json:"core_sights_heap_kib,omitempty"`
	RouteTableHeapKiB   float64 `json:"front_routes_heap_kib,omitempty"`
	SnapshotBytes       int     `json:"snapshot_servers_bytes,omitempty"`
	PlanBytes           int     `json:"plan_bytes,omitempty"`
	PlanMS              float64 `json:"plan_compute_ms,omitempty"`
	ReplanCauseMS       float64 `json:"plan_forced_ms,omitempty"`
	RouteUpdateMS       float64 `json:"routes_update_one_ms,omitempty"` // after a change to one server
	LoadChangeBytes     int     `json:"load_change_bytes,omitempty"`

	StateHeapKiB float64 `json:"state_heap_kib,omitempty"`
	IndexHeapKiB float64 `json:"index_heap_kib,omitempty"`
	StateBytes   int     `json:"state_bytes,omitempty"`
	StepMS       float64 `json:"patch_apply_ms,omitempty"`
	EncodeMS     float64 `json:"state_encode_ms,omitempty"`
	DecodeMS     float64 `json:"state_decode_ms,omitempty"`
}

// measureHeapKiB returns the heap in KiB that the result of build retains.
func measureHeapKiB(build func() any) float64 {
	heapBytes()
	before := heapBytes()
	built := build()
	heapBytes()
	after := heapBytes()
	runtime.KeepAlive(built)
	return float64(after-before) / kib
}

// measureMilliseconds returns the mean time of a call in milliseconds.
func measureMilliseconds(call func()) float64 {
	systemClock := clock.System()
	start := systemClock.Now()
	for range timedCalls {
		call()
	}
	return systemClock.Now().Sub(start).Seconds() * 1000 / timedCalls
}

func serverStatus(i int) *wire.ServerStatus {
	return &wire.ServerStatus{
		Name:             serverName(i),
		Address:          fmt.Sprintf("10.%d.%d.%d:8000", i/40000, i/200%200, i%200),
		Kind:             "model",
		Services:         []string{modelName(i % modelServices)},
		Region:           fmt.Sprintf("r%02d", i%siteZones%siteRegions),
		Zone:             fmt.Sprintf("z%02d", i%siteZones),
		State:            wire.ServerState_SERVER_STATE_READY,
		Incarnation:      1,
		Slots:            16,
		Running:          uint32(i % 13),
		TokensPerSecond:  2000,
		PrefillPerSecond: 24000,
		KvUsed:           0.5,
		Reachable:        true,
		Answered:         1000,
	}
}

func serverReport(i int, reporter string) *wire.Report {
	return &wire.Report{
		Watcher:     reporter,
		Server:      serverName(i),
		Incarnation: 1,
		Counter:     uint64(i + 1),
		AtMs:        1000,
		Status:      serverStatus(i),
	}
}

// MeasureServerState measures the state whose size depends on the number of servers.
func MeasureServerState(servers int) StateCost {
	now := time.UnixMilli(2000)
	cost := StateCost{Servers: servers}
	merged := serverstatus.NewReportStore(serverstatus.Config{})
	cost.FrontReportsHeapKiB = measureHeapKiB(func() any {
		for i := range servers {
			merged.Add(serverReport(i, mergedReporter), now)
		}
		merged.Servers()
		return merged
	})
	cost.CoreReportsHeapKiB = measureHeapKiB(func() any { return coreReports(servers, now) })
	cost.SnapshotBytes = proto.Size(&wire.FollowResponse{Snapshot: &wire.Snapshot{Reports: merged.Reports()}})
	cost.LoadChangeBytes = proto.Size(loadChange())
	input := plan.Input{
		State:   statemachine.State{Version: 1, SheetVersion: 1, Sheet: newSheet(planTenants)},
		Servers: merged.Servers(),
		Term:    1,
		Number:  1,
		Now:     now,
		Period:  planPeriod,
	}
	current := cost.measurePlan(input)
	cost.measureRoutes(input.State, current, merged, now)
	return cost
}

// coreReports returns the reports that a core keeps: several for each server, each
// from another front.
func coreReports(servers int, now time.Time) *serverstatus.ReportStore {
	reports := serverstatus.NewReportStore(serverstatus.Config{})
	for i := range servers {
		for front := range listReports {
			reports.Add(serverReport(i, fmt.Sprintf("front%d/list", front)), now)
		}
		for front := range healthCheckReports {
			reports.Add(serverReport(i, fmt.Sprintf("front%d/own", front)), now)
		}
	}
	reports.Servers()
	return reports
}

// loadChange returns the message for a change of one server's load.
func loadChange() *wire.FollowResponse {
	load := &wire.Load{
		Server:      "server00001",
		Incarnation: 1,
		Running:     7,
		Queued:      2,
		Answered:    123456,
		KvUsed:      0.5,
		AtMs:        1796187138310,
	}
	change := &wire.Change{Place: 1 << 20, What: &wire.Change_Load{Load: load}}
	return &wire.FollowResponse{Changes: []*wire.Change{change}}
}

func (c *StateCost) measurePlan(input plan.Input) *wire.Plan {
	current := plan.Compute(input)
	c.PlanMS = measureMilliseconds(func() { current = plan.Compute(input) })
	c.PlanBytes = proto.Size(current)
	c.ReplanCauseMS = measureMilliseconds(func() { plan.ReplanCause(current, input) })
	return current
}

func (c *StateCost) measureRoutes(state statemachine.State, current *wire.Plan, reports *serverstatus.ReportStore, now time.Time) {
	view := route.View{
		State:   state,
		Plan:    current,
		Servers: reports.Servers(),
		Fronts:  []string{"front000", "front001"},
	}
	var table *route.Table
	c.RouteTableHeapKiB = measureHeapKiB(func() any {
		table = route.New(route.Config{Self: "front000", Region: "r00", Zone: "z00"})
		table.Update(view)
		return table
	})
	counter := uint64(c.Servers)
	c.RouteUpdateMS = measureMilliseconds(func() {
		counter++
		report := serverReport(0, mergedReporter)
		report.Counter = counter
		report.AtMs = 1000 + int64(counter)
		report.Status.Running = uint32(counter % 13)
		reports.Add(report, now)
		view.Servers = reports.Servers()
		table.Update(view)
	})
}

// MeasureTenantState measures the state whose size depends on the number of tenants.
func MeasureTenantState(tenants int) (StateCost, error) {
	cost := StateCost{Tenants: tenants}
	put := statemachine.PutSheet{
		Order: statemachine.Order{OrderID: firstSheetOrder, Operator: operatorName},
		Sheet: newSheet(tenants),
	}
	state, result := statemachine.State{}.Step(1, statemachine.Encode(put))
	if apiErr := result.APIError(); apiErr != nil {
		return cost, apiErr
	}
	change, apiErr := sheet.ParseChange("tenants.tenant00000.rate=1700")
	if apiErr != nil {
		return cost, apiErr
	}
	encoded := state.Encode()
	cost.StateBytes = len(encoded)
	cost.StateHeapKiB = measureHeapKiB(func() any {
		decoded, _ := statemachine.DecodeState(encoded)
		return decoded
	})
	cost.IndexHeapKiB = measureHeapKiB(func() any { return state.Index() })
	patch := statemachine.Encode(statemachine.PatchSheet{
		Order:   statemachine.Order{OrderID: "p", Operator: operatorName, Base: 1},
		Changes: []sheet.Change{change},
	})
	cost.StepMS = measureMilliseconds(func() { state.Step(2, patch) })
	cost.EncodeMS = measureMilliseconds(func() { state.Encode() })
	cost.DecodeMS = measureMilliseconds(func() { _, _ = statemachine.DecodeState(encoded) })
	return cost, nil
}
