package emulator

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// Listed is a server as the platform lists it.
type Listed struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Kind     string   `json:"kind"`
	Services []string `json:"services"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"` // ready, draining, cold, leaving
	LeaveAt  int64    `json:"leave_at_ms"`
}

type platformState struct {
	list  map[string]Listed
	nodes map[string]string
}

// Platform lists servers and checks the nodes' readiness once a second.
type Platform struct {
	Address string
	book    *history.Recorder
	state   *owner.Owner[platformState]
	server  *http.Server
	cancel  context.CancelFunc
}

// NewPlatform returns a platform that is down.
func NewPlatform(address string, book *history.Recorder) *Platform {
	return &Platform{Address: address, book: book, state: owner.New(platformState{map[string]Listed{}, map[string]string{}})}
}

// Show lists a server or changes what is listed of it.
func (p *Platform) Show(s Listed) {
	p.state.Do(func(state *platformState) {
		before, ok := state.list[s.Name]
		state.list[s.Name] = s
		if !ok || before.State != s.State {
			p.show(s, s.State)
		}
	})
}

func (p *Platform) show(s Listed, state string) {
	at, zone := p.book.Now(), s.Region+"/"+s.Zone
	p.book.Update(func(l *history.Recording) {
		l.ListingChanges = append(l.ListingChanges, history.ListingChange{At: at, Server: s.Name, State: state, Zone: zone})
		l.Zones[s.Name] = zone
	})
}

// State changes the state of a listed server.
func (p *Platform) State(name, to string, leaveAt int64) {
	p.state.Do(func(state *platformState) {
		s, ok := state.list[name]
		if !ok {
			return
		}
		s.State, s.LeaveAt = to, leaveAt
		state.list[name] = s
		p.show(s, to)
	})
}

// Drop takes a server off the list.
func (p *Platform) Drop(name string) {
	p.state.Do(func(state *platformState) {
		if s, ok := state.list[name]; ok {
			p.show(s, "gone")
		}
		delete(state.list, name)
	})
}

// Watch checks the readiness of a node at a caller address from now on; an
// empty address ends that.
func (p *Platform) Watch(node, address string) {
	p.state.Do(func(state *platformState) {
		if address == "" {
			delete(state.nodes, node)
		} else {
			state.nodes[node] = address
		}
	})
}

// Start brings the platform up.
func (p *Platform) Start() error {
	l, err := net.Listen("tcp4", p.Address)
	if err != nil {
		return errors.Wrap(err, "platform")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /servers", func(w http.ResponseWriter, r *http.Request) {
		var list []Listed
		p.state.Do(func(state *platformState) {
			for _, s := range state.list {
				list = append(list, s)
			}
		})
		slices.SortFunc(list, func(a, b Listed) int { return strings.Compare(a.Name, b.Name) })
		apierror.WriteJSON(w, http.StatusOK, map[string]any{"servers": list})
	})
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go p.server.Serve(l)
	go p.check(ctx)
	return nil
}

// Close ends the platform.
func (p *Platform) Close() {
	if p.cancel != nil {
		p.cancel()
		p.server.Close()
	}
	p.state.Close()
}

func (p *Platform) check(ctx context.Context) {
	client := &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := clock.System().Ticker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C():
		case <-ctx.Done():
			return
		}
		nodes := map[string]string{}
		p.state.Do(func(state *platformState) {
			for k, v := range state.nodes {
				nodes[k] = v
			}
		})
		for node, address := range nodes {
			go func() {
				status := 0
				at := p.book.Now()
				if resp, err := client.Get("http://" + address + "/readyz"); err == nil {
					status = resp.StatusCode
					resp.Body.Close()
				}
				p.book.Update(func(l *history.Recording) {
					l.ReadinessChecks = append(l.ReadinessChecks, history.ReadinessCheck{At: at, Node: node, Status: status})
				})
			}()
		}
	}
}
