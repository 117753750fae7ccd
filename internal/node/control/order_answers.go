package control

import (
	"encoding/json"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

// The bodies of responses to operators. docs/API.md defines their JSON form.

// confirmedBody is the response to an order that is in force.
type confirmedBody struct {
	Version      uint64 `json:"epoch"`
	SheetVersion uint64 `json:"sheet_epoch"`
	InForce      bool   `json:"in_force"`
	Confirmed    int    `json:"confirmed"`
	Roster       int    `json:"roster"`
	OrderID      string `json:"order_id"`
}

// errorBody is the response to an order or read that was rejected, or to an order
// whose outcome is unknown.
type errorBody struct {
	apierror.ErrorBody
	OrderID string `json:"order_id,omitempty"`
}

// sheetBody is the response to a read of the sheet.
type sheetBody struct {
	Version      uint64            `json:"epoch"`
	SheetVersion uint64            `json:"sheet_epoch"`
	Revision     uint64            `json:"revision,omitempty"`
	Sheet        *sheet.Sheet      `json:"sheet"`
	Evacuated    map[string]uint64 `json:"evacuated,omitempty"`
}

// historyBody is the response to a read of the history of orders.
type historyBody struct {
	Version      uint64                `json:"epoch"`
	SheetVersion uint64                `json:"sheet_epoch"`
	History      []statemachine.Record `json:"history"`
}

func okResponse(body any, version uint64) *wire.OrderResponse {
	data, err := json.Marshal(body)
	if err != nil {
		return errorResponse(apierror.Errorf(apierror.Internal, "encode the response as JSON: %v", err), version, "")
	}
	return &wire.OrderResponse{Code: uint32(apierror.OK), Body: data, Epoch: version}
}

func errorResponse(apiErr *apierror.Error, version uint64, orderID string) *wire.OrderResponse {
	body := errorBody{ErrorBody: apiErr.Body(""), OrderID: orderID}
	body.Version = version
	data, err := json.Marshal(body)
	if err != nil {
		data = nil
	}
	return &wire.OrderResponse{Code: uint32(apiErr.Code), Body: data, Epoch: version}
}
