package node

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

// takenNameFile is the file in the data folder with the name that a core took over;
// see replacement.go. Its name and content are part of the stored data.
const takenNameFile = "place"

// readTakenName returns the name that a core took over, and whether there is one.
func readTakenName(folder string) (name string, taken bool) {
	content, err := os.ReadFile(filepath.Join(folder, takenNameFile))
	if err != nil || len(content) == 0 {
		return "", false
	}
	return strings.TrimSpace(string(content)), true
}

// holdsData reports whether a data folder can be read and isn't empty.
func holdsData(folder string) bool {
	entries, err := os.ReadDir(folder)
	return err == nil && len(entries) > 0
}

// storeTakenName stores the name that a core took over, so that it keeps it over
// restarts.
func storeTakenName(folder, name string) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return errors.Wrap(err, "the data folder")
	}
	file, err := os.Create(filepath.Join(folder, takenNameFile))
	if err != nil {
		return errors.Wrap(err, "the core's place")
	}
	defer func() { _ = file.Close() }()
	if _, err := file.WriteString(name); err != nil {
		return errors.Wrap(err, "the core's place")
	}
	if err := file.Sync(); err != nil {
		return errors.Wrap(err, "the core's place")
	}
	// The file is durable only once its entry in the folder is.
	parent, err := os.Open(folder)
	if err != nil {
		return errors.Wrap(err, "the data folder")
	}
	defer func() { _ = parent.Close() }()
	return errors.Wrap(parent.Sync(), "the data folder")
}

// emptyFolder removes what a core stored, once another one has taken over its name.
func emptyFolder(folder string) error {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return errors.Wrap(err, "the data folder")
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(folder, entry.Name())); err != nil {
			return errors.Wrap(err, "the data folder")
		}
	}
	return nil
}
