package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// workTime is how long a server works on a request.
const workTime = 5 * time.Millisecond

// instance is a server on the platform's list.
type instance struct {
	ID              string  `json:"id"`
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           int     `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMS float64 `json:"coldRemainingMs"`
}

// startServers starts the servers of each zone and the platform's list of them.
func (d *deployment) startServers() error {
	var instances []instance
	for i, zone := range zones {
		for number := range serversPerZone {
			host := serverHostByte + i*serversPerZone + number
			entry := instance{
				ID:      fmt.Sprintf("i-%s-%d", zone.name, number+1),
				Service: serviceName,
				Address: fmt.Sprintf("%s.%d:%d", d.network, host, serverPort),
				Zone:    zone.name,
				Version: "v1",
				Slots:   48,
				State:   "ready",
			}
			if err := d.serve(entry.Address, d.serverHandler(entry)); err != nil {
				return err
			}
			instances = append(instances, entry)
		}
	}
	return d.serve(d.platformAddress(), listHandler(instances))
}

func (d *deployment) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	d.httpd = append(d.httpd, server)
	go func() { _ = server.Serve(listener) }()
	return nil
}

// serverHandler returns the handler of a server, which is always healthy.
func (d *deployment) serverHandler(self instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Instance-Id", self.ID)
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("Request-Id")
		w.Header().Set("Request-Id", id)
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != self.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		d.record.addArrival(arrival{at: time.Now(), requestID: id, server: self.ID, zone: self.Zone})
		time.Sleep(workTime)
		w.Header().Set("Server-Seal", "seal-"+self.ID+"-"+id)
		w.Header().Set("Content-Type", "text/plain")
		_, _ = io.WriteString(w, "answer to "+id)
	})
	return mux
}

// listHandler serves the platform's list as one page.
func listHandler(instances []instance) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /instances", func(w http.ResponseWriter, r *http.Request) {
		listed := []instance{}
		for _, entry := range instances {
			if zone := r.URL.Query().Get("zone"); zone == "" || zone == entry.Zone {
				listed = append(listed, entry)
			}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"instances": listed, "nextToken": nil})
	})
	return mux
}
