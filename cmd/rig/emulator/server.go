// Package emulator emulates the environment of a fleet: the platform with its list of
// servers, the model servers and the web servers. Each server records every request
// that it accepts, so that package checker can compare the requests with what callers
// received. Servers can inject faults into their answers; see Fault.
package emulator

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

const (
	requestIDHeader   = "Stepwick-Request-Id"
	readHeaderTimeout = 10 * time.Second

	// runIDModulus shortens the incarnation number in the ID of a run.
	runIDModulus = 1e9
)

// States that a server reports in its status.
const (
	stateReady    = "ready"
	stateCold     = "cold"
	stateDraining = "draining"
)

// Status is a server's answer to GET /v1/status.
type Status struct {
	Answered         int     `json:"answered"`
	Incarnation      uint64  `json:"incarnation"`
	CacheUsed        float64 `json:"kv_used"`            // fraction of the cache's capacity, 0 to 1
	PrefillPerSecond float64 `json:"prefill_per_second"` // tokens
	Queued           int     `json:"queued"`
	Running          int     `json:"running"`
	Server           string  `json:"server"`
	Slots            int     `json:"slots"`
	State            string  `json:"state"`
	TokensPerSecond  float64 `json:"tokens_per_second"`
}

// process emulates the process of a server, which can be started and crashed.
type process struct {
	listener    net.Listener // nil while down
	server      *http.Server
	incarnation uint64
}

func (p *process) isUp() bool { return p.listener != nil }

// listen starts a new incarnation that serves on an address.
func (p *process) listen(name, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return errors.Wrap(err, name)
	}
	p.incarnation = uint64(clock.System().Now().UnixNano())
	p.listener = listener
	p.server = newHTTPServer(handler)
	go serve(p.server, listener)
	return nil
}

// crash closes the listener and breaks all connections.
func (p *process) crash() {
	_ = p.listener.Close()
	_ = p.server.Close()
	p.listener = nil
}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
	}
}

// serve blocks until the server is closed. The error only reports the closing.
func serve(server *http.Server, listener net.Listener) { _ = server.Serve(listener) }

// writeStatus answers a status request. An unresponsive server blocks until the caller
// cancels the request.
func writeStatus(w http.ResponseWriter, r *http.Request, body Status, unresponsive bool) {
	if unresponsive {
		<-r.Context().Done()
		return
	}
	apierror.WriteJSON(w, http.StatusOK, body)
}

func writeBusy(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"code":"busy"}`))
}

// nonexistentID returns the ID of a request that doesn't exist.
func nonexistentID(id string) string { return "x" + id }

// FindToken returns the token of an attempt from a text, where it follows "token=";
// empty if the text has none.
func FindToken(text string) string {
	_, rest, ok := strings.Cut(text, "token=")
	if !ok {
		return ""
	}
	if end := strings.IndexFunc(rest, endsToken); end >= 0 {
		return rest[:end]
	}
	return rest
}

func endsToken(r rune) bool { return r <= ' ' || r == '&' || r == '"' || r == ';' }
