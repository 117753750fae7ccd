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

// Contents is what the data folder of a core holds. Sizes are in bytes.
type Contents struct {
	Core            string   `json:"core"`
	Formation       string   `json:"formation"`
	Voters          []string `json:"voters"`
	Standing        string   `json:"standing"`
	DiskIncarnation uint64   `json:"disk_life"`
	Version         uint64   `json:"version"`       // the newest that is known to be chosen
	SheetVersion    uint64   `json:"sheet_version"` // at which the sheet was changed last
	Revision        uint64   `json:"revision"`      // the operators' own number of the sheet
	Members         int      `json:"members"`
	OpenSlots       int      `json:"open_slots"` // in which this core has voted and no outcome is known
	Snapshot        uint64   `json:"snapshot_version"`
	Segments        int      `json:"segments"`
	Records         int      `json:"records"`
	TornSegment     string   `json:"torn_segment,omitempty"` // whose end was not written completely; a start truncates it
	TornBytes       int64    `json:"torn_bytes,omitempty"`
	BadSnapshot     string   `json:"bad_snapshot,omitempty"` // a newer snapshot that fails its checksum; a start skips it

	// Sheet is the configuration at Version, or nil.
	Sheet *sheet.Sheet `json:"-"`
}

// Inspect reads a core's data folder and changes nothing in it; the core must
// not be running on it. Name is the core's, required where the folder has no
// snapshot. It returns an error of the code WrongFormation when the snapshot is
// another core's, BadRecord for a record or snapshot that fails its checksum,
// and BadField when the name is required.
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
	configuration, err := configurationOf(state)
	if err != nil {
		return Contents{}, err
	}
	return Contents{
		Core:            state.Self,
		Formation:       state.Formation,
		Voters:          state.Voters,
		Standing:        strings.ToLower(strings.TrimPrefix(state.Standing().String(), "STANDING_")),
		DiskIncarnation: state.Incarnation(),
		Version:         configuration.Version,
		SheetVersion:    configuration.SheetVersion,
		Revision:        configuration.Revision,
		Members:         len(configuration.Roster),
		OpenSlots:       len(state.OpenSlots),
		Snapshot:        state.SnapshotSlot,
		Segments:        replay.Segments,
		Records:         len(replay.Records),
		TornSegment:     replay.TornSegment,
		TornBytes:       replay.TornBytes,
		BadSnapshot:     replay.BadSnapshot,
		Sheet:           configuration.Sheet,
	}, nil
}

// decodeReplay returns the state of the agreement that a log holds. It returns
// an error of the code WrongFormation when the snapshot is another core's; an
// empty name accepts any.
func decodeReplay(replay Replay, name string) (paxos.State, error) {
	state := paxos.BlankState(name)
	if replay.Snapshot != nil {
		decoded, err := paxos.DecodeState(replay.Snapshot)
		if err != nil {
			return state, errors.Wrap(err, "the log's snapshot")
		}
		if name != "" && decoded.Self != name {
			return state, apierror.Errorf(apierror.WrongFormation, "the data folder is core %s's", decoded.Self)
		}
		state = decoded
	}
	return paxos.Replay(state, replay.Records)
}

// configurationOf applies the learned commands to the snapshot.
func configurationOf(state paxos.State) (statemachine.State, error) {
	configuration, err := snapshotState(state)
	if err != nil {
		return statemachine.State{}, err
	}
	for _, chosen := range state.Chosen {
		configuration, _ = configuration.Step(chosen.Epoch, chosen.Command)
	}
	return configuration, nil
}
