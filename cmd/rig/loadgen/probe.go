package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// Probes ask each node, over connections that stay open, with the keys of the
// newest acknowledged sheet and of the one before. What passes is the outside
// sign of the sheet that a node rules by.
func (c *Control) Probes(ctx context.Context, every time.Duration) {
	done := make(chan struct{}, len(c.Fleet.Nodes))
	for _, n := range c.Fleet.Nodes {
		go func() {
			l := newLines(1)
			defer func() { l.close(); done <- struct{}{} }()
			var keys [2]int
			for owner.Sleep(ctx, every) {
				if newest, _ := c.Newest(); newest != keys[0] {
					keys = [2]int{newest, keys[0]}
				}
				for _, key := range keys {
					if key > 0 {
						c.probe(n, key, l)
					}
				}
			}
		}()
	}
	for range c.Fleet.Nodes {
		<-done
	}
}

// Probe asks one node with one key on a connection of its own.
func (c *Control) Probe(n *fleet.Node, key int) history.KeyCheck {
	l := newLines(0)
	defer l.close()
	return c.probe(n, key, l)
}

func (c *Control) probe(n *fleet.Node, key int, l *lines) history.KeyCheck {
	p := history.KeyCheck{Front: n.Name, Key: key, Sent: c.Book.Now()}
	conn, err := l.take(n.Caller)
	if err == nil {
		p.ReusedConnection = conn.used
		req, _ := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/v1/call/%s/probe?token=p%d-%s", n.Caller, c.Fleet.Spec.Services.Web[0], c.serial.Add(1), c.prefix), nil)
		req.Header.Set("Authorization", "Bearer "+ProbeKey(key))
		req.Header.Set("Stepwick-Deadline-Ms", "2000")
		resp, err := conn.send(req, clock.System().Now().Add(2500*time.Millisecond))
		var data []byte
		if err == nil {
			data, err = io.ReadAll(io.LimitReader(resp.Body, 1<<20))
		}
		if err == nil {
			p.Status = resp.StatusCode
			if resp.Header.Get("Stepwick-Code") != "" || resp.StatusCode/100 != 2 {
				var body apierror.ErrorBody
				_ = json.Unmarshal(data, &body)
				p.Code, p.Detail = int(body.Code), body.Detail
			}
		}
		if err == nil && !resp.Close {
			l.give(n.Caller, conn)
		} else {
			conn.conn.Close()
		}
	}
	p.Done = c.Book.Now()
	c.Book.Update(func(l *history.Recording) { l.KeyChecks = append(l.KeyChecks, p) })
	return p
}
