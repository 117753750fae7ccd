package balance

import (
	"fmt"
	"time"

	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

var start = time.Unix(1_000_000, 0)

// msAfterStart returns the time ms milliseconds after start.
func msAfterStart(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// newTestView returns a view of n servers that serve the service "pool" and alternate between two
// regions.
func newTestView(n int, service sheet.Service, fronts ...string) View {
	service.Kind = sheet.KindHTTP
	view := View{State: statemachine.State{Version: 1, Sheet: &sheet.Sheet{Services: map[string]sheet.Service{"pool": service}}},
		Servers: map[string]*wire.ServerStatus{}, Fronts: fronts, FleetNow: start}
	for i := range n {
		name := fmt.Sprintf("s%d", i)
		view.Servers[name] = &wire.ServerStatus{Name: name, Address: "10.0.0.1:80", Services: []string{"pool"}, Reachable: true,
			State: wire.ServerState_SERVER_STATE_READY, Region: []string{"north", "south"}[i%2], Zone: "z"}
	}
	return view
}

func newTestTable(view View, config Config) *Table {
	if config.Self == "" {
		config.Self = "f0"
	}
	config.Region, config.Zone = "north", "z"
	t := New(config)
	t.Update(view, start)
	return t
}

// newTestRequest returns a request with 500 tokens of its own and, if shared is not zero, a shared
// prefix of 5000 tokens.
func newTestRequest(id string, shared uint64) *Request {
	request := &Request{ID: id, Service: "pool", PrefixDigest: shared, UnsharedTokens: 500, QueueUntil: msAfterStart(1000)}
	if shared != 0 {
		request.SharedTokens = 5000
	}
	return request
}
