package controlapi

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
	"stepwick/internal/events"
	"stepwick/internal/wire"

	"github.com/pkg/errors"
)

// OrderClient forwards operators' orders and reads to a core.
type OrderClient interface {
	Order(ctx context.Context, req *wire.OrderRequest) (*wire.OrderResponse, error)
}

// Inspector answers questions about this process from its own state, with a
// JSON body. What is the verb of a call, and argument its parameter or empty.
type Inspector interface {
	Inspect(ctx context.Context, what, argument string) (apierror.Code, []byte)
}

// Defaults of Config.
const (
	defaultMaxSheetBytes = 16 << 20
	defaultBodyTimeout   = 5 * time.Second
	defaultOrderTimeout  = 8 * time.Second
	defaultMaxOrders     = 16
	defaultMaxReads      = 64
)

// Config of the API. A field that is zero or below has its default.
type Config struct {
	// NodeName is this process's name, which cores see as the sender.
	NodeName string
	// Operators are the operators' keys, each as NAME:SHA256HEX.
	Operators []string
	// MaxSheetBytes bounds the body of a put or patch; by default 16 MiB.
	MaxSheetBytes int64
	// BodyTimeout bounds the arrival of a body; by default 5 s.
	BodyTimeout time.Duration
	// OrderTimeout bounds a call at the cores; by default 8 s.
	OrderTimeout time.Duration
	// MaxOrders bounds the calls with a body that are in flight; by default 16.
	MaxOrders int
	// MaxReads bounds the calls without a body that are in flight; by default 64.
	MaxReads int
	// ValidateSetting checks run-time settings; nil accepts all.
	ValidateSetting func(name, value string) error
	// NewOrderID returns an id for an order that has none; by default a random
	// one.
	NewOrderID func() string
}

// API answers operators below /v1/control/. It is safe for concurrent use.
type API struct {
	config    Config
	operators []operator
	orders    OrderClient
	inspector Inspector
	clock     clock.Clock
	log       events.Log
	// orderSlots and readSlots hold one token for each call in flight.
	orderSlots chan struct{}
	readSlots  chan struct{}
}

// operator is a person or program that may give orders.
type operator struct {
	name    string
	keyHash [sha256.Size]byte
}

// New returns the API. It panics on a malformed entry of the operators, which
// is a programmer's error: the settings' checks reject those at start-up.
func New(config Config, orders OrderClient, inspector Inspector, clock clock.Clock, log events.Log) *API {
	config.MaxSheetBytes = positiveOr(config.MaxSheetBytes, defaultMaxSheetBytes)
	config.BodyTimeout = positiveOr(config.BodyTimeout, defaultBodyTimeout)
	config.OrderTimeout = positiveOr(config.OrderTimeout, defaultOrderTimeout)
	config.MaxOrders = positiveOr(config.MaxOrders, defaultMaxOrders)
	config.MaxReads = positiveOr(config.MaxReads, defaultMaxReads)
	if config.NewOrderID == nil {
		config.NewOrderID = randomOrderID
	}
	api := &API{
		config:     config,
		orders:     orders,
		inspector:  inspector,
		clock:      clock,
		log:        log,
		orderSlots: make(chan struct{}, config.MaxOrders),
		readSlots:  make(chan struct{}, config.MaxReads),
	}
	for i, entry := range config.Operators {
		api.operators = append(api.operators, mustParseOperator(i, entry))
	}
	return api
}

// positiveOr returns the value if it is above zero, otherwise the fallback.
func positiveOr[T int | int64 | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// mustParseOperator parses the entry at an index, or panics without repeating
// it, since it may contain a key.
func mustParseOperator(index int, entry string) operator {
	name, hexHash, _ := strings.Cut(entry, ":")
	parsed := operator{name: name}
	hash, err := hex.DecodeString(hexHash)
	if name == "" || err != nil || len(hash) != sha256.Size {
		panic(errors.Errorf("operator %d is not NAME:SHA256HEX", index+1))
	}
	copy(parsed.keyHash[:], hash)
	return parsed
}

func randomOrderID() string {
	const idBytes = 12
	var random [idBytes]byte
	_, _ = rand.Read(random[:])
	return "order-" + hex.EncodeToString(random[:])
}

// ServeHTTP answers one call.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call := &exchange{
		api:     a,
		w:       w,
		r:       r,
		control: http.NewResponseController(w),
	}
	_ = call.control.SetWriteDeadline(deadlineIn(a.config.BodyTimeout + a.config.OrderTimeout + a.config.BodyTimeout))
	reply, apiErr := call.serve()
	if apiErr != nil {
		if r.ContentLength != 0 {
			// The rest of the body may not have been read.
			w.Header().Set("Connection", "close")
		}
		reply = errorReply(apiErr, "")
	}
	call.write(reply)
}

// deadlineIn returns a deadline of a connection, which is always in real time.
func deadlineIn(timeout time.Duration) time.Time { return clock.System().Now().Add(timeout) }
