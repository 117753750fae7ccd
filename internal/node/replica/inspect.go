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

// Contents are what the data folder of a core holds. Sizes are in bytes.
type Contents struct {
	Core         string   `json:"core"`
	Formation    string   `json:"formation"`
	Voters       []string `json:"voters"`
	Standing     string   `json:"standing"`
	DiskLife     uint64   `json:"disk_life"`
	Version      uint64   `json:"version"`       // the newest that is known to be agreed
	SheetVersion uint64   `json:"sheet_version"` // at which the sheet changed last
	Revision     uint64   `json:"revision"`      // the operators' own number of the sheet
	Members      int      `json:"members"`
	Open         int      `json:"open_slots"` // in which this core has voted and no outcome is known
	Snapshot     uint64   `json:"snapshot_version"`
	Segments     int      `json:"segments"`
	Records      int      `json:"records"`
	TornSegment  string   `json:"torn_segment,omitempty"` // whose end was not written whole; a start cuts it
	TornBytes    int64    `json:"torn_bytes,omitempty"`
	BadSnapshot  string   `json:"bad_snapshot,omitempty"` // a newer snapshot that fails its checksum; a start passes over it

	// Sheet is the configuration at Version, or nil.
	Sheet *sheet.Sheet `json:"-"`
}

// Inspect reads a core's data folder and changes nothing in it; the core must
// not be running on it. Name is the core's, needed where the folder holds no
// snapshot; one that differs from the snapshot's is a apierror.WrongFormation
// fault. What does not read back is an error: an apierror.BadRecord error for a
// record that fails its checksum.
func Inspect(folder, name string) (Contents, error) {
	replay, err := disklog.Inspect(folder)
	if err != nil {
		return Contents{}, err
	}
	state, err := stateOf(replay, name)
	if err != nil {
		return Contents{}, err
	}
	if state.Self == "" && state.Formation != "" {
		return Contents{}, apierror.Errorf(apierror.BadField, "%s holds no snapshot, which would tell whose it is: the core's name is needed", folder)
	}
	agreed, err := agreedOf(state)
	if err != nil {
		return Contents{}, err
	}
	standing := strings.ToLower(strings.TrimPrefix(state.Standing().String(), "STANDING_"))
	return Contents{
		Core: state.Self, Formation: state.Formation, Voters: state.Voters, Standing: standing, DiskLife: state.Life(),
		Version: agreed.Version, SheetVersion: agreed.SheetVersion, Revision: agreed.Revision, Members: len(agreed.Roster),
		Open: len(state.Votes), Snapshot: state.SnapshotSlot, Segments: replay.Segments, Records: len(replay.Records),
		TornSegment: replay.CutSegment, TornBytes: replay.CutBytes, BadSnapshot: replay.BadSnapshot, Sheet: agreed.Sheet,
	}, nil
}

// stateOf folds what a log held into the state of the agreement.
func stateOf(replay Replay, name string) (paxos.State, error) {
	state := paxos.Blank(name)
	if replay.Snapshot != nil {
		kept, err := paxos.Decode(replay.Snapshot)
		if err != nil {
			return state, errors.Wrap(err, "the log's snapshot")
		}
		if name != "" && kept.Self != name {
			return state, apierror.Errorf(apierror.WrongFormation, "the data folder is core %s's", kept.Self)
		}
		state = kept
	}
	return paxos.Replay(state, replay.Records)
}

// agreedOf works the sheet's state out from the snapshot and what follows it.
func agreedOf(state paxos.State) (statemachine.State, error) {
	var agreed statemachine.State
	if state.SnapshotSlot > 0 {
		kept, err := statemachine.DecodeState(state.Snapshot)
		if err != nil {
			return agreed, errors.Wrapf(err, "the snapshot of epoch %d", state.SnapshotSlot)
		}
		if kept.Version != state.SnapshotSlot {
			return agreed, errors.Errorf("a snapshot of epoch %d under %d", kept.Version, state.SnapshotSlot)
		}
		agreed = kept
	}
	for _, chosen := range state.Chosen {
		agreed, _ = agreed.Step(chosen.Epoch, chosen.Command)
	}
	return agreed, nil
}
