package apierror

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// ErrorBody is the JSON body of every answer that is not OK. RetryAfterMS is
// in milliseconds.
type ErrorBody struct {
	Code         Code        `json:"code"`
	Name         string      `json:"name"`
	Detail       string      `json:"detail,omitempty"`
	Retry        RetryAdvice `json:"retry"`
	RetryAfterMS int64       `json:"retry_after_ms,omitempty"`
	RequestID    string      `json:"request_id,omitempty"`
	Version      uint64      `json:"epoch,omitempty"`
}

// Body returns the JSON form of an error.
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

// WriteJSON writes a JSON answer with its length; it closes nothing.
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

// WriteError writes an error with its status and, where the client may come
// back, Retry-After in whole seconds, rounded up.
func WriteError(w http.ResponseWriter, e *Error, requestID string) {
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	WriteJSON(w, e.Code.Info().Status, e.Body(requestID))
}
