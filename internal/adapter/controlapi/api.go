package controlapi

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/wire"
)

// Orders carries operators' orders and reads to a core.
type Orders interface {
	Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error)
}

// Inspector answers questions from what this process holds, with a JSON body.
type Inspector interface {
	Inspect(ctx context.Context, what, argument string) (apierror.Code, []byte)
}

// Config of the API. Operators are NAME:SHA256HEX each. SheetMax bounds the body
// of a put or patch in bytes, BodyTimeout its arrival. OrderWait bounds a call
// at the cores, which are told to answer a sixteenth sooner. OrdersMax and
// ReadsMax bound the calls under way. Setting checks run-time settings.
type Config struct {
	From        string
	Operators   []string
	SheetMax    int64
	BodyTimeout time.Duration
	OrderWait   time.Duration
	OrdersMax   int
	ReadsMax    int
	Setting     func(name, value string) error
	NewID       func() string
}

// API answers operators below /v1/control/.
type API struct {
	config    Config
	operators []operator
	orders    Orders
	inspector Inspector
	clock     clock.Clock
	log       events.Log
	ordering  chan struct{}
	reading   chan struct{}
}

type operator struct {
	name string
	hash [sha256.Size]byte
}

// New returns the API. It panics on an entry of the operators that the settings
// should have refused.
func New(config Config, orders Orders, inspector Inspector, clock clock.Clock, log events.Log) *API {
	config.SheetMax = or(config.SheetMax, 16<<20)
	config.BodyTimeout = or(config.BodyTimeout, 5*time.Second)
	config.OrderWait = or(config.OrderWait, 8*time.Second)
	config.OrdersMax = or(config.OrdersMax, 16)
	config.ReadsMax = or(config.ReadsMax, 64)
	if config.NewID == nil {
		config.NewID = newID
	}
	a := &API{config: config, orders: orders, inspector: inspector, clock: clock, log: log,
		ordering: make(chan struct{}, config.OrdersMax), reading: make(chan struct{}, config.ReadsMax)}
	for i, entry := range config.Operators {
		a.operators = append(a.operators, mustOperator(i, entry))
	}
	return a
}

func or[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

func mustOperator(i int, entry string) operator {
	name, text, _ := strings.Cut(entry, ":")
	o := operator{name: name}
	raw, err := hex.DecodeString(text)
	if name == "" || err != nil || copy(o.hash[:], raw) != sha256.Size || len(raw) != sha256.Size {
		panic(errors.Errorf("operator %d is not NAME:SHA256HEX", i+1))
	}
	return o
}

func newID() string {
	var raw [12]byte
	_, _ = rand.Read(raw[:])
	return "order-" + hex.EncodeToString(raw[:])
}

type exchange struct {
	api      *API
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	call     *Call
	operator string
	argument string
	body     []byte
}

// answer is a result code and its JSON body.
type answer struct {
	code       apierror.Code
	retryAfter time.Duration
	body       []byte
}

// ServeHTTP answers one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{api: a, w: w, r: r, control: http.NewResponseController(w)}
	_ = x.control.SetWriteDeadline(in(a.config.BodyTimeout + a.config.OrderWait + a.config.BodyTimeout))
	result, apiErr := x.serve()
	if apiErr != nil {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}
		result = refused(apiErr, "")
	}
	x.write(result)
}

func (x *exchange) serve() (answer, *apierror.Error) {
	if x.r.ContentLength != 0 {
		_ = x.control.SetReadDeadline(in(x.api.config.BodyTimeout))
	}
	call, argument, apiErr := find(x.r.Method, x.r.URL.Path)
	if apiErr != nil {
		if apiErr.Code == apierror.BadMethod {
			x.w.Header().Set("Allow", argument)
		}
		return answer{}, apiErr
	}
	x.call, x.argument = call, argument
	if apiErr := x.authorize(); apiErr != nil {
		return answer{}, apiErr
	}
	if apiErr := x.query(); apiErr != nil {
		return answer{}, apiErr
	}
	slots := x.api.reading
	if call.Body != NoBody {
		slots = x.api.ordering
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		return answer{}, apierror.Errorf(apierror.QueueFull, "%d calls are under way", cap(slots)).WithRetryAfter(time.Second)
	}
	if apiErr := x.readBody(); apiErr != nil {
		return answer{}, apiErr
	}
	return call.handle(x), nil
}

// authorize finds the operator by a key, comparing it with every one's in
// constant time.
func (x *exchange) authorize() *apierror.Error {
	given := x.r.Header.Values("Authorization")
	key, bearer := "", false
	if len(given) == 1 {
		key, bearer = strings.CutPrefix(given[0], "Bearer ")
	}
	if key = strings.TrimSpace(key); !bearer || key == "" {
		return apierror.Errorf(apierror.MissingKey, "send one Authorization: Bearer OPERATOR-KEY")
	}
	hash := sha256.Sum256([]byte(key))
	for _, o := range x.api.operators {
		if subtle.ConstantTimeCompare(o.hash[:], hash[:]) == 1 {
			x.operator = o.name
		}
	}
	if x.operator == "" {
		x.api.log.Emit(events.OperatorRefused, "from", x.r.RemoteAddr, "path", x.call.Path)
		return apierror.Errorf(apierror.OperatorUnknown, "")
	}
	return nil
}

func (x *exchange) query() *apierror.Error {
	for name, values := range x.r.URL.Query() {
		if name != x.call.Query || len(values) != 1 {
			return apierror.Errorf(apierror.BadField, "the query's %.40q is unknown or given twice", name)
		}
		x.argument = values[0]
	}
	return nil
}

// readBody reads at most the call's bound within the bound of time.
func (x *exchange) readBody() *apierror.Error {
	if x.call.Body == NoBody {
		if x.r.ContentLength != 0 {
			return apierror.Errorf(apierror.BadField, "the call takes no body")
		}
		return nil
	}
	bound, tooLarge := int64(smallBody), apierror.BodyTooLarge
	if x.call.Body == SheetBody {
		bound, tooLarge = x.api.config.SheetMax, apierror.SheetTooLarge
	}
	if x.r.ContentLength > bound {
		return apierror.Errorf(tooLarge, "%d bytes; the bound is %d", x.r.ContentLength, bound)
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, bound))
	var over *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &over):
		return apierror.Errorf(tooLarge, "the bound is %d bytes", bound)
	case errors.As(err, &network) && network.Timeout():
		return apierror.Errorf(apierror.SlowBody, "the body did not arrive within %s", x.api.config.BodyTimeout)
	case err != nil:
		return apierror.Errorf(apierror.BadJSON, "the body is not whole")
	}
	x.body = body
	_ = x.control.SetReadDeadline(time.Time{})
	return nil
}

func (x *exchange) relayed(id string, code apierror.Code, took time.Duration) {
	x.api.log.Emit(events.OrderRelayed, "order", id, "verb", x.call.Verb, "operator", x.operator, "code", code, "took", took)
}

func (x *exchange) write(a answer) {
	if a.retryAfter > 0 {
		x.w.Header().Set("Retry-After", strconv.FormatInt(int64((a.retryAfter+time.Second-1)/time.Second), 10))
	}
	apierror.WriteJSON(x.w, a.code.Info().Status, json.RawMessage(a.body))
	_ = x.control.Flush()
	_ = x.control.SetWriteDeadline(time.Time{})
}

// refused is the answer of a fault, with the order's id where there is one, so
// that the order can be sent again under it.
func refused(apiErr *apierror.Error, id string) answer {
	body := struct {
		apierror.ErrorBody
		OrderID string `json:"order_id,omitempty"`
	}{apiErr.Body(""), id}
	data, err := json.Marshal(body)
	if err != nil {
		data = []byte("null")
	}
	return answer{code: apiErr.Code, retryAfter: apiErr.RetryAfter, body: data}
}

// answered is the answer that a core gave. A core's JSON is passed on whole,
// with the code in front where it gave none.
func answered(resp *wire.OrderResponse, id string) answer {
	code := apierror.Code(resp.Code)
	if code != apierror.OK {
		var told apierror.ErrorBody
		if json.Unmarshal(resp.Body, &told) != nil || told.Code != code {
			return refused(&apierror.Error{Code: code}, id)
		}
		return answer{code: code, retryAfter: time.Duration(told.RetryAfterMS) * time.Millisecond, body: resp.Body}
	}
	if len(resp.Body) < 2 || resp.Body[0] != '{' {
		return refused(apierror.Errorf(apierror.Internal, "the core's answer has no body"), id)
	}
	body := append([]byte(`{"code":0`), resp.Body[1:]...)
	if resp.Body[1] != '}' {
		body = append([]byte(`{"code":0,`), resp.Body[1:]...)
	}
	return answer{code: code, body: body}
}

// withID returns an order's body with its id in it.
func withID(body []byte, id string) ([]byte, *apierror.Error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, apierror.Errorf(apierror.BadJSON, "%v", err)
	}
	var given string
	if json.Unmarshal(fields["order_id"], &given) == nil && given == id {
		return body, nil
	}
	quoted, err := json.Marshal(id)
	if err != nil {
		return nil, apierror.From(err)
	}
	fields["order_id"] = quoted
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, apierror.From(err)
	}
	return data, nil
}

func in(d time.Duration) time.Time { return clock.System().Now().Add(d) }
