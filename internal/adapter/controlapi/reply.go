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
	// retryAfter is when the call should be retried; zero for none.
	retryAfter time.Duration
	body       []byte
}

// errorReply returns the reply for an error, with the order's id where there is
// one, so that the order can be sent again under it.
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

// coreReply returns the reply for a core's response. The core's JSON is
// forwarded unchanged, with the code in front where it has none.
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
		return errorReply(apierror.Errorf(apierror.Internal, "the core's answer has no body"), orderID)
	}
	opening := `{"code":0,`
	if resp.Body[1] == '}' {
		opening = `{"code":0`
	}
	return reply{code: code, body: append([]byte(opening), resp.Body[1:]...)}
}

func (x *exchange) write(answer reply) {
	if answer.retryAfter > 0 {
		seconds := int64((answer.retryAfter + time.Second - 1) / time.Second)
		x.w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	apierror.WriteJSON(x.w, answer.code.Info().Status, json.RawMessage(answer.body))
	_ = x.control.Flush()
	_ = x.control.SetWriteDeadline(time.Time{})
}
