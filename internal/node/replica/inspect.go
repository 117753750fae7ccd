package replica

import (
	"strings"

	"github.com/pkg/errors"

	"stepwick/internal/adapter/disklog"
	"stepwick/internal/apierror"
	"stepwick/internal/decision/paxos"
	"stepwick/internal/decision/sheet"
	"stepwick/internal/decision/statemachine"
)

// Contents describes the contents of a core's data folder. Sizes are in bytes.
type Contents struct {
	Core            string   `json:"core"`
	Formation       string   `json:"formation"`
	Voters          []string `json:"voters"`
	Standing        string   `json:"standing"`
	DiskIncarnation uint64   `json:"disk_life"`
	Version         uint64   `json:"version"`       // the highest learned slot
	SheetVersion    uint64   `json:"sheet_version"` // of the last change of the sheet
	Revision        uint64   `json:"revision"`      // the operators' own number for the sheet
	Members         int      `json:"members"`
	OpenSlots       int      `json:"open_slots"` // slots above Version in which this core has promised a ballot or accepted a value
	SnapshotVersion uint64   `json:"snapshot_version"`
	Segments        int      `json:"segments"`
	Records         int      `json:"records"`
	TornSegment     string   `json:"torn_segment,omitempty"` // segment whose last record is incomplete; it is truncated at the next start
	TornBytes       int64    `json:"torn_bytes,omitempty"`
	BadSnapshot     string   `json:"bad_snapshot,omitempty"` // a later snapshot that fails its checksum; it is skipped at the next start

	// Sheet is the sheet at Version, or nil if there is none.
	Sheet *sheet.Sheet `json:"-"`
}

// Inspect reads a core's data folder without changing it. The core must not be
// running. The core's name may be empty if the folder contains a snapshot. The
// returned error has the code WrongFormation if the snapshot belongs to another core,
// BadRecord if a record or snapshot fails its checksum, and BadField if the name is
// empty but needed.
func Inspect(folder, name string) (Contents, error) {
	replay, err := disklog.Inspect(folder)
	if err != nil {
		return Contents{}, err
	}
	state, err := decodeReplay(replay, name)
	if err != nil {
		return Contents{}, err
	}
	if state.Self == "" && state.Formation != "" {
		return Contents{}, apierror.Errorf(apierror.BadField, "%s holds no snapshot, which would tell whose it is: the core's name is needed", folder)
	}
	machineState, err := decodeMachineState(state)
	if err != nil {
		return Contents{}, err
	}
	return Contents{
		Core:            state.Self,
		Formation:       state.Formation,
		Voters:          state.Voters,
		Standing:        strings.ToLower(strings.TrimPrefix(state.Standing().String(), "STANDING_")),
		DiskIncarnation: state.Incarnation(),
		Version:         machineState.Version,
		SheetVersion:    machineState.SheetVersion,
		Revision:        machineState.Revision,
		Members:         len(machineState.Roster),
		OpenSlots:       len(state.OpenSlots),
		SnapshotVersion: state.SnapshotSlot,
		Segments:        replay.SegmentCount,
		Records:         len(replay.Records),
		TornSegment:     replay.TornSegment,
		TornBytes:       replay.TornBytes,
		BadSnapshot:     replay.BadSnapshot,
		Sheet:           machineState.Sheet,
	}, nil
}

// decodeReplay returns the consensus state that results from replaying a log. The
// returned error has the code WrongFormation if the snapshot belongs to another core
// than the named one; an empty name accepts any core.
func decodeReplay(replay Replay, name string) (paxos.State, error) {
	state := paxos.BlankState(name)
	if replay.Snapshot != nil {
		decoded, err := paxos.DecodeState(replay.Snapshot)
		if err != nil {
			return state, errors.Wrap(err, "decode the log's snapshot")
		}
		if name != "" && decoded.Self != name {
			return state, apierror.Errorf(apierror.WrongFormation, "the data folder belongs to core %s, not to core %s", decoded.Self, name)
		}
		state = decoded
	}
	return paxos.Replay(state, replay.Records)
}

// decodeMachineState returns the state machine's state: the snapshot with the learned
// commands applied.
func decodeMachineState(state paxos.State) (statemachine.State, error) {
	machineState, err := decodeSnapshot(state)
	if err != nil {
		return statemachine.State{}, err
	}
	for _, chosen := range state.Chosen {
		machineState, _ = machineState.Step(chosen.Epoch, chosen.Command)
	}
	return machineState, nil
}
