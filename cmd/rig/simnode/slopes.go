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

// Slope is what the state of one size costs: heap in KiB, messages in bytes,
// time in milliseconds of one call.
type Slope struct {
	Servers int `json:"servers,omitempty"`
	Tenants int `json:"tenants,omitempty"`

	FoldsHeapKiB   float64 `json:"front_folds_heap_kib,omitempty"`
	SightsHeapKiB  float64 `json:"core_sights_heap_kib,omitempty"`
	TableHeapKiB   float64 `json:"front_routes_heap_kib,omitempty"`
	SnapshotBytes  int     `json:"snapshot_servers_bytes,omitempty"`
	PlanBytes      int     `json:"plan_bytes,omitempty"`
	PlanMS         float64 `json:"plan_compute_ms,omitempty"`
	ForcedMS       float64 `json:"plan_forced_ms,omitempty"`
	UpdateOneMS    float64 `json:"routes_update_one_ms,omitempty"`
	LoadChangeSize int     `json:"load_change_bytes,omitempty"`

	StateHeapKiB float64 `json:"state_heap_kib,omitempty"`
	IndexHeapKiB float64 `json:"index_heap_kib,omitempty"`
	StateBytes   int     `json:"state_bytes,omitempty"`
	StepMS       float64 `json:"patch_apply_ms,omitempty"`
	EncodeMS     float64 `json:"state_encode_ms,omitempty"`
	DecodeMS     float64 `json:"state_decode_ms,omitempty"`
}

const slopeRuns = 10

func grown(build func() any) float64 {
	heap()
	before := heap()
	kept := build()
	heap()
	after := heap()
	runtime.KeepAlive(kept)
	return float64(after-before) / 1024
}

func timed(call func()) float64 {
	clock := clock.System()
	begun := clock.Now()
	for range slopeRuns {
		call()
	}
	return clock.Now().Sub(begun).Seconds() * 1000 / slopeRuns
}

func statusOf(i int) *wire.ServerStatus {
	return &wire.ServerStatus{Name: fmt.Sprintf("server%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8000", i/40000, i/200%200, i%200), Kind: "model",
		Services: []string{fmt.Sprintf("model%02d", i%11)}, Region: fmt.Sprintf("r%02d", i%zones%regions), Zone: fmt.Sprintf("z%02d", i%zones),
		State: wire.ServerState_SERVER_STATE_READY, Incarnation: 1, Slots: 16, Running: uint32(i % 13), TokensPerSecond: 2000,
		PrefillPerSecond: 24000, KvUsed: 0.5, Reachable: true, Answered: 1000}
}

func reportOf(i int, watcher string) *wire.Report {
	return &wire.Report{Watcher: watcher, Server: fmt.Sprintf("server%05d", i), Incarnation: 1, Counter: uint64(i + 1), AtMs: 1000, Status: statusOf(i)}
}

// ServerSlope measures the state that grows with the servers.
func ServerSlope(n int) Slope {
	now := time.UnixMilli(2000)
	s := Slope{Servers: n}
	folds := serverstatus.NewReportStore(serverstatus.Config{})
	s.FoldsHeapKiB = grown(func() any {
		for i := range n {
			folds.Add(reportOf(i, "core1/fold"), now)
		}
		folds.Servers()
		return folds
	})
	sights := serverstatus.NewReportStore(serverstatus.Config{})
	s.SightsHeapKiB = grown(func() any {
		for i := range n {
			for w := range 3 {
				sights.Add(reportOf(i, fmt.Sprintf("front%d/list", w)), now)
			}
			for w := range 2 {
				sights.Add(reportOf(i, fmt.Sprintf("front%d/own", w)), now)
			}
		}
		sights.Servers()
		return sights
	})
	snapshot := &wire.FollowResponse{Snapshot: &wire.Snapshot{Reports: folds.Reports()}}
	s.SnapshotBytes = proto.Size(snapshot)
	s.LoadChangeSize = proto.Size(&wire.FollowResponse{Changes: []*wire.Change{{Place: 1 << 20, What: &wire.Change_Load{Load: &wire.Load{
		Server: "server00001", Incarnation: 1, Running: 7, Queued: 2, Answered: 123456, KvUsed: 0.5, AtMs: 1796187138310}}}}})
	run := &run{options: Options{Tenants: 5, Fronts: 410}}
	in := plan.Input{State: statemachine.State{Version: 1, SheetVersion: 1, Sheet: run.sheetOf()}, Servers: folds.Servers(), Term: 1, Number: 1, Now: now, Period: 5 * time.Second}
	made := plan.Compute(in)
	s.PlanMS = timed(func() { made = plan.Compute(in) })
	s.PlanBytes = proto.Size(made)
	s.ForcedMS = timed(func() { plan.ReplanCause(made, in) })
	view := route.View{State: in.State, Plan: made, Servers: folds.Servers(), Fronts: []string{"front000", "front001"}}
	var table *route.Table
	s.TableHeapKiB = grown(func() any {
		table = route.New(route.Config{Self: "front000", Region: "r00", Zone: "z00"})
		table.Update(view)
		return table
	})
	counter := uint64(n)
	s.UpdateOneMS = timed(func() {
		counter++
		report := reportOf(0, "core1/fold")
		report.Counter, report.AtMs, report.Status.Running = counter, 1000+int64(counter), uint32(counter%13)
		folds.Add(report, now)
		view.Servers = folds.Servers()
		table.Update(view)
	})
	return s
}

// TenantSlope measures the state that grows with the tenants.
func TenantSlope(n int) (Slope, error) {
	s := Slope{Tenants: n}
	run := &run{options: Options{Tenants: n, Fronts: 410}}
	state := statemachine.State{}
	order := statemachine.PutSheet{Order: statemachine.Order{OrderID: "first", Operator: "ada"}, Sheet: run.sheetOf()}
	state, result := state.Step(1, statemachine.Encode(order))
	if apiErr := result.APIError(); apiErr != nil {
		return s, apiErr
	}
	encoded := state.Encode()
	s.StateBytes = len(encoded)
	s.StateHeapKiB = grown(func() any { held, _ := statemachine.DecodeState(encoded); return held })
	s.IndexHeapKiB = grown(func() any { return state.Index() })
	change, apiErr := sheet.ParseChange("tenants.tenant00000.rate=1700")
	if apiErr != nil {
		return s, apiErr
	}
	patch := statemachine.Encode(statemachine.PatchSheet{Order: statemachine.Order{OrderID: "p", Operator: "ada", Base: 1}, Changes: []sheet.Change{change}})
	s.StepMS = timed(func() { state.Step(2, patch) })
	s.EncodeMS = timed(func() { state.Encode() })
	s.DecodeMS = timed(func() { _, _ = statemachine.DecodeState(encoded) })
	return s, nil
}
