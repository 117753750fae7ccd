// Package platform reads what the platform lists and what servers say of
// themselves, over HTTP with JSON. Bodies are bounded, an answer is one whole
// JSON value, and an entry that breaks a rule costs itself only.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Config tells where the list is and how much is read. Timeout bounds one
// answer (1 s when zero), ListLimit and StatusLimit its bytes (8 MiB and 64 KiB
// when zero). Bind is the IP that dials leave from, "" for any.
type Config struct {
	URL         string
	Bind        string
	Dial        func(ctx context.Context, network, address string) (net.Conn, error)
	Timeout     time.Duration
	ListLimit   int64
	StatusLimit int64
}

// Client reads the platform's list and the servers' status.
type Client struct {
	cfg  Config
	http *http.Client
	held atomic.Pointer[heldList]
}

// New returns a client. It dials nothing.
func New(cfg Config) *Client {
	if cfg.Timeout <= 0 {
		cfg.Timeout = time.Second
	}
	if cfg.ListLimit <= 0 {
		cfg.ListLimit = 8 << 20
	}
	if cfg.StatusLimit <= 0 {
		cfg.StatusLimit = 64 << 10
	}
	dialer := &net.Dialer{Timeout: cfg.Timeout}
	if ip := net.ParseIP(cfg.Bind); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	if cfg.Dial == nil {
		cfg.Dial = dialer.DialContext
	}
	transport := &http.Transport{DialContext: cfg.Dial, MaxIdleConnsPerHost: 1,
		IdleConnTimeout: 30 * time.Second, MaxResponseHeaderBytes: 16 << 10, DisableCompression: true}
	return &Client{cfg: cfg, http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Listing is the platform's list.
type Listing = port.Listing

type listBody struct {
	Servers *[]listEntry `json:"servers"`
}

type listEntry struct {
	Name      string   `json:"name"`
	Address   string   `json:"address"`
	Kind      string   `json:"kind"`
	Services  []string `json:"services"`
	Region    string   `json:"region"`
	Zone      string   `json:"zone"`
	State     string   `json:"state"`
	LeaveAtMS int64    `json:"leave_at_ms"`
}

// List reads the platform's list. Where the platform tags its content (ETag), an
// unchanged list is not sent again; what is returned must not be changed.
func (c *Client) List(ctx context.Context) (Listing, error) {
	held := c.held.Load()
	etag := ""
	if held != nil {
		etag = held.etag
	}
	data, answer, err := c.get(ctx, c.cfg.URL, c.cfg.ListLimit, etag)
	if err != nil {
		return Listing{}, errors.Wrap(err, "platform list")
	}
	if answer.StatusCode == http.StatusNotModified && etag != "" {
		return held.listing, nil
	}
	if answer.StatusCode != http.StatusOK {
		return Listing{}, errors.Errorf("platform list: status %d", answer.StatusCode)
	}
	listing, err := ParseList(data)
	c.held.Store(nil)
	if tag := answer.Header.Get("ETag"); err == nil && tag != "" {
		c.held.Store(&heldList{etag: tag, listing: listing})
	}
	return listing, err
}

// heldList is the last list that came with a tag of its content.
type heldList struct {
	etag    string
	listing Listing
}

// ParseList reads a list's body.
func ParseList(data []byte) (Listing, error) {
	var body listBody
	if err := one(data, &body); err != nil {
		return Listing{}, errors.Wrap(err, "platform list")
	}
	if body.Servers == nil {
		return Listing{}, errors.New("platform list: no servers field")
	}
	listing := Listing{Bad: map[string]string{}}
	seen := map[string]bool{}
	for i, entry := range *body.Servers {
		if entry.Name == "" {
			return Listing{}, errors.Errorf("platform list: entry %d has no name", i)
		}
		if seen[entry.Name] {
			listing.Bad[entry.Name] = "listed twice"
			continue
		}
		seen[entry.Name] = true
		status, why := entry.status()
		if why != "" {
			listing.Bad[entry.Name] = why
			continue
		}
		listing.Servers = append(listing.Servers, status)
	}
	listing.Servers = slices.DeleteFunc(listing.Servers, func(s *wire.ServerStatus) bool { return listing.Bad[s.Name] != "" })
	return listing, nil
}

func (e listEntry) status() (*wire.ServerStatus, string) {
	state, known := states[e.State]
	switch {
	case !known:
		return nil, "unknown state"
	case e.Kind != "model" && e.Kind != "web":
		return nil, "unknown kind"
	case e.Region == "":
		return nil, "no region"
	case e.LeaveAtMS < 0:
		return nil, "leave_at_ms below zero"
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return nil, "address is not ip:port"
	}
	services := slices.Clone(e.Services)
	slices.Sort(services)
	services = slices.Compact(services)
	if len(services) > 0 && services[0] == "" {
		return nil, "a service without a name"
	}
	return &wire.ServerStatus{Name: e.Name, Address: e.Address, Kind: e.Kind, Services: services,
		Region: e.Region, Zone: e.Zone, State: state, LeaveAtMs: e.LeaveAtMS}, ""
}

var states = map[string]wire.ServerState{
	"ready":    wire.ServerState_SERVER_STATE_READY,
	"cold":     wire.ServerState_SERVER_STATE_COLD,
	"draining": wire.ServerState_SERVER_STATE_DRAINING,
	"leaving":  wire.ServerState_SERVER_STATE_LEAVING,
}

type statusBody struct {
	Server           string  `json:"server"`
	Incarnation      uint64  `json:"incarnation"`
	State            string  `json:"state"`
	Slots            uint32  `json:"slots"`
	Running          uint32  `json:"running"`
	Queued           uint32  `json:"queued"`
	TokensPerSecond  float64 `json:"tokens_per_second"`
	PrefillPerSecond float64 `json:"prefill_per_second"`
	KVUsed           float64 `json:"kv_used"`
	Answered         uint64  `json:"answered"`
}

// Reach tells how a server took the question for its status.
type Reach = port.Reach

// Reaches; see port.Reach.
const (
	Answers = port.Answers
	Refuses = port.Refuses
	Silent  = port.Silent
	Garbled = port.Garbled
)

// Status asks a server for its own status, which comes without its place. A
// server that has no such call answers, with no figures. The error explains a
// reach other than Answers, and figures that can't be read.
func (c *Client) Status(ctx context.Context, name, address string) (*wire.ServerStatus, Reach, error) {
	data, answer, err := c.get(ctx, "http://"+address+"/v1/status", c.cfg.StatusLimit, "")
	status := 0
	if answer != nil {
		status = answer.StatusCode
	}
	switch {
	case port.Refused(err):
		return nil, Refuses, errors.Wrap(err, "server status")
	case errors.Is(err, errTooLong):
		return nil, Garbled, errors.Wrap(err, "server status")
	case err != nil:
		return nil, Silent, errors.Wrap(err, "server status")
	case status == http.StatusNotFound || status == http.StatusMethodNotAllowed || status == http.StatusNotImplemented:
		return &wire.ServerStatus{Name: name, Reachable: true}, Answers, nil
	case status != http.StatusOK:
		return nil, Garbled, errors.Errorf("server status: status %d", status)
	}
	own, err := ParseStatus(name, data)
	if err != nil {
		return nil, Garbled, err
	}
	return own, Answers, nil
}

// ParseStatus reads a status body, which must be the named server's.
func ParseStatus(name string, data []byte) (*wire.ServerStatus, error) {
	var body statusBody
	if err := one(data, &body); err != nil {
		return nil, errors.Wrap(err, "server status")
	}
	state, known := states[body.State]
	switch {
	case body.Server != name:
		return nil, errors.Errorf("server status: %q answers in the place of %q", body.Server, name)
	case !known:
		return nil, errors.Errorf("server status: unknown state %q", body.State)
	case !within(body.TokensPerSecond, math.MaxFloat64) || !within(body.PrefillPerSecond, math.MaxFloat64) || !within(body.KVUsed, 1):
		return nil, errors.New("server status: a figure is out of its bounds")
	}
	return &wire.ServerStatus{Name: name, State: state, Incarnation: body.Incarnation, Slots: body.Slots,
		Running: body.Running, Queued: body.Queued, TokensPerSecond: body.TokensPerSecond,
		PrefillPerSecond: body.PrefillPerSecond, KvUsed: body.KVUsed, Reachable: true, Answered: body.Answered}, nil
}

func within(x, most float64) bool { return x >= 0 && x <= most }

func one(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "not the expected JSON")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	return nil
}

var errTooLong = errors.New("the body is too long")

func (c *Client) get(ctx context.Context, url string, limit int64, etag string) ([]byte, *http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	answer, err := c.http.Do(request)
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(io.LimitReader(answer.Body, limit+1))
	if err != nil {
		return nil, nil, errors.WithStack(err)
	}
	if int64(len(data)) > limit {
		return nil, nil, errors.Wrapf(errTooLong, "over %d bytes", limit)
	}
	return data, answer, nil
}
