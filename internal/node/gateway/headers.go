package gateway

import (
	"net/http"
	"slices"
	"strings"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/port"
)

// hopHeaders are the headers that are not forwarded: hop-by-hop headers (RFC 9110,
// section 7.6.1), Content-Length and Expect.
var hopHeaders = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Connection",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Content-Length",
	"Expect",
}

// protectedHeaders are forwarded even if a Connection header lists them.
var protectedHeaders = []string{"Host", "Content-Type"}

// dropHopHeaders removes hopHeaders and the headers that the Connection header lists.
func dropHopHeaders(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			name = strings.TrimSpace(name)
			if !slices.Contains(protectedHeaders, http.CanonicalHeaderKey(name)) {
				header.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// requestTarget returns the path and query in the form in which they were received.
func (q *request) requestTarget() string {
	if strings.HasPrefix(q.http.RequestURI, "/") {
		return q.http.RequestURI
	}
	return q.http.URL.RequestURI()
}

// upstreamRequest returns the request to send to a server: the client's request without
// hop-by-hop headers and with the changes of the dialect.
func (q *request) upstreamRequest(server upstream.Server, lastEventID string) *upstream.Request {
	header := q.http.Header.Clone()
	dropHopHeaders(header)
	q.gateway.dialect.SetAttemptHeaders(header, port.AttemptMetadata{
		Server:      server.Name,
		Tenant:      q.tenant,
		TimeLeft:    q.deadline.Sub(q.gateway.clock.Now()),
		Priority:    q.selection.Urgency,
		LastEventID: lastEventID,
	})
	requestID := q.call.ID
	return &upstream.Request{
		Method: q.http.Method,
		Target: q.requestTarget(),
		Host:   q.http.Host,
		Header: header,
		Body:   q.body,
		Matches: func(status int, header http.Header) bool {
			return q.gateway.dialect.ReadResponse(status, header).RequestID == requestID
		},
	}
}
