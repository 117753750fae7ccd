package controlapi

import (
	"encoding/json"
	"strconv"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

// reply is a result code and its JSON body.
type reply struct {
	code apierror.Code
	// retryAfter is how long the client should wait before a retry; zero for no advice.
	retryAfter time.Duration
	body       []byte
}

// errorReply returns the reply for an error. It contains the order's id, if any, so
// that the client can send the order again with the same id.
func errorReply(apiErr *apierror.Error, orderID string) reply {
	body := struct {
		apierror.ErrorBody
		OrderID string `json:"order_id,omitempty"`
	}{apiErr.Body(""), orderID}
	data, err := json.Marshal(body)
	if err != nil {
		data = []byte("null")
	}
	return reply{code: apiErr.Code, retryAfter: apiErr.RetryAfter, body: data}
}

// coreReply returns the reply for a core's response. An error's JSON is forwarded
// unchanged; the JSON of a success gets the field "code" in front.
func coreReply(resp *wire.OrderResponse, orderID string) reply {
	code := apierror.Code(resp.Code)
	if code != apierror.OK {
		var coreError apierror.ErrorBody
		if json.Unmarshal(resp.Body, &coreError) != nil || coreError.Code != code {
			return errorReply(&apierror.Error{Code: code}, orderID)
		}
		retryAfter := time.Duration(coreError.RetryAfterMS) * time.Millisecond
		return reply{code: code, retryAfter: retryAfter, body: resp.Body}
	}
	if len(resp.Body) < 2 || resp.Body[0] != '{' {
		return errorReply(apierror.Errorf(apierror.Internal, "the core's response is not a JSON object"), orderID)
	}
	opening := `{"code":0,`
	if resp.Body[1] == '}' {
		opening = `{"code":0`
	}
	return reply{code: code, body: append([]byte(opening), resp.Body[1:]...)}
}

func (x *exchange) write(result reply) {
	if result.retryAfter > 0 {
		seconds := int64((result.retryAfter + time.Second - 1) / time.Second)
		x.w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	apierror.WriteJSON(x.w, result.code.Info().Status, json.RawMessage(result.body))
	_ = x.responseController.Flush()
	_ = x.responseController.SetWriteDeadline(time.Time{})
}
