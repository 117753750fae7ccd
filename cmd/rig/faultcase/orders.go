package faultcase

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/loadgen"
)

const (
	killChangeInterval = 10 * time.Millisecond
	racersPerRound     = 3
	raceLossDelay      = 3 * time.Millisecond
	roundsPerPartition = 3 // rounds for each one in a partition

	tenantsOfLargeSheet = 3000
	oversizedBytes      = 17 << 20 // exceeds a node's limit for request bodies
)

// ordersKills submits changes in quick succession while the cores are killed and
// restarted in turn, some with a torn log, and in every fourth round two of them.
func ordersKills(r *Run) error {
	start := r.Recorder.Now()
	stopChanges := r.runInBackground(func(ctx context.Context) { r.submitChanges(ctx, killChangeInterval, nil) })
	for round := 0; r.hasTimeLeft(start); round++ {
		if err := r.killCores(round); err != nil {
			return err
		}
		r.Wait(seconds(1 + r.Random.Float64()*2))
	}
	r.Wait(4 * time.Second)
	stopChanges()
	for _, core := range r.Fleet.Cores() {
		core.Kill()
	}
	if err := startAll(r.Fleet.Cores()...); err != nil {
		return err
	}
	r.Wait(5 * time.Second)
	return r.readBack(readBackTimeout)
}

func (r *Run) killCores(round int) error {
	cores := r.Fleet.Cores()
	core := cores[round%len(cores)]
	core.Kill()
	r.Wait(seconds(0.2 + r.Random.Float64()*2))
	if r.Random.IntN(3) == 0 {
		if err := core.TearLog(); err != nil {
			return err
		}
	}
	if round%4 == 3 {
		other := cores[(round+1)%len(cores)]
		if err := r.killAndRestart(other, seconds(r.Random.Float64())); err != nil {
			return err
		}
	}
	return core.Start()
}

// ordersRace submits concurrent changes of the same base through all cores.
func ordersRace(r *Run) error {
	start := r.Recorder.Now()
	_, base := r.Operators.NewestKey()
	for round := uint64(0); r.hasTimeLeft(start); round++ {
		if version, ok := r.race(round, base); ok {
			base = version
		}
		r.Wait(200 * time.Millisecond)
	}
	return r.readBack(readBackTimeout)
}

// race runs one round and returns the version of the sheet after it; ok is false if
// it could not be read.
func (r *Run) race(round, base uint64) (version uint64, ok bool) {
	partitioned := round%roundsPerPartition == roundsPerPartition-1
	if partitioned {
		r.isolate(r.randomCore().Name)
	}
	ctx, cancel := context.WithTimeout(r.ctx, orderTimeout)
	defer cancel()
	var racers sync.WaitGroup
	for racer := range racersPerRound {
		order := r.Operators.Patch(operatorFor(uint64(racer)), base)
		order.Race = fmt.Sprintf("race %d", round)
		nodes := append([]*fleet.Node{r.Fleet.Cores()[racer]}, r.rotatedNodes(round+uint64(racer))...)
		loseAnswer := r.Random.IntN(3) == 0
		racers.Go(func() {
			if loseAnswer {
				r.Operators.Send(order, nodes[0], raceLossDelay)
			}
			r.Operators.Submit(ctx, order, nodes)
		})
	}
	racers.Wait()
	if partitioned {
		r.Heal()
	}
	return r.Operators.SheetVersion(ctx, r.Fleet.Nodes)
}

// ordersInvalid submits invalid sheets, and very large ones that are valid.
func ordersInvalid(r *Run) error {
	start := r.Recorder.Now()
	_, base := r.Operators.NewestKey()
	for round := uint64(0); r.hasTimeLeft(start); round++ {
		if err := r.submitInvalidSheet(round, base); err != nil {
			return err
		}
		key := r.Operators.NextKey()
		sheet := r.largeSheet(round, key)
		acknowledged, version := r.submit(r.Operators.Put(firstOperator, base, sheet, key), round, orderTimeout)
		if !acknowledged {
			return errors.Errorf("round %d: a sheet of %d tenants was not acknowledged within %s", round, tenantsOfLargeSheet, orderTimeout)
		}
		base = version
		r.Wait(500 * time.Millisecond)
	}
	return r.readBack(readBackTimeout)
}

// submitInvalidSheet sends an invalid sheet once. A node may close the connection
// without an answer only if the sheet is too large.
func (r *Run) submitInvalidSheet(round, base uint64) error {
	key := r.Operators.NextKey()
	order := r.Operators.Put(secondOperator, base, loadgen.Sheet{}, key)
	order.Invalid = true
	problem := sheetProblems[round%uint64(len(sheetProblems))]
	order.Body.Sheet = problem.apply(loadgen.NewSheet(r.Fleet, r.Tenants, key))
	answer := r.Operators.Send(order, r.randomNode(), 0)
	if answer.Status == 0 && !problem.mayGetNoAnswer {
		return errors.Errorf("round %d: an invalid sheet got no answer: %s", round, answer.Detail)
	}
	return nil
}

// sheetProblem makes a valid sheet invalid in one way.
type sheetProblem struct {
	apply          func(sheet loadgen.Sheet) any
	mayGetNoAnswer bool
}

var sheetProblems = []sheetProblem{
	{apply: func(sheet loadgen.Sheet) any {
		sheet.Weights["digest"] = map[string]float64{"lagos": -1, "abeokuta": 2}
		return sheet
	}},
	{apply: func(sheet loadgen.Sheet) any {
		sheet.Weights["digest"] = map[string]float64{"lagos": 0, "abeokuta": 0}
		return sheet
	}},
	{apply: func(sheet loadgen.Sheet) any {
		return sheetWithUnknownField{Sheet: sheet, Colour: "red"}
	}},
	{apply: func(sheet loadgen.Sheet) any {
		sheet.Tenants["press"] = loadgen.SheetTenant{Rate: -5, Keys: []string{fleet.HashKey("key-of-press")}}
		return sheet
	}},
	{apply: func(sheet loadgen.Sheet) any {
		sheet.Weights["nosuch"] = map[string]float64{"lagos": 1}
		return sheet
	}},
	{
		apply: func(sheet loadgen.Sheet) any {
			sheet.Tenants["huge"] = loadgen.SheetTenant{Rate: 1, Home: strings.Repeat("x", oversizedBytes)}
			return sheet
		},
		mayGetNoAnswer: true,
	},
}

// sheetWithUnknownField is a sheet with a field that is not part of the format.
type sheetWithUnknownField struct {
	loadgen.Sheet
	Colour string `json:"colour"`
}

// largeSheet returns a valid sheet with tenantsOfLargeSheet more tenants.
func (r *Run) largeSheet(round uint64, key int) loadgen.Sheet {
	sheet := loadgen.NewSheet(r.Fleet, r.Tenants, key)
	for i := range tenantsOfLargeSheet {
		sheet.Tenants[fmt.Sprintf("town%d", i)] = loadgen.SheetTenant{
			Rate:  float64(round + 1),
			Burst: 10,
			Keys:  []string{fleet.HashKey(fmt.Sprint("town", i))},
		}
	}
	return sheet
}
