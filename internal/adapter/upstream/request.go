package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
)

// Request is what is sent to a server.
type Request struct {
	Method string
	Target string // path and query as they were received
	Host   string
	// Header holds neither the host nor the length of the body, which are written
	// from Host and Body.
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to the request; nil accepts any.
	Matches func(status int, header http.Header) bool
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the request in one write, so that it is not spread over packets
// without need.
func (c *conn) write(request *Request) error {
	buffer := writeBuffers.Get().(*bytes.Buffer)
	defer writeBuffers.Put(buffer)
	buffer.Reset()
	if err := request.encode(buffer); err != nil {
		return err
	}
	_, err := c.raw.Write(buffer.Bytes())
	return err
}

// encode appends the request in HTTP/1.1 to the buffer.
func (r *Request) encode(buffer *bytes.Buffer) error {
	buffer.WriteString(r.Method)
	buffer.WriteByte(' ')
	buffer.WriteString(r.Target)
	buffer.WriteString(" HTTP/1.1\r\nHost: ")
	buffer.WriteString(r.Host)
	buffer.WriteString("\r\n")
	if err := r.Header.Write(buffer); err != nil {
		return err
	}
	if r.statesLength() {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(r.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return nil
}

// statesLength reports whether the request needs a Content-Length: one with a body,
// and one without whose method expects a body (RFC 9110, 8.6).
func (r *Request) statesLength() bool {
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return len(r.Body) > 0
}
