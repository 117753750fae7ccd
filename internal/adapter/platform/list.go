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

// Kinds of servers in the list.
const (
	kindModel = "model"
	kindWeb   = "web"
)

// errNoServersField means that a list lacks its field of servers, which is present even
// in an empty list.
var errNoServersField = errors.New("field servers is missing")

// serverStates maps the names of states in a list or status.
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
	LeaveAtMS int64    `json:"leave_at_ms"` // Unix time in ms; 0 for none
}

// cachedList is the last list, if it was valid and had an entity tag.
type cachedList struct {
	etag    string
	listing port.Listing
}

// List reads the platform's list. If the platform sends entity tags (ETag), an unchanged
// list is not transferred again. The returned listing must not be modified.
func (c *Client) List(ctx context.Context) (port.Listing, error) {
	cached := c.cached.Load()
	etag := ""
	if cached != nil {
		etag = cached.etag
	}
	resp, err := c.get(ctx, c.config.URL, c.config.ListLimit, etag)
	if err != nil {
		return port.Listing{}, errors.Wrap(err, "platform list")
	}
	if resp.statusCode == http.StatusNotModified && etag != "" {
		return cached.listing, nil
	}
	if resp.statusCode != http.StatusOK {
		return port.Listing{}, errors.Wrap(statusError{resp.statusCode}, "platform list")
	}
	listing, err := ParseList(resp.body)
	c.cached.Store(nil)
	if tag := resp.header.Get("ETag"); err == nil && tag != "" {
		c.cached.Store(&cachedList{etag: tag, listing: listing})
	}
	return listing, err
}

// ParseList parses the body of a list. Entries that are invalid, or whose name occurs
// more than once, are reported in Malformed.
func ParseList(data []byte) (port.Listing, error) {
	var body listBody
	if err := decodeSingleValue(data, &body); err != nil {
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
	// When a duplicate name is found, its first entry may already be in Servers.
	listing.Servers = slices.DeleteFunc(listing.Servers, func(status *wire.ServerStatus) bool {
		return listing.Malformed[status.Name] != ""
	})
	return listing, nil
}

// status returns the entry as a server status, or the reason why it is invalid.
func (e listEntry) status() (status *wire.ServerStatus, reason string) {
	state, isKnown := serverStates[e.State]
	switch {
	case !isKnown:
		return nil, "unknown state"
	case e.Kind != kindModel && e.Kind != kindWeb:
		return nil, "unknown kind"
	case e.Region == "":
		return nil, "region is empty"
	case e.LeaveAtMS < 0:
		return nil, "leave_at_ms is negative"
	}
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return nil, "address is not ip:port"
	}
	services := slices.Clone(e.Services)
	slices.Sort(services)
	services = slices.Compact(services)
	if len(services) > 0 && services[0] == "" {
		return nil, "a service name is empty"
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
