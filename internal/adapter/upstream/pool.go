package upstream

import (
	"maps"
	"time"
)

// pool holds the idle connections to one server.
type pool struct {
	server Server
	idle   chan *conn
}

// pool returns the pool of a server and creates it if necessary. A server whose
// address has changed gets a new pool; idle connections to the former address stay
// open until they are closed by the remote end.
func (c *Client) pool(server Server) *pool {
	for {
		current := c.pools.Load()
		if existing := (*current)[server.Name]; existing != nil && existing.server == server {
			return existing
		}
		added := &pool{server: server, idle: make(chan *conn, c.config.MaxIdlePerServer)}
		next := make(map[string]*pool, len(*current)+1)
		maps.Copy(next, *current)
		next[server.Name] = added
		if c.pools.CompareAndSwap(current, &next) {
			return added
		}
	}
}

// CloseIdle closes the idle connections to all servers for which keep returns false.
func (c *Client) CloseIdle(keep func(server string) bool) {
	current := c.pools.Load()
	next := make(map[string]*pool, len(*current))
	var dropped []*pool
	for name, idlePool := range *current {
		if keep(name) {
			next[name] = idlePool
			continue
		}
		dropped = append(dropped, idlePool)
	}
	// If another call has changed the pools in the meantime, the connections stay open:
	// each is checked before it is reused.
	if len(dropped) == 0 || !c.pools.CompareAndSwap(current, &next) {
		return
	}
	for _, idlePool := range dropped {
		idlePool.closeIdle()
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.CloseIdle(func(string) bool { return false }) }

// get returns an idle connection that can be reused, or nil.
func (p *pool) get(now time.Time) *conn {
	for {
		select {
		case connection := <-p.idle:
			if connection.ended() || !now.Before(connection.idleUntil) {
				connection.close()
				continue
			}
			return connection
		default:
			return nil
		}
	}
}

// put keeps an idle connection, or closes it if the pool is full.
func (p *pool) put(connection *conn) {
	select {
	case p.idle <- connection:
	default:
		connection.close()
	}
}

func (p *pool) closeIdle() {
	for {
		select {
		case connection := <-p.idle:
			connection.close()
		default:
			return
		}
	}
}
