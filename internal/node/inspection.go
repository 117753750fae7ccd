package node

import (
	"context"
	"encoding/json"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/port"
	"stepwick/internal/wire"
)

// Names of inspections in requests.
const (
	inspectStatus  = "status"
	inspectPlan    = "plan"
	inspectTally   = "tally"
	inspectExplain = "explain"
)

// remoteInspectTimeout bounds an inspection that is forwarded to other processes.
const remoteInspectTimeout = time.Second

// errNotFound means that an inspection has no result for its argument.
var errNotFound = errors.New("inspection has no result for the argument")

// inspection returns the result for an argument as JSON, or errNotFound.
type inspection func(argument string) (json.RawMessage, error)

// inspectionOf returns an inspection with the results of lookUp, whose second result
// reports whether there is one.
func inspectionOf[T any](lookUp func(argument string) (T, bool)) inspection {
	return func(argument string) (json.RawMessage, error) {
		value, ok := lookUp(argument)
		if !ok {
			return nil, errNotFound
		}
		return json.Marshal(value)
	}
}

// inspector runs inspections on this process, or on the other processes for those whose
// result a single process holds.
type inspector struct {
	self        string
	peers       port.Peers
	inspections map[string]inspection // by name
}

// inspectLocal runs an inspection on this process. The code of the response is
// apierror.UnknownPath for an unknown inspection and apierror.NotFound if there is no
// result.
func (i *inspector) inspectLocal(_ context.Context, req *wire.InspectRequest) (*wire.InspectResponse, error) {
	inspect, isKnown := i.inspections[req.What]
	if !isKnown {
		return &wire.InspectResponse{Code: uint32(apierror.UnknownPath)}, nil
	}
	body, err := inspect(req.Argument)
	if errors.Is(err, errNotFound) {
		return &wire.InspectResponse{Code: uint32(apierror.NotFound)}, nil
	}
	if err != nil {
		return nil, err
	}
	return &wire.InspectResponse{Code: uint32(apierror.OK), Body: body}, nil
}

// Inspect runs an inspection on this process and returns its code and JSON body. If
// the inspection is "explain" and has no result here, it is run on all other processes
// and the first result is returned.
func (i *inspector) Inspect(ctx context.Context, name, argument string) (apierror.Code, []byte) {
	req := &wire.InspectRequest{What: name, Argument: argument}
	local, err := i.inspectLocal(ctx, req)
	if err != nil {
		return apierror.Internal, nil
	}
	if code := apierror.Code(local.Code); code != apierror.NotFound || name != inspectExplain {
		return code, local.Body
	}
	return i.inspectOthers(ctx, req)
}

// inspectOthers runs an inspection on all other processes and returns the first result.
func (i *inspector) inspectOthers(ctx context.Context, req *wire.InspectRequest) (apierror.Code, []byte) {
	ctx, cancel := context.WithTimeout(ctx, remoteInspectTimeout)
	defer cancel()
	var others []*wire.Process
	for _, process := range i.peers.Processes() {
		if process.Name != i.self {
			others = append(others, process)
		}
	}
	bodies := make(chan []byte, len(others))
	for _, process := range others {
		go func() { bodies <- i.inspectOther(ctx, process, req) }()
	}
	for range others {
		if body := <-bodies; body != nil {
			return apierror.OK, body
		}
	}
	return apierror.NotFound, nil
}

// inspectOther runs an inspection on another process. It returns nil if the call failed
// or there is no result.
func (i *inspector) inspectOther(ctx context.Context, process *wire.Process, req *wire.InspectRequest) []byte {
	resp, err := i.peers.Client(process.Address).Inspect(ctx, connect.NewRequest(req))
	if err != nil || apierror.Code(resp.Msg.Code) != apierror.OK {
		return nil
	}
	return resp.Msg.Body
}
