package node

import (
	"context"
	"encoding/json"
	"slices"
	"sort"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

const (
	hedgeAfter  = 1500 * time.Millisecond
	orderMargin = 500 * time.Millisecond
)

// relay hands operators' calls to a core. An order has an id and is accepted
// once, so it may go to a second core while the first is silent.
type relay struct {
	name  string
	peers port.Peers
}

type relayed struct {
	resp *wire.OrderResponse
	err  error
	core string
}

// Order asks one core after another: at once when one cannot vote or refuses
// the connection, after a while when it is silent. The first answer that
// settles the call is passed on. If none comes although the call may have
// reached a core, the outcome is pending.
func (r *relay) Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	cores := r.cores()
	if len(cores) == 0 {
		return nil, apierror.Errorf(apierror.CoreUnreachable, "no core is known yet").WithRetryAfter(time.Second)
	}
	answers := make(chan relayed, len(cores))
	ask := func(core *wire.Process) {
		resp, err := r.peers.Client(core.Address).Order(ctx, connect.NewRequest(req))
		if err != nil {
			answers <- relayed{err: err, core: core.Name}
			return
		}
		answers <- relayed{resp: resp.Msg, core: core.Name}
	}
	next, open, reached := 0, 0, false
	var met []string
	send := func() {
		if next < len(cores) {
			go ask(cores[next])
			next++
			open++
		}
	}
	send()
	var last *wire.OrderResponse
	for open > 0 {
		hedge, stop := clock.NewTimer(hedgeAfter)
		select {
		case <-ctx.Done():
			stop()
			return pending(req, last, met)
		case <-hedge:
			send()
		case got := <-answers:
			stop()
			open--
			if got.err == nil && settles(apierror.Code(got.resp.Code)) {
				return got.resp, nil
			}
			if got.err == nil {
				last = got.resp
			}
			if got.err != nil {
				reached = reached || !port.Refused(got.err)
				met = append(met, got.core+" "+how(got.err))
			}
			send()
		}
	}
	if last == nil && !reached {
		return nil, apierror.Errorf(apierror.CoreUnreachable, "no core of %d could be reached: %s", len(cores), strings.Join(met, ", ")).WithRetryAfter(time.Second)
	}
	return pending(req, last, met)
}

// settles tells whether a core's answer ends the call; other cores may do
// better than one that cannot vote.
func settles(code apierror.Code) bool {
	switch code {
	case apierror.CoreAmnesiac, apierror.CoreBlank, apierror.DiskFull, apierror.NoMajority, apierror.NotCore, apierror.CoreUnreachable:
		return false
	}
	return true
}

func pending(req *wire.OrderRequest, last *wire.OrderResponse, met []string) (*wire.OrderResponse, error) {
	if last != nil {
		return last, nil
	}
	why := "no core answered in time"
	if len(met) > 0 {
		why += ": " + strings.Join(met, ", ")
	}
	if readOnly(req.Verb) {
		return nil, apierror.Errorf(apierror.NoMajority, "%s", why).WithRetryAfter(time.Second)
	}
	return nil, apierror.Errorf(apierror.OutcomePending, "%s; send the order again with its id", why).WithRetryAfter(time.Second)
}

// how says in a word what became of a call.
func how(err error) string {
	switch {
	case port.Refused(err):
		return "refused"
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return "silent"
	}
	return err.Error()
}

func readOnly(verb string) bool { return verb == "get" || verb == "history" || verb == "status" }

// cores returns the known cores: this process first, then those that vote.
func (r *relay) cores() []*wire.Process {
	cores := slices.Clone(r.peers.Cores())
	rank := func(p *wire.Process) int {
		switch {
		case p.Standing != wire.Standing_STANDING_VOTING:
			return 2
		case p.Name != r.name:
			return 1
		}
		return 0
	}
	sort.SliceStable(cores, func(i, j int) bool { return rank(cores[i]) < rank(cores[j]) })
	return cores
}

// inspector answers questions about this process, or finds the process that
// can.
type inspector struct {
	name  string
	peers port.Peers
	own   map[string]func(argument string) (any, bool)
}

// local answers from this process alone.
func (i *inspector) local(ctx context.Context, req *wire.InspectRequest) (*wire.InspectResponse, error) {
	ask, ok := i.own[req.What]
	if !ok {
		return &wire.InspectResponse{Code: uint32(apierror.UnknownPath)}, nil
	}
	found, ok := ask(req.Argument)
	if !ok {
		return &wire.InspectResponse{Code: uint32(apierror.NotFound)}, nil
	}
	body, err := json.Marshal(found)
	if err != nil {
		return nil, err
	}
	return &wire.InspectResponse{Code: uint32(apierror.OK), Body: body}, nil
}

// Inspect answers from this process or, where it keeps nothing under the
// name, from the first other one that does.
func (i *inspector) Inspect(ctx context.Context, what, argument string) (apierror.Code, []byte) {
	req := &wire.InspectRequest{What: what, Argument: argument}
	own, err := i.local(ctx, req)
	if err != nil {
		return apierror.Internal, nil
	}
	if code := apierror.Code(own.Code); code != apierror.NotFound || what != "explain" {
		return code, own.Body
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var others []*wire.Process
	for _, p := range i.peers.Processes() {
		if p.Name != i.name {
			others = append(others, p)
		}
	}
	found := make(chan []byte, len(others))
	for _, p := range others {
		go func() {
			resp, err := i.peers.Client(p.Address).Inspect(ctx, connect.NewRequest(req))
			if err != nil || apierror.Code(resp.Msg.Code) != apierror.OK {
				found <- nil
				return
			}
			found <- resp.Msg.Body
		}()
	}
	for range others {
		if body := <-found; body != nil {
			return apierror.OK, body
		}
	}
	return apierror.NotFound, nil
}
