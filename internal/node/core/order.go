package core

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"

	"stepwick/internal/core/grant"
	"stepwick/internal/core/sheet"
	"stepwick/internal/events"
	"stepwick/internal/kernel"
	"stepwick/internal/wire"
)

// Verbs that read and change nothing; the others are those of sheet's orders.
const (
	verbGet     = "get"
	verbHistory = "history"
	verbStatus  = "status"
)

const comeBack = kernel.Second

// orderBody is the JSON body of any order.
type orderBody struct {
	OrderID  string          `json:"order_id"`
	Base     *uint64         `json:"base"`
	Sheet    json.RawMessage `json:"sheet"`
	Changes  []sheet.Change  `json:"changes"`
	Locality string          `json:"locality"`
	Name     string          `json:"name"`
	Names    []string        `json:"names"`
}

type orderAnswer struct {
	Epoch      uint64 `json:"epoch"`
	SheetEpoch uint64 `json:"sheet_epoch"`
	InForce    bool   `json:"in_force"`
	Confirmed  int    `json:"confirmed"`
	Roster     int    `json:"roster"`
	OrderID    string `json:"order_id"`
}

type faultAnswer struct {
	kernel.FaultBody
	OrderID string `json:"order_id,omitempty"`
}

type sheetAnswer struct {
	Epoch      uint64            `json:"epoch"`
	SheetEpoch uint64            `json:"sheet_epoch"`
	Sheet      *sheet.Sheet      `json:"sheet"`
	Evacuated  map[string]uint64 `json:"evacuated,omitempty"`
}

type historyAnswer struct {
	Epoch      uint64         `json:"epoch"`
	SheetEpoch uint64         `json:"sheet_epoch"`
	History    []sheet.Record `json:"history"`
}

// Order carries out an operator's call. Orders are acknowledged when they are
// in force; if that can't be had in time the answer is OutcomePending, and the
// same order sent again to any core gets the same result. Reads are answered
// by a majority or not at all. Faults come as an answer, not as an error.
func (c *Core) Order(ctx kernel.Context, req *wire.OrderRequest) (*wire.OrderResponse, error) {
	wait := c.config.OrderWait
	if req.WaitMs > 0 {
		wait = min(kernel.Duration(req.WaitMs)*kernel.Millisecond, 3*c.config.OrderWait)
	}
	ctx, cancel := kernel.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case c.orders <- struct{}{}:
		defer func() { <-c.orders }()
	default:
		return faulty(kernel.Decline(kernel.PendingFull, "%d orders are under way", orderBound).After(comeBack), 0, ""), nil
	}
	switch req.Verb {
	case verbGet, verbHistory:
		return c.read(ctx, req.Verb), nil
	case verbStatus:
		return c.status(ctx)
	}
	command, fault := c.parse(req)
	if fault != nil {
		c.log.Emit(events.OrderDeclined, "verb", req.Verb, "operator", req.Operator, "code", fault.Code)
		return faulty(fault, c.agreement.Current().Epoch, ""), nil
	}
	return c.carry(ctx, req, command), nil
}

func (c *Core) read(ctx kernel.Context, verb string) *wire.OrderResponse {
	state, err := c.agreement.ReadMajority(ctx)
	if err != nil {
		return faulty(unread(err), 0, "")
	}
	if verb == verbHistory {
		return answered(historyAnswer{Epoch: state.Epoch, SheetEpoch: state.SheetEpoch, History: state.History}, state.Epoch)
	}
	return answered(sheetAnswer{Epoch: state.Epoch, SheetEpoch: state.SheetEpoch, Sheet: state.Sheet, Evacuated: state.Evacuated}, state.Epoch)
}

// unread says that a majority could not be asked; a fault of this core's own
// keeps its code.
func unread(err error) *kernel.Fault {
	fault := kernel.AsFault(err)
	switch fault.Code {
	case kernel.CoreBlank, kernel.CoreAmnesiac, kernel.DiskFull, kernel.NoMajority:
		return fault.After(comeBack)
	}
	return kernel.Decline(kernel.NoMajority, "no majority of the cores answered in time").After(comeBack)
}

// carry brings a command through its ballot and waits until it is in force.
func (c *Core) carry(ctx kernel.Context, req *wire.OrderRequest, command sheet.Command) *wire.OrderResponse {
	order, _ := sheet.OrderOf(command)
	id := order.OrderID
	if earlier, known := c.agreement.Current().Applied(id); known && earlier.Digest == order.Digest {
		c.log.Emit(events.OrderRepeated, "order", id, "epoch", earlier.Epoch)
		return c.await(ctx, sheet.Result{Epoch: earlier.Epoch, SheetEpoch: earlier.SheetEpoch}, id)
	}
	if result, done := c.foretell(ctx, command); done {
		return c.declined(req, result, id)
	}
	c.log.Emit(events.OrderTaken, "order", id, "verb", req.Verb, "operator", req.Operator)
	_, result, err := c.agreement.Propose(ctx, sheet.Encode(command))
	if err != nil {
		fault := unread(err)
		if ctx.Err() != nil {
			fault = kernel.Decline(kernel.OutcomePending, "the ballot has not ended; send the order again with its id").After(comeBack)
		}
		c.log.Emit(events.OrderPending, "order", id, "waiting", fault.Detail)
		return faulty(fault, 0, id)
	}
	if result.Code != kernel.OK {
		return c.declined(req, result, id)
	}
	c.log.Emit(events.OrderChosen, "order", id, "epoch", result.Epoch)
	return c.await(ctx, result, id)
}

// foretell tries a command on the learned state, and where that declines it,
// on one read from a majority: what can't be accepted costs no ballot and
// leaves nothing behind.
func (c *Core) foretell(ctx kernel.Context, command sheet.Command) (sheet.Result, bool) {
	state := c.agreement.Current()
	if _, result := command.Apply(state, state.Epoch+1); result.Code == kernel.OK {
		return result, false
	}
	state, err := c.agreement.ReadMajority(ctx)
	if err != nil {
		return sheet.Result{}, false
	}
	_, result := command.Apply(state, state.Epoch+1)
	if result.Code != kernel.OK && result.Code != kernel.BaseMoved {
		result.Epoch = state.Epoch
	}
	return result, result.Code != kernel.OK
}

func (c *Core) declined(req *wire.OrderRequest, result sheet.Result, id string) *wire.OrderResponse {
	event := events.OrderDeclined
	if result.Code == kernel.BaseMoved {
		event = events.OrderLost
	}
	c.log.Emit(event, "order", id, "verb", req.Verb, "operator", req.Operator, "code", result.Code, "epoch", result.Epoch)
	return faulty(result.Fault(), result.Epoch, id)
}

// await asks all cores for their grant views until the epoch is in force.
func (c *Core) await(ctx kernel.Context, result sheet.Result, id string) *wire.OrderResponse {
	why := "no core answered"
	for {
		state := c.agreement.Current()
		question := grant.Question{Epoch: result.Epoch, Voters: len(c.agreement.Voters()),
			Views: c.views(ctx, result.Epoch), Roster: state.Roster, Prior: state.PriorRoster}
		met, reason := grant.InForce(question)
		if met {
			count := grant.Confirmations(question)
			c.log.Emit(events.OrderAcknowledged, "order", id, "epoch", result.Epoch, "confirmed", count.Confirmed)
			return answered(orderAnswer{Epoch: result.Epoch, SheetEpoch: result.SheetEpoch, InForce: true,
				Confirmed: count.Confirmed, Roster: len(state.Roster), OrderID: id}, result.Epoch)
		}
		if ctx.Err() == nil {
			why = reason
		}
		select {
		case <-ctx.Done():
			c.log.Emit(events.OrderPending, "order", id, "epoch", result.Epoch, "waiting", why)
			fault := kernel.Decline(kernel.OutcomePending, "agreed at epoch %d and not known to be in force: %s; send the order again with its id", result.Epoch, why)
			return faulty(fault.After(comeBack), result.Epoch, id)
		case <-c.clock.After(c.config.AckPace):
		}
	}
}

// parse reads an order's body; what it declines is never put to a ballot.
func (c *Core) parse(req *wire.OrderRequest) (sheet.Command, *kernel.Fault) {
	if req.Operator == "" {
		return nil, kernel.Decline(kernel.OperatorUnknown, "the order names no operator")
	}
	if len(req.Body) > c.config.SheetMax {
		return nil, kernel.Decline(kernel.SheetTooLarge, "%d bytes; the bound is %d", len(req.Body), c.config.SheetMax)
	}
	var body orderBody
	if fault := decode(req.Body, &body); fault != nil {
		return nil, fault
	}
	order := sheet.Order{OrderID: body.OrderID, Operator: req.Operator, AtMS: c.config.FleetNow().UnixMilli()}
	if len(body.OrderID) > 256 {
		return nil, kernel.Decline(kernel.BadField, "order_id is longer than 256 bytes")
	}
	switch req.Verb {
	case sheet.VerbPut, sheet.VerbPatch:
		if body.Base == nil {
			return nil, kernel.Decline(kernel.MissingField, "base")
		}
		order.Base = *body.Base
	}
	switch req.Verb {
	case sheet.VerbPut:
		if len(body.Sheet) == 0 {
			return nil, kernel.Decline(kernel.MissingField, "sheet")
		}
		parsed, fault := sheet.ParseSheet(body.Sheet, c.config.SheetMax)
		if fault != nil {
			return nil, fault
		}
		return sheet.PutSheet{Order: order, Sheet: parsed}, nil
	case sheet.VerbPatch:
		if len(body.Changes) == 0 {
			return nil, kernel.Decline(kernel.MissingField, "changes")
		}
		return sheet.PatchSheet{Order: order, Changes: body.Changes}, nil
	case sheet.VerbEvacuate, sheet.VerbRestore:
		if body.Locality == "" {
			return nil, kernel.Decline(kernel.MissingField, "locality")
		}
		if req.Verb == sheet.VerbEvacuate {
			return sheet.Evacuate{Order: order, Locality: body.Locality}, nil
		}
		return sheet.Restore{Order: order, Locality: body.Locality}, nil
	case sheet.VerbRemove:
		names := body.Names
		if body.Name != "" {
			names = append(names, body.Name)
		}
		if len(names) == 0 {
			return nil, kernel.Decline(kernel.MissingField, "names")
		}
		return sheet.RemoveMembers{Order: order, Names: names, By: req.Operator}, nil
	}
	return nil, kernel.Decline(kernel.UnknownPath, "no verb %.40q", req.Verb)
}

func decode(data []byte, into any) *kernel.Fault {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		if strings.HasPrefix(err.Error(), "json: unknown field") {
			return kernel.Decline(kernel.UnknownField, "%.200s", strings.TrimPrefix(err.Error(), "json: "))
		}
		return kernel.Decline(kernel.BadJSON, "%.200s", err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return kernel.Decline(kernel.BadJSON, "more than one JSON value")
	}
	return nil
}

func answered(body any, epoch uint64) *wire.OrderResponse {
	data, err := json.Marshal(body)
	if err != nil {
		return faulty(kernel.Decline(kernel.Internal, "%v", err), epoch, "")
	}
	return &wire.OrderResponse{Code: uint32(kernel.OK), Body: data, Epoch: epoch}
}

func faulty(fault *kernel.Fault, epoch uint64, id string) *wire.OrderResponse {
	body := faultAnswer{FaultBody: fault.Body(""), OrderID: id}
	body.Epoch = epoch
	data, err := json.Marshal(body)
	if err != nil {
		data = nil
	}
	return &wire.OrderResponse{Code: uint32(fault.Code), Body: data, Epoch: epoch}
}
