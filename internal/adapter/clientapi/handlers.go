package clientapi

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"stepwick/internal/apierror"
)

// oneShotPrefix is the path before the service of a one-shot call.
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
	x.limitWrite()
	apierror.WriteJSON(x.writer, http.StatusOK, nearest)
	return nil
}

func (x *exchange) parseConnect() (*Connect, *apierror.Error) {
	query, err := url.ParseQuery(x.request.URL.RawQuery)
	if err != nil {
		return nil, apierror.Errorf(apierror.BadField, "the query is malformed")
	}
	connect := &Connect{Head: x.head}
	for name, values := range query {
		if len(values) != 1 || len(values[0]) > maxNameLength {
			return nil, apierror.Errorf(apierror.BadField, "%s is given more than once or over %d bytes", name, maxNameLength)
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
		return apierror.Errorf(apierror.BadField, "a stream needs HTTP/1.1, in which a cut can be told from an end")
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
		writer:       x.writer,
		control:      http.NewResponseController(x.writer),
		requestID:    x.head.ID,
		writeTimeout: x.limits.WriteTimeout,
	}
	x.accepted = true
	apiErr = x.api.handler.Prompt(ctx, prompt, x.stream)
	if apiErr == nil && !x.stream.begun {
		return apierror.Errorf(apierror.Internal, "the stream ended without an event")
	}
	return apiErr
}

func serveOneShot(x *exchange) *apierror.Error {
	if x.request.Method == http.MethodConnect || x.request.Method == http.MethodTrace {
		return apierror.Errorf(apierror.BadMethod, "%s", x.request.Method)
	}
	// The service is cut from the escaped path, so that it may contain a slash.
	below := strings.TrimPrefix(x.request.URL.EscapedPath(), oneShotPrefix)
	service, path, _ := strings.Cut(below, "/")
	service, err := url.PathUnescape(service)
	if err != nil || service == "" || len(service) > maxNameLength {
		return apierror.Errorf(apierror.MissingField, "the path names no service")
	}
	body, apiErr := x.readBody()
	if apiErr != nil {
		return apiErr
	}
	ctx, cancel := x.context(x.head.Deadline)
	defer cancel()
	x.accepted = true
	answer, apiErr := x.api.handler.OneShot(ctx, &OneShot{
		Head:    x.head,
		Service: service,
		Method:  x.request.Method,
		Path:    "/" + path,
		Query:   x.request.URL.RawQuery,
		Header:  EndToEnd(x.request.Header),
		Body:    body,
	})
	if apiErr != nil {
		return apiErr
	}
	x.forwardAnswer(answer)
	return nil
}

// forwardAnswer writes a web server's answer to the caller.
func (x *exchange) forwardAnswer(answer *Answer) {
	header := x.writer.Header()
	for name, values := range EndToEnd(answer.Header) {
		header[name] = values
	}
	header.Set(HeaderServer, answer.Server)
	if header.Get("Content-Type") == "" {
		// A nil value keeps net/http from guessing a type.
		header["Content-Type"] = nil
	}
	isHead := x.request.Method == http.MethodHead
	switch {
	case isHead:
		if length := answer.Header.Get("Content-Length"); length != "" {
			header.Set("Content-Length", length)
		}
	case answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified:
		header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	}
	x.limitWrite()
	x.writer.WriteHeader(answer.Status)
	if !isHead && len(answer.Body) > 0 {
		_, _ = x.writer.Write(answer.Body)
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
