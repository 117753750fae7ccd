package kernel

import (
	"encoding/json"
	"net/http"
	"strconv"
)

// FaultBody is the JSON body of every answer that is not OK. RetryAfterMS is
// in milliseconds.
type FaultBody struct {
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Detail       string `json:"detail,omitempty"`
	Retry        Retry  `json:"retry"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id,omitempty"`
	Epoch        uint64 `json:"epoch,omitempty"`
}

// Body returns the JSON form of a fault.
func (f *Fault) Body(requestID string) FaultBody {
	row := f.Code.Row()
	return FaultBody{Code: f.Code, Name: row.Name, Detail: f.Detail, Retry: row.Retry,
		RetryAfterMS: f.RetryAfter.Milliseconds(), RequestID: requestID}
}

// Reply writes a JSON answer with its length; it closes nothing.
func Reply(w http.ResponseWriter, status int, body any) {
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

// ReplyFault writes a fault with its status and, where the client may come
// back, Retry-After in whole seconds, rounded up.
func ReplyFault(w http.ResponseWriter, f *Fault, requestID string) {
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(int64((f.RetryAfter+Second-1)/Second), 10))
	}
	Reply(w, f.Code.Row().Status, f.Body(requestID))
}
