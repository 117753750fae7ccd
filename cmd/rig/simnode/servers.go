package simnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"stepwick/cmd/rig/emulator"
	"stepwick/internal/apierror"
)

// listTag is the entity tag of the platform's list, which never changes.
const listTag = `"one list"`

// listedServer is a server in the platform's list.
type listedServer struct {
	Name     string   `json:"name"`
	Address  string   `json:"address"`
	Kind     string   `json:"kind"`
	Services []string `json:"services"`
	Region   string   `json:"region"`
	Zone     string   `json:"zone"`
	State    string   `json:"state"`
}

// serverList is the body of the platform's answer.
type serverList struct {
	Servers []listedServer `json:"servers"`
}

// startServers emulates the platform and the servers that it lists. Each server has
// its own address and answers every request with its status, whose load changes;
// none serves callers' requests.
func (f *simFleet) startServers() error {
	var list serverList
	start := f.clock.Now()
	for i := range f.options.Servers {
		server := f.listedServer(i)
		list.Servers = append(list.Servers, server)
		handler := func(w http.ResponseWriter, _ *http.Request) {
			age := f.clock.Now().Sub(start)
			apierror.WriteJSON(w, http.StatusOK, statusAt(server.Name, age, i))
		}
		if err := serveHTTP(f.ctx, server.Address, handler); err != nil {
			return err
		}
	}
	return serveHTTP(f.ctx, f.platformAddress(), list.handle)
}

func (f *simFleet) listedServer(i int) listedServer {
	return listedServer{
		Name:     serverName(i),
		Address:  f.address(serverGroup, i, serverPort),
		Kind:     "model",
		Services: []string{modelName(i % modelServices)},
		Region:   f.regionOf(i),
		Zone:     f.zoneOf(i),
		State:    "ready",
	}
}

func serverName(i int) string { return fmt.Sprintf("server%05d", i) }

// statusAt returns the status of server i at the given age. The load changes every
// second and differs between servers.
func statusAt(name string, age time.Duration, i int) emulator.Status {
	tick := int(age.Seconds()) + i
	return emulator.Status{
		Server:           name,
		Incarnation:      1,
		State:            "ready",
		Slots:            16,
		Running:          tick % 13,
		Queued:           tick % 3,
		TokensPerSecond:  2000,
		PrefillPerSecond: 24000,
		CacheUsed:        float64(tick%97) / 100,
		Answered:         1000 + tick,
	}
}

func (l serverList) handle(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("ETag", listTag)
	if r.Header.Get("If-None-Match") == listTag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	apierror.WriteJSON(w, http.StatusOK, l)
}

func (f *simFleet) platformAddress() string { return f.address(platformGroup, 0, serverPort) }

// serveHTTP listens on address and serves requests in the background until ctx is
// done.
func serveHTTP(ctx context.Context, address string, handler http.HandlerFunc) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}
