package compat

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/clock"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/events"
	"stepwick/internal/node/replica"
	"stepwick/internal/port"
	"stepwick/internal/wire"
	"stepwick/internal/wire/wireconnect"
)

const (
	segmentBytes    = 2048
	reserveBytes    = 4096
	snapshotRecords = 110
	orderedAtMS     = 1790000000000
)

// encodeBody returns the command stored for an operator's order.
func encodeBody(verb, operator, body string) (string, error) {
	command, apiErr := statemachine.ParseOrder(verb, operator, []byte(body), statemachine.OrderLimits{MaxBytes: 1 << 20}, orderedAtMS)
	if apiErr != nil {
		return "", apiErr
	}
	return string(statemachine.Encode(command)), nil
}

// recodeCommand decodes a stored command and encodes it again.
func recodeCommand(command string) (string, error) {
	decoded, err := statemachine.Decode([]byte(command))
	if err != nil {
		return "", err
	}
	return string(statemachine.Encode(decoded)), nil
}

// recodeSheet parses a sheet as submitted by an operator and returns it as JSON.
func recodeSheet(text string) (string, error) {
	parsed, apiErr := sheet.ParseSheet([]byte(text), 1<<20)
	if apiErr != nil {
		return "", apiErr
	}
	data, err := json.Marshal(parsed)
	return string(data), err
}

// recodeState decodes a stored configuration state and encodes it again.
func recodeState(text string) (string, error) {
	state, err := statemachine.DecodeState([]byte(text))
	return string(state.Encode()), err
}

// applyCommands applies commands to an empty configuration. It returns the code, epoch,
// sheet epoch and detail of each result, and the final state in encoded form.
func applyCommands(commands []string) (results []string, state string) {
	var current statemachine.State
	for _, command := range commands {
		next, result := current.Step(current.Version+1, []byte(command))
		results = append(results, fmt.Sprintf("%d epoch %d sheet %d %s", result.Code, result.Version, result.SheetVersion, result.Detail))
		current = next
	}
	return results, string(current.Encode())
}

// sampleRecords returns encoded records of every kind, keyed by description.
func sampleRecords() map[string][]byte {
	ballotOfB := paxos.Ballot{Number: 5, Core: "b"}
	chosen := []*wire.Chosen{{Epoch: 18, Command: []byte("eighteen")}, {Epoch: 19, Command: []byte("nineteen")}}
	votes := map[uint64]paxos.SlotState{
		20: {Promised: ballotOfB, Accepted: paxos.Ballot{Number: 4, Core: "c"}, Value: []byte("twenty")},
		22: {Promised: ballotOfB},
	}
	records := map[string]paxos.Record{
		"1 formation joined":            paxos.FormationJoined{Formation: "a-1", Voters: []string{"a", "b", "c"}},
		"1 formation joined with state": paxos.FormationJoined{Formation: "a-1", Voters: []string{"a"}, SnapshotSlot: 17, Snapshot: []byte("state")},
		"2 disk life":                   paxos.IncarnationRecorded{Core: "b", Incarnation: 3},
		"3 promise":                     paxos.Promised{Slot: 20, Ballot: ballotOfB},
		"4 vote":                        paxos.Accepted{Slot: 20, Ballot: ballotOfB, Value: []byte("twenty")},
		"5 learned":                     paxos.Learned{Slot: 18, Value: []byte("eighteen")},
		"5 learned as voted":            paxos.Learned{Slot: 18, AsAccepted: true},
		"6 snapshot installed":          paxos.SnapshotInstalled{Slot: 17, Snapshot: []byte("state")},
		"7 recovery": paxos.RecoveryCompleted{Incarnations: map[string]uint64{"a": 1, "b": 2, "c": 1}, SnapshotSlot: 17,
			Snapshot: []byte("state"), Chosen: chosen, OpenSlots: votes},
	}
	encoded := map[string][]byte{}
	for description, record := range records {
		encoded[description] = paxos.EncodeRecord(record)
	}
	return encoded
}

// recodeRecord decodes a record and encodes it again.
func recodeRecord(data []byte) ([]byte, error) {
	record, err := paxos.DecodeRecord(data)
	if err != nil {
		return nil, err
	}
	return paxos.EncodeRecord(record), nil
}

// recodeSnapshot decodes the Paxos state in a log's snapshot and encodes it again.
func recodeSnapshot(data []byte) ([]byte, error) {
	state, err := paxos.DecodeState(data)
	return state.Encode(), err
}

// digest returns the length and the first 8 bytes of the SHA-256 hash of data.
func digest(data []byte) string {
	sum := sha256.Sum256(data)
	return fmt.Sprintf("%d bytes %s", len(data), hex.EncodeToString(sum[:8]))
}

// describeFolder describes the content of a core's data folder: the log, the Paxos
// state and the configuration.
func describeFolder(t testing.TB, folder, core string) string {
	t.Helper()
	replay, err := disklog.Inspect(folder)
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "log: snapshot %s, %d segments, %d records, torn %q %d bytes, bad snapshot %q\n", digest(replay.Snapshot),
		replay.SegmentCount, len(replay.Records), replay.TornSegment, replay.TornBytes, replay.BadSnapshot)
	for i, record := range replay.Records {
		fmt.Fprintf(&out, "record %d: kind %d, %s\n", i, record[0], digest(record))
	}
	state := paxos.BlankState(core)
	if replay.Snapshot != nil {
		if state, err = paxos.DecodeState(replay.Snapshot); err != nil {
			t.Fatal(err)
		}
	}
	if state, err = paxos.Replay(state, replay.Records); err != nil {
		t.Fatal(err)
	}
	describeAgreement(&out, state)
	describeConfiguration(t, &out, state)
	contents, err := replica.Inspect(folder, core)
	if err != nil {
		t.Fatal(err)
	}
	shown, err := json.MarshalIndent(contents, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "inspected: %s\n", shown)
	return out.String()
}

func describeAgreement(out *strings.Builder, state paxos.State) {
	fmt.Fprintf(out, "core %s of formation %s with %v\n", state.Self, state.Formation, state.Voters)
	for _, core := range slices.Sorted(maps.Keys(state.Incarnations)) {
		fmt.Fprintf(out, "disk life of %s: %d\n", core, state.Incarnations[core])
	}
	fmt.Fprintf(out, "announced life: %d\n", state.AnnouncedIncarnation)
	fmt.Fprintf(out, "snapshot at %d: %s\n", state.SnapshotSlot, digest(state.Snapshot))
	for _, chosen := range state.Chosen {
		fmt.Fprintf(out, "chosen %d: %s\n", chosen.Epoch, digest(chosen.Command))
	}
	for _, slot := range slices.Sorted(maps.Keys(state.OpenSlots)) {
		vote := state.OpenSlots[slot]
		fmt.Fprintf(out, "slot %d: promised %d.%s, accepted %d.%s %s\n", slot, vote.Promised.Number, vote.Promised.Core,
			vote.Accepted.Number, vote.Accepted.Core, digest(vote.Value))
	}
}

func describeConfiguration(t testing.TB, out *strings.Builder, state paxos.State) {
	t.Helper()
	var current statemachine.State
	if state.SnapshotSlot > 0 {
		var err error
		if current, err = statemachine.DecodeState(state.Snapshot); err != nil {
			t.Fatal(err)
		}
	}
	for _, chosen := range state.Chosen {
		next, result := current.Step(chosen.Epoch, chosen.Command)
		fmt.Fprintf(out, "epoch %d: code %d\n", chosen.Epoch, result.Code)
		current = next
	}
	fmt.Fprintf(out, "configuration: %s\n", current.Encode())
}

// openLog opens the log in a folder. It returns the snapshot, the records, the number
// of bytes cut from a torn tail, and functions that append a record, waiting until
// it is synced, and close the log.
func openLog(t testing.TB, folder string) (snapshot []byte, records [][]byte, cut int64, appendRecord func([]byte), closeLog func()) {
	t.Helper()
	log, replay, err := disklog.Open(disklog.Config{Folder: folder, SegmentBytes: segmentBytes, ReserveBytes: reserveBytes})
	if err != nil {
		t.Fatal(err)
	}
	appendRecord = func(record []byte) {
		index, err := log.Append([][]byte{record}, disklog.Ordinary)
		if err != nil {
			t.Fatal(err)
		}
		for synced := uint64(0); synced < index; {
			select {
			case synced = <-log.Synced():
			case <-log.Failed():
				t.Fatal(log.Err())
			}
		}
	}
	closeLog = func() {
		if err := log.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return replay.Snapshot, replay.Records, replay.TornBytes, appendRecord, closeLog
}

// writeSnapshot creates a log in a folder, appends a number of records and writes a snapshot.
func writeSnapshot(t testing.TB, folder string, records int, snapshot []byte) {
	t.Helper()
	log, _, err := disklog.Open(disklog.Config{Folder: folder, SegmentBytes: segmentBytes, ReserveBytes: reserveBytes})
	if err != nil {
		t.Fatal(err)
	}
	for range records {
		if _, err := log.Append([][]byte{[]byte("record")}, disklog.Ordinary); err != nil {
			t.Fatal(err)
		}
	}
	if err := <-log.WriteSnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	if err := log.Close(); err != nil {
		t.Fatal(err)
	}
}

// fleet runs cores on data folders; they call each other's methods directly.
type fleet struct {
	root  string
	cores map[string]*atomic.Pointer[replica.Replica]
	stops map[string]func()
}

func newFleet(root string) *fleet {
	f := &fleet{root: root, cores: map[string]*atomic.Pointer[replica.Replica]{}, stops: map[string]func(){}}
	for _, name := range []string{"a", "b", "c"} {
		f.cores[name] = &atomic.Pointer[replica.Replica]{}
	}
	return f
}

func (f *fleet) start(names ...string) {
	for _, name := range names {
		disk := disklog.Config{Folder: filepath.Join(f.root, name), SegmentBytes: segmentBytes, ReserveBytes: reserveBytes}
		core := replica.New(replica.Config{Self: name, SnapshotRecords: snapshotRecords, Seed: 7}, replica.OnDisk(disk),
			peers{f, name}, clock.System(), events.Discard)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = core.Serve(ctx)
		}()
		f.cores[name].Store(core)
		f.stops[name] = func() {
			cancel()
			<-done
			f.cores[name].Store(nil)
			delete(f.stops, name)
		}
	}
}

func (f *fleet) stopAll() {
	for _, stop := range f.stops {
		stop()
	}
}

// waitVoting waits, in virtual time, until the cores have voting standing.
func (f *fleet) waitVoting(t testing.TB, names ...string) {
	t.Helper()
	for _, name := range names {
		f.waitUntil(t, func() bool {
			return f.cores[name].Load().Standing() == wire.Standing_STANDING_VOTING
		})
	}
}

// waitUntil polls the condition and fails the test if it is not met within a minute.
func (f *fleet) waitUntil(t testing.TB, condition func() bool) {
	t.Helper()
	for range 3000 {
		if condition() {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	t.Fatal("the awaited condition was not met within 60 s of virtual time")
}

// waitVersion waits until every core has applied the version.
func (f *fleet) waitVersion(t testing.TB, version uint64) {
	t.Helper()
	for _, name := range []string{"a", "b", "c"} {
		f.waitUntil(t, func() bool { return f.cores[name].Load().Current().Version >= version })
	}
}

// propose proposes a command through a core. It returns the result's version and code;
// a repeated command returns the version of its first execution.
func (f *fleet) propose(t testing.TB, core, command string) (version uint64, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_, result, err := f.cores[core].Load().Propose(ctx, []byte(command))
	if err != nil {
		t.Fatal(err)
	}
	return result.Version, int(result.Code)
}

// configuration returns the encoded state from a majority read through a core.
func (f *fleet) configuration(t testing.TB, core string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	state, err := f.cores[core].Load().ReadMajority(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return string(state.Encode())
}

// peers is one core's view of the fleet.
type peers struct {
	fleet *fleet
	self  string
}

func (p peers) Process(name string) (*wire.Process, bool) {
	_, exists := p.fleet.cores[name]
	return &wire.Process{Name: name, Address: name, Core: true}, exists
}

func (p peers) Cores() []*wire.Process { return port.CoresOf(p.Processes()) }

func (p peers) Processes() (all []*wire.Process) {
	for _, name := range slices.Sorted(maps.Keys(p.fleet.cores)) {
		process, _ := p.Process(name)
		all = append(all, process)
	}
	return all
}

func (p peers) Client(address string) wireconnect.PeerClient {
	return client{fleet: p.fleet, to: address}
}

// client calls the core with the name in its to field.
type client struct {
	wireconnect.PeerClient
	fleet *fleet
	to    string
}

// invoke calls a handler on the destination core, or returns ECONNREFUSED if it is stopped.
func invoke[Q, A any](ctx context.Context, c client, req *connect.Request[Q],
	handler func(*replica.Replica, context.Context, *Q) (*A, error)) (*connect.Response[A], error) {
	to := c.fleet.cores[c.to].Load()
	if to == nil {
		return nil, syscall.ECONNREFUSED
	}
	resp, err := handler(to, ctx, req.Msg)
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(resp), nil
}

func (c client) Found(ctx context.Context, q *connect.Request[wire.FoundRequest]) (*connect.Response[wire.FoundResponse], error) {
	return invoke(ctx, c, q, (*replica.Replica).Found)
}

func (c client) Prepare(ctx context.Context, q *connect.Request[wire.PrepareRequest]) (*connect.Response[wire.PrepareResponse], error) {
	return invoke(ctx, c, q, (*replica.Replica).Prepare)
}

func (c client) Accept(ctx context.Context, q *connect.Request[wire.AcceptRequest]) (*connect.Response[wire.AcceptResponse], error) {
	return invoke(ctx, c, q, (*replica.Replica).Accept)
}

func (c client) Learn(ctx context.Context, q *connect.Request[wire.LearnRequest]) (*connect.Response[wire.LearnResponse], error) {
	return invoke(ctx, c, q, (*replica.Replica).Learn)
}

func (c client) Recover(ctx context.Context, q *connect.Request[wire.RecoverRequest]) (*connect.Response[wire.RecoverResponse], error) {
	return invoke(ctx, c, q, (*replica.Replica).Recover)
}

func (c client) Read(ctx context.Context, q *connect.Request[wire.ReadRequest]) (*connect.Response[wire.ReadResponse], error) {
	return invoke(ctx, c, q, (*replica.Replica).Read)
}

func (c client) Fetch(ctx context.Context, q *connect.Request[wire.FetchRequest]) (*connect.Response[wire.FetchResponse], error) {
	return invoke(ctx, c, q, (*replica.Replica).Fetch)
}
