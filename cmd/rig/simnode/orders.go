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
	"stepwick/internal/clock"
	"stepwick/internal/decision/sheet"
)

type operator struct{ base string }

type orderAnswer struct {
	Code    apierror.Code `json:"code"`
	Version uint64        `json:"epoch"`
	InForce bool          `json:"in_force"`
	Sheet   uint64        `json:"sheet_epoch"`
}

func (o operator) call(ctx context.Context, method, path string, body any) (answer orderAnswer, err error) {
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return answer, err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+o.base+path, bytes.NewReader(data))
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer ada's key")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	return answer, errors.Wrap(json.NewDecoder(resp.Body).Decode(&answer), "answer to an order")
}

// sheetOf is a sheet with a number of tenants, 11 models and shares in every
// region.
func (r *run) sheetOf() *sheet.Sheet {
	s := &sheet.Sheet{Services: map[string]sheet.Service{}, Weights: map[string]map[string]float64{}, Tenants: map[string]sheet.Tenant{}}
	for m := range 11 {
		name := fmt.Sprintf("model%02d", m)
		s.Services[name] = sheet.Service{Kind: "model"}
		s.Weights[name] = map[string]float64{}
		for region := range regions {
			s.Weights[name][fmt.Sprintf("r%02d", region)] = float64(1 + region%10)
		}
	}
	for t := range r.options.Tenants {
		name := fmt.Sprintf("tenant%05d", t)
		s.Tenants[name] = sheet.Tenant{Rate: 1600, Burst: 1600, KeyHashes: []string{fleet.HashKey("key of " + name)}}
	}
	return s
}

// firstSheet waits until the sheet is in force everywhere, 60 s at the most.
func (r *run) firstSheet(ctx context.Context, clock clock.Clock, o operator) error {
	var last orderAnswer
	var err error
	for range 60 {
		last, err = o.call(ctx, http.MethodPut, "/v1/control/sheet", map[string]any{"order_id": "first", "base": 0, "sheet": r.sheetOf()})
		if err == nil && last.Code == apierror.OK && last.InForce {
			return nil
		}
		<-clock.After(time.Second)
	}
	return errors.Errorf("first sheet not in force: %+v, %v", last, err)
}

// orders puts changes in force one after another and notes how long each took.
func (r *run) orders(ctx context.Context, clock clock.Clock, o operator, result *Result) {
	var took []float64
	for i := range r.options.Orders {
		current, err := o.call(ctx, http.MethodGet, "/v1/control/sheet", nil)
		if err != nil {
			result.Unmet++
			continue
		}
		at := clock.Now()
		answer, err := o.call(ctx, http.MethodPatch, "/v1/control/sheet", map[string]any{"order_id": fmt.Sprintf("change%d", i), "base": current.Sheet,
			"changes": []map[string]any{{"path": "weights.model00.r00", "value": i + 2}}})
		if err != nil || answer.Code != apierror.OK || !answer.InForce {
			result.Unmet++
			result.Why = fmt.Sprintf("on %+v: %+v %v", current, answer, err)
			continue
		}
		took = append(took, clock.Now().Sub(at).Seconds()*1000)
	}
	if len(took) == 0 {
		return
	}
	sort.Float64s(took)
	result.InForceP50MS, result.InForceMaxMS = took[len(took)/2], took[len(took)-1]
}

// ruling counts the fronts that rule.
func (r *run) ruling(ctx context.Context) (ruling int) {
	for i := range r.options.Fronts {
		if r.rules(ctx, i) {
			ruling++
		}
	}
	return ruling
}
