package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/owner"
	"stepwick/internal/apierror"
)

const (
	keyCheckDeadline = "2000" // milliseconds
	keyCheckTimeout  = 2500 * time.Millisecond
	maxKeyCheckBytes = 1 << 20
)

// RunKeyChecks periodically checks each node, over persistent connections, with the keys
// of the newest acknowledged sheet and of the previous one, until ctx ends. The key that
// a node accepts shows which sheet the node uses.
func (o *Operators) RunKeyChecks(ctx context.Context, interval time.Duration) {
	var running sync.WaitGroup
	for _, node := range o.Fleet.Nodes {
		running.Go(func() { o.checkKeysAt(ctx, node, interval) })
	}
	running.Wait()
}

func (o *Operators) checkKeysAt(ctx context.Context, node *fleet.Node, interval time.Duration) {
	connections := newConnectionPool(1)
	defer connections.close()
	newest, previous := 0, 0
	for owner.Sleep(ctx, interval) {
		if key, _ := o.NewestKey(); key != newest {
			newest, previous = key, newest
		}
		for _, key := range []int{newest, previous} {
			if key > 0 {
				o.checkKey(node, key, connections)
			}
		}
	}
}

// CheckKey checks one node with one key on a new connection.
func (o *Operators) CheckKey(node *fleet.Node, key int) history.KeyCheck {
	connections := newConnectionPool(0)
	defer connections.close()
	return o.checkKey(node, key, connections)
}

func (o *Operators) checkKey(node *fleet.Node, key int, connections *connectionPool) history.KeyCheck {
	check := history.KeyCheck{
		Front: node.Name,
		Key:   key,
		Sent:  o.Recorder.Now(),
	}
	if conn, err := connections.get(node.CallerAddress); err == nil {
		check.ReusedConnection = conn.reused
		if o.checkKeyOn(conn, node, &check) {
			connections.put(node.CallerAddress, conn)
		} else {
			conn.close()
		}
	}
	check.Done = o.Recorder.Now()
	o.Recorder.Update(func(recording *history.Recording) {
		recording.KeyChecks = append(recording.KeyChecks, check)
	})
	return check
}

// checkKeyOn sends the request of a check and reads its answer; it reports whether the
// connection can be reused.
func (o *Operators) checkKeyOn(conn *connection, node *fleet.Node, check *history.KeyCheck) (reusable bool) {
	path := fmt.Sprintf("/v1/call/%s/probe?token=p%d-%s", o.Fleet.Spec.Services.Web[0], o.serial.Add(1), o.idPrefix)
	req := newRequest(http.MethodGet, node.CallerAddress, path, nil)
	req.Header.Set("Authorization", "Bearer "+CheckedKey(check.Key))
	req.Header.Set(deadlineHeader, keyCheckDeadline)
	resp, err := conn.roundTrip(req, keyCheckTimeout) //nolint:bodyclose // the body is read to its end or the connection closed
	if err != nil {
		return false
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxKeyCheckBytes))
	if err != nil {
		return false
	}
	check.Status = resp.StatusCode
	if resp.Header.Get(codeHeader) != "" || resp.StatusCode/100 != successStatusClass {
		var body apierror.ErrorBody
		_ = json.Unmarshal(data, &body)
		check.Code = int(body.Code)
		check.Detail = body.Detail
	}
	return !resp.Close
}
