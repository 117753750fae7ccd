package platform

import (
	"context"
	"net/http"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Kinds of servers on the list.
const (
	kindModel = "model"
	kindWeb   = "web"
)

// errNoServersField means that a list's body has no field of servers, which an empty
// list has.
var errNoServersField = errors.New("no servers field")

// serverStates are the states of servers by their names on the list and in a status.
var serverStates = map[string]wire.ServerState{
	"ready":    wire.ServerState_SERVER_STATE_READY,
	"cold":     wire.ServerState_SERVER_STATE_COLD,
	"draining": wire.ServerState_SERVER_STATE_DRAINING,
	"leaving":  wire.ServerState_SERVER_STATE_LEAVING,
}

// listBody is the JSON form of the list.
type listBody struct {
	Servers *[]listEntry `json:"servers"`
}

type listEntry struct {
	Name      string   `json:"name"`
	Address   string   `json:"address"` // ip:port
	Kind      string   `json:"kind"`
	Services  []string `json:"services"`
	Region    string   `json:"region"`
	Zone      string   `json:"zone"`
	State     string   `json:"state"`
	LeaveAtMS int64    `json:"leave_at_ms"` // Unix time; 0 for none
}

// cachedList is the last list that came with an entity tag.
type cachedList struct {
	etag    string
	listing port.Listing
}

// List reads the platform's list. Where the platform sends an entity tag (ETag), an
// unchanged list is not sent again. What it returns must not be changed.
func (c *Client) List(ctx context.Context) (port.Listing, error) {
	cached := c.cached.Load()
	etag := ""
	if cached != nil {
		etag = cached.etag
	}
	answer, err := c.get(ctx, c.config.URL, c.config.ListLimit, etag)
	if err != nil {
		return port.Listing{}, errors.Wrap(err, "platform list")
	}
	if answer.statusCode == http.StatusNotModified && etag != "" {
		return cached.listing, nil
	}
	if answer.statusCode != http.StatusOK {
		return port.Listing{}, errors.Wrap(statusError{answer.statusCode}, "platform list")
	}
	listing, err := ParseList(answer.body)
	c.cached.Store(nil)
	if tag := answer.header.Get("ETag"); err == nil && tag != "" {
		c.cached.Store(&cachedList{etag: tag, listing: listing})
	}
	return listing, err
}

// ParseList parses the body of a list. Entries that are invalid or listed twice are
// reported in Malformed.
func ParseList(data []byte) (port.Listing, error) {
	var body listBody
	if err := decodeOne(data, &body); err != nil {
		return port.Listing{}, errors.Wrap(err, "platform list")
	}
	if body.Servers == nil {
		return port.Listing{}, errors.Wrap(errNoServersField, "platform list")
	}
	listing := port.Listing{Malformed: map[string]string{}}
	seen := map[string]bool{}
	for i, entry := range *body.Servers {
		if entry.Name == "" {
			return port.Listing{}, errors.Errorf("platform list: entry %d has no name", i)
		}
		if seen[entry.Name] {
			listing.Malformed[entry.Name] = "listed twice"
			continue
		}
		seen[entry.Name] = true
		status, reason := entry.status()
		if reason != "" {
			listing.Malformed[entry.Name] = reason
			continue
		}
		listing.Servers = append(listing.Servers, status)
	}
	// An entry that is listed twice is found when the first of the two was taken.
	listing.Servers = slices.DeleteFunc(listing.Servers, func(status *wire.ServerStatus) bool {
		return listing.Malformed[status.Name] != ""
	})
	return listing, nil
}

// status returns the status of an entry's server, or the reason why it is invalid.
func (e listEntry) status() (status *wire.ServerStatus, reason string) {
	state, known := serverStates[e.State]
	switch {
	case !known:
		return nil, "unknown state"
	case e.Kind != kindModel && e.Kind != kindWeb:
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
	return &wire.ServerStatus{
		Name:      e.Name,
		Address:   e.Address,
		Kind:      e.Kind,
		Services:  services,
		Region:    e.Region,
		Zone:      e.Zone,
		State:     state,
		LeaveAtMs: e.LeaveAtMS,
	}, ""
}
