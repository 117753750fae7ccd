package simnode

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/sheet"
)

const (
	sheetPath          = "/v1/control/sheet"
	orderTimeout       = 15 * time.Second
	firstSheetAttempts = 60
	firstSheetInterval = time.Second

	modelServices    = 11
	tenantAllowance  = 1600 // tokens per second, and burst in tokens
	changedWeight    = "weights.model00.r00"
	firstSheetOrder  = "first"
	maxRegionWeight  = 10
	minChangedWeight = 2
)

// operator sends orders through the front at the given address.
type operator struct{ address string }

// putRequest is the body of an order that replaces the sheet.
type putRequest struct {
	Base    uint64       `json:"base"`
	OrderID string       `json:"order_id"`
	Sheet   *sheet.Sheet `json:"sheet"`
}

// patchRequest is the body of an order that changes the sheet.
type patchRequest struct {
	Base    uint64        `json:"base"`
	Changes []weightPatch `json:"changes"`
	OrderID string        `json:"order_id"`
}

type weightPatch struct {
	Path  string `json:"path"`
	Value int    `json:"value"`
}

// orderAnswer is the answer to an order or to a read of the sheet.
type orderAnswer struct {
	Code    apierror.Code `json:"code"`
	Version uint64        `json:"epoch"`
	InForce bool          `json:"in_force"`
	Sheet   uint64        `json:"sheet_epoch"` // version of the sheet
}

func (a orderAnswer) isInForce() bool { return a.Code == apierror.OK && a.InForce }

// call sends a request with an optional body and decodes the answer.
func (o operator) call(ctx context.Context, method string, body any) (orderAnswer, error) {
	var answer orderAnswer
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return answer, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.address+sheetPath, bytes.NewReader(data))
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, errors.Wrapf(err, "decode answer of %s to %s %s", o.address, method, sheetPath)
}

// newSheet returns a sheet with the given number of tenants, and with model services
// that have a weight in every region.
func newSheet(tenants int) *sheet.Sheet {
	built := &sheet.Sheet{
		Services: map[string]sheet.Service{},
		Weights:  map[string]map[string]float64{},
		Tenants:  map[string]sheet.Tenant{},
	}
	for model := range modelServices {
		name := modelName(model)
		built.Services[name] = sheet.Service{Kind: "model"}
		built.Weights[name] = map[string]float64{}
		for region := range siteRegions {
			built.Weights[name][fmt.Sprintf("r%02d", region)] = float64(1 + region%maxRegionWeight)
		}
	}
	for i := range tenants {
		name := fmt.Sprintf("tenant%05d", i)
		built.Tenants[name] = sheet.Tenant{
			Rate:      tenantAllowance,
			Burst:     tenantAllowance,
			KeyHashes: []string{fleet.HashKey("key of " + name)},
		}
	}
	return built
}

func modelName(i int) string { return fmt.Sprintf("model%02d", i) }

// submitFirstSheet resubmits the sheet until it is in force everywhere, at most
// firstSheetAttempts times, which takes about a minute.
func (f *simFleet) submitFirstSheet(sender operator) error {
	var last orderAnswer
	var err error
	for range firstSheetAttempts {
		last, err = sender.call(f.ctx, http.MethodPut, putRequest{
			OrderID: firstSheetOrder,
			Sheet:   newSheet(f.options.Tenants),
		})
		if err == nil && last.isInForce() {
			return nil
		}
		<-f.clock.After(firstSheetInterval)
	}
	return errors.Errorf("first sheet not in force after %d attempts: last answer %+v, error %v", firstSheetAttempts, last, err)
}

// measureOrders submits changes one after another and measures the time until each is
// in force.
func (f *simFleet) measureOrders(sender operator, result *Result) {
	var milliseconds []float64
	for i := range f.options.Orders {
		current, err := sender.call(f.ctx, http.MethodGet, nil)
		if err != nil {
			result.OrdersNotInForce++
			continue
		}
		start := f.clock.Now()
		answer, err := sender.call(f.ctx, http.MethodPatch, patchRequest{
			Base:    current.Sheet,
			Changes: []weightPatch{{Path: changedWeight, Value: i + minChangedWeight}},
			OrderID: fmt.Sprintf("change%d", i),
		})
		if err != nil || !answer.isInForce() {
			result.OrdersNotInForce++
			result.LastFailure = fmt.Sprintf("on %+v: %+v %v", current, answer, err)
			continue
		}
		milliseconds = append(milliseconds, f.clock.Now().Sub(start).Seconds()*1000)
	}
	if len(milliseconds) == 0 {
		return
	}
	sort.Float64s(milliseconds)
	result.InForceP50MS = milliseconds[len(milliseconds)/2]
	result.InForceMaxMS = milliseconds[len(milliseconds)-1]
}
