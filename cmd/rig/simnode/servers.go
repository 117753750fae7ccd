package simnode

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// startServers plays the platform and a number of servers that are listed,
// answer for their status with a load that moves, and serve nothing. Each has
// an address of its own.
func (r *run) startServers(ctx context.Context) error {
	type entry struct {
		Name     string   `json:"name"`
		Address  string   `json:"address"`
		Kind     string   `json:"kind"`
		Services []string `json:"services"`
		Region   string   `json:"region"`
		Zone     string   `json:"zone"`
		State    string   `json:"state"`
	}
	var list []entry
	clock, start := clock.System(), clock.System().Now()
	for i := range r.options.Servers {
		address := r.address(120, i, 8000)
		name := fmt.Sprintf("server%05d", i)
		list = append(list, entry{name, address, "model", []string{fmt.Sprintf("model%02d", i%11)},
			fmt.Sprintf("r%02d", i%r.zones()%r.regions()), fmt.Sprintf("z%02d", i%r.zones()), "ready"})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			tick := int(clock.Now().Sub(start).Seconds()) + i
			apierror.WriteJSON(w, http.StatusOK, map[string]any{"server": name, "incarnation": 1, "state": "ready", "slots": 16, "running": tick % 13,
				"queued": tick % 3, "tokens_per_second": 2000, "prefill_per_second": 24000, "kv_used": float64(tick%97) / 100, "answered": 1000 + tick})
		})
		if err := r.serve(ctx, address, handler); err != nil {
			return err
		}
	}
	return r.serve(ctx, r.platform(), http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		const tag = `"one list"`
		w.Header().Set("ETag", tag)
		if q.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		apierror.WriteJSON(w, http.StatusOK, map[string]any{"servers": list})
	}))
}

func (r *run) platform() string { return r.address(89, 0, 8000) }

func (r *run) serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}
