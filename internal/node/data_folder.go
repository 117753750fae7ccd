package node

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// takenNameFile is the file in the data folder that stores the name a core has taken
// over; see replacement.go. Its name and content are part of the storage format.
const takenNameFile = "place"

// readTakenName returns the name that the core has taken over; taken is false if there
// is none.
func readTakenName(folder string) (name string, taken bool) {
	content, err := os.ReadFile(filepath.Join(folder, takenNameFile))
	if err != nil || len(content) == 0 {
		return "", false
	}
	return strings.TrimSpace(string(content)), true
}

// holdsData reports whether the data folder is readable and not empty.
func holdsData(folder string) bool {
	entries, err := os.ReadDir(folder)
	return err == nil && len(entries) > 0
}

// storeTakenName durably stores the name that the core has taken over, so that the core
// keeps it across restarts.
func storeTakenName(folder, name string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "create data folder")
	}
	file, err := os.Create(filepath.Join(folder, takenNameFile))
	if err != nil {
		return errors.Wrap(err, "create file of the taken core name")
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteString(name); err != nil {
		return errors.Wrap(err, "write taken core name")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "sync taken core name")
	}
	// The file is durable only once the folder is synced, too.
	parent, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "open data folder")
	}
	defer func() { _ = parent.Close() }()
	return errors.Wrap(parent.Sync(), "sync data folder")
}

// emptyFolder removes everything in the data folder of a core whose name another core
// has taken over.
func emptyFolder(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "list data folder")
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(folder, entry.Name())); err != nil {
			return errors.Wrap(err, "empty data folder")
		}
	}
	return nil
}
