package upstream

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
)

// Request is a request to a server.
type Request struct {
	Method string
	Target string // path and query as received from the client, unparsed
	Host   string
	// Header must contain neither Host nor Content-Length, which are written from the
	// fields Host and Body.
	Header http.Header
	Body   []byte
	// Matches reports whether a response belongs to the request; nil accepts any
	// response.
	Matches func(status int, header http.Header) bool
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// write sends the request in a single write, so that it is not split into more packets
// than necessary.
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

// encode appends the request in HTTP/1.1 format to the buffer.
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
	if r.needsContentLength() {
		buffer.WriteString("Content-Length: ")
		buffer.WriteString(strconv.Itoa(len(r.Body)))
		buffer.WriteString("\r\n")
	}
	buffer.WriteString("\r\n")
	buffer.Write(r.Body)
	return nil
}

// needsContentLength reports whether the request needs a Content-Length header: it has
// a body, or its method anticipates one (RFC 9110, section 8.6).
func (r *Request) needsContentLength() bool {
	switch r.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return len(r.Body) > 0
}
