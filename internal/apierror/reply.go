package apierror

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ErrorBody is the JSON body of every response whose code is not OK.
type ErrorBody struct {
	Code         Code        `json:"code"`
	Name         string      `json:"name"`
	Detail       string      `json:"detail,omitempty"`
	Retry        RetryAdvice `json:"retry"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	RequestID    string      `json:"request_id,omitempty"`
	Version      uint64      `json:"epoch,omitempty"`
}

// Body returns the response body for an error.
func (e *Error) Body(requestID string) ErrorBody {
	info := e.Code.Info()
	return ErrorBody{
		Code:         e.Code,
		Name:         info.Name,
		Detail:       e.Detail,
		Retry:        info.Retry,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
		RequestID:    requestID,
	}
}

// WriteJSON writes a JSON response with its Content-Length. If the body can't be
// encoded, it writes the code Internal instead.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status, data = http.StatusInternalServerError, []byte(`{"code":5099,"name":"internal","retry":"check"}`)
	}
	data = append(data, '\n')
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// WriteError writes an error with the status of its code. If RetryAfter is set, the
// Retry-After header gives it in whole seconds, rounded up.
func WriteError(w http.ResponseWriter, e *Error, requestID string) {
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	WriteJSON(w, e.Code.Info().Status, e.Body(requestID))
}
