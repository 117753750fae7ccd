package gateway

import (
	"net/http"
	"slices"
	"strings"

	"stepwick/internal/adapter/upstream"
	"stepwick/internal/port"
)

// hopHeaders concern a single connection and are not forwarded (RFC 9110, 7.6.1).
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

// protectedHeaders are forwarded even where a Connection header names them.
var protectedHeaders = []string{"Host", "Content-Type"}

// dropHopHeaders removes hopHeaders and those that the Connection header names.
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

// target returns the path and query as they were received.
func (q *request) target() string {
	if strings.HasPrefix(q.http.RequestURI, "/") {
		return q.http.RequestURI
	}
	return q.http.URL.RequestURI()
}

// upstreamRequest returns the request to send to a server: the client's, but for
// hop-by-hop headers and what the dialect adds or removes.
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
		Target: q.target(),
		Host:   q.http.Host,
		Header: header,
		Body:   q.body,
		Matches: func(status int, header http.Header) bool {
			return q.gateway.dialect.ReadResponse(status, header).RequestID == requestID
		},
	}
}
