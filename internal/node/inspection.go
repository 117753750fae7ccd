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

// Names of inspections, as they are requested.
const (
	inspectStatus  = "status"
	inspectPlan    = "plan"
	inspectTally   = "tally"
	inspectExplain = "explain"
)

// remoteInspectTimeout bounds an inspection of the other processes.
const remoteInspectTimeout = time.Second

// errNothingFound means that an inspection found nothing under its argument.
var errNothingFound = errors.New("nothing found")

// inspection returns the JSON form of what the process knows of an argument, or
// errNothingFound.
type inspection func(argument string) (json.RawMessage, error)

// inspectionOf returns an inspection by a function that reports whether it found
// something.
func inspectionOf[T any](find func(argument string) (T, bool)) inspection {
	return func(argument string) (json.RawMessage, error) {
		found, ok := find(argument)
		if !ok {
			return nil, errNothingFound
		}
		return json.Marshal(found)
	}
}

// inspector runs inspections on this process or, for those that only one process can
// answer, on the others.
type inspector struct {
	self        string
	peers       port.Peers
	inspections map[string]inspection // by name
}

// inspectLocal runs an inspection on this process. Its response holds
// apierror.UnknownPath for an unknown name and apierror.NotFound where nothing was
// found.
func (i *inspector) inspectLocal(_ context.Context, req *wire.InspectRequest) (*wire.InspectResponse, error) {
	inspect, known := i.inspections[req.What]
	if !known {
		return &wire.InspectResponse{Code: uint32(apierror.UnknownPath)}, nil
	}
	body, err := inspect(req.Argument)
	if errors.Is(err, errNothingFound) {
		return &wire.InspectResponse{Code: uint32(apierror.NotFound)}, nil
	}
	if err != nil {
		return nil, err
	}
	return &wire.InspectResponse{Code: uint32(apierror.OK), Body: body}, nil
}

// Inspect runs an inspection on this process. An explanation that it doesn't have is
// requested from all other processes, and the first one that is found is returned.
func (i *inspector) Inspect(ctx context.Context, what, argument string) (apierror.Code, []byte) {
	req := &wire.InspectRequest{What: what, Argument: argument}
	local, err := i.inspectLocal(ctx, req)
	if err != nil {
		return apierror.Internal, nil
	}
	if code := apierror.Code(local.Code); code != apierror.NotFound || what != inspectExplain {
		return code, local.Body
	}
	return i.inspectOthers(ctx, req)
}

// inspectOthers runs an inspection on all other processes.
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

// inspectOther returns the body of another process's answer, or nil where it found
// nothing.
func (i *inspector) inspectOther(ctx context.Context, process *wire.Process, req *wire.InspectRequest) []byte {
	resp, err := i.peers.Client(process.Address).Inspect(ctx, connect.NewRequest(req))
	if err != nil || apierror.Code(resp.Msg.Code) != apierror.OK {
		return nil
	}
	return resp.Msg.Body
}
