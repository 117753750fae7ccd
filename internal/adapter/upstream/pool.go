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

// pool returns the pool of a server. A server under another address gets a new pool;
// idle connections to the former address stay open until that server closes them.
func (c *Client) pool(server Server) *pool {
	for {
		current := c.pools.Load()
		if found := (*current)[server.Name]; found != nil && found.server == server {
			return found
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

// CloseIdle closes the idle connections of all servers but those to be kept.
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
	// Where another call has changed the pools meanwhile, the connections stay: each
	// is checked before its use.
	if len(dropped) == 0 || !c.pools.CompareAndSwap(current, &next) {
		return
	}
	for _, idlePool := range dropped {
		idlePool.closeIdle()
	}
}

// Close closes all idle connections.
func (c *Client) Close() { c.CloseIdle(func(string) bool { return false }) }

// take returns an idle connection that can be used again, or nil.
func (p *pool) take(now time.Time) *conn {
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

// put keeps an idle connection, or closes it where there are enough.
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
