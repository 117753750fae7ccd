package clientapi

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
)

// oneShotPrefix precedes the service in the path of a one-shot call.
const oneShotPrefix = "/v1/call/"

func serveConnect(x *exchange) *apierror.Error {
	connect, apiErr := x.parseConnect()
	if apiErr != nil {
		return apiErr
	}
	ctx, cancel := x.context(x.head.Deadline)
	defer cancel()
	nearest, apiErr := x.api.handler.Connect(ctx, connect)
	if apiErr != nil {
		return apiErr
	}
	x.setWriteDeadline()
	apierror.WriteJSON(x.writer, http.StatusOK, nearest)
	return nil
}

func (x *exchange) parseConnect() (*Connect, *apierror.Error) {
	query, err := url.ParseQuery(x.request.URL.RawQuery)
	if err != nil {
		return nil, apierror.Errorf(apierror.BadField, "malformed query: %v", err)
	}
	connect := &Connect{Head: x.head}
	for name, values := range query {
		if len(values) != 1 || len(values[0]) > maxNameLength {
			return nil, apierror.Errorf(apierror.BadField, "query parameter %s is repeated or longer than %d bytes", name, maxNameLength)
		}
		switch name {
		case "service":
			connect.Service = values[0]
		case "region":
			connect.Region = values[0]
		case "zone":
			connect.Zone = values[0]
		default:
			return nil, apierror.Errorf(apierror.UnknownField, "%s", name)
		}
	}
	return connect, nil
}

func servePrompt(x *exchange) *apierror.Error {
	if !x.request.ProtoAtLeast(1, 1) {
		return apierror.Errorf(apierror.BadField, "a stream requires HTTP/1.1: with HTTP/1.0 an aborted stream looks complete")
	}
	data, apiErr := x.readBody()
	if apiErr != nil {
		return apiErr
	}
	prompt, apiErr := x.limits.parsePrompt(x.head, data)
	if apiErr != nil {
		return apiErr
	}
	ctx, cancel := x.context(prompt.Deadline)
	defer cancel()
	x.stream = &Stream{
		writer:             x.writer,
		responseController: http.NewResponseController(x.writer),
		requestID:          x.head.ID,
		writeTimeout:       x.limits.WriteTimeout,
	}
	x.skipRejected = true
	apiErr = x.api.handler.Prompt(ctx, prompt, x.stream)
	if apiErr == nil && !x.stream.begun {
		return apierror.Errorf(apierror.Internal, "the handler ended the stream without an event")
	}
	return apiErr
}

func serveOneShot(x *exchange) *apierror.Error {
	if x.request.Method == http.MethodConnect || x.request.Method == http.MethodTrace {
		return apierror.Errorf(apierror.BadMethod, "method %s is not allowed", x.request.Method)
	}
	// The path is split while it is escaped, so that a service may contain a slash.
	servicePath := strings.TrimPrefix(x.request.URL.EscapedPath(), oneShotPrefix)
	service, path, _ := strings.Cut(servicePath, "/")
	service, err := url.PathUnescape(service)
	if err != nil || service == "" || len(service) > maxNameLength {
		return apierror.Errorf(apierror.MissingField, "the path has no service name of at most %d bytes", maxNameLength)
	}
	body, apiErr := x.readBody()
	if apiErr != nil {
		return apiErr
	}
	ctx, cancel := x.context(x.head.Deadline)
	defer cancel()
	x.skipRejected = true
	response, apiErr := x.api.handler.OneShot(ctx, &OneShot{
		Head:    x.head,
		Service: service,
		Method:  x.request.Method,
		Path:    "/" + path,
		Query:   x.request.URL.RawQuery,
		Header:  EndToEndHeaders(x.request.Header),
		Body:    body,
	})
	if apiErr != nil {
		return apiErr
	}
	x.forwardResponse(response)
	return nil
}

// forwardResponse writes a web server's response to the client.
func (x *exchange) forwardResponse(response *Response) {
	header := x.writer.Header()
	for name, values := range EndToEndHeaders(response.Header) {
		header[name] = values
	}
	header.Set(HeaderServer, response.Server)
	if header.Get("Content-Type") == "" {
		// A nil value prevents net/http from detecting a type.
		header["Content-Type"] = nil
	}
	isHead := x.request.Method == http.MethodHead
	switch {
	case isHead:
		if length := response.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case response.Status != http.StatusNoContent && response.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	x.setWriteDeadline()
	x.writer.WriteHeader(response.Status)
	if !isHead && len(response.Body) > 0 {
		_, _ = x.writer.Write(response.Body)
	}
}

type readyBody struct {
	Ready    bool   `json:"ready"`
	Standing string `json:"standing,omitempty"`
}

func serveReady(x *exchange) *apierror.Error {
	if apiErr := x.api.handler.Ready(); apiErr != nil {
		return apiErr
	}
	apierror.WriteJSON(x.writer, http.StatusOK, readyBody{Ready: true, Standing: x.api.handler.Standing()})
	return nil
}

type healthBody struct {
	Up bool `json:"up"`
}

func serveHealth(x *exchange) *apierror.Error {
	apierror.WriteJSON(x.writer, http.StatusOK, healthBody{Up: true})
	return nil
}
