package disklog

// spaceProbeBytes is the maximum size that is allocated to check for free space
// beyond the reserve.
const spaceProbeBytes = 256 << 10

// spaceProbeFileName is the file that is allocated for the check and removed at once.
const spaceProbeFileName = "room" + temporarySuffix

// reserve is the state of the reserve file, which exists only without a quota. Its
// blocks are released when there is no other room for a snapshot or urgent records.
type reserve struct {
	allocated   bool // the file exists with its blocks allocated
	unsupported bool // the file system does not support allocation of blocks
}

// updateSpace allocates the reserve again after its release and checks whether a
// full disk has space again.
func (w *writer) updateSpace() {
	needsNoReserve := w.reserve.allocated || w.reserve.unsupported || w.cfg.QuotaBytes > 0
	if !w.fileSystemFull.Load() && needsNoReserve {
		return
	}
	w.fileSystemFull.Store(isOutOfSpace(w.checkSpace()))
}

// checkSpace allocates the reserve and, temporarily, a small file beside it. An
// error for lack of space from either means that the disk is full.
func (w *writer) checkSpace() error {
	if w.cfg.QuotaBytes == 0 && !w.reserve.unsupported {
		if err := w.allocateReserve(); err != nil {
			return err
		}
	}
	probePath := w.path(spaceProbeFileName)
	err := w.files.Allocate(probePath, min(w.cfg.ReserveBytes, spaceProbeBytes))
	_ = w.files.Remove(probePath)
	return err
}

func (w *writer) allocateReserve() error {
	path := w.path(reserveFileName)
	err := w.files.Allocate(path, w.cfg.ReserveBytes)
	w.reserve.allocated = err == nil
	if err != nil {
		_ = w.files.Remove(path)
		w.reserve.unsupported = !isOutOfSpace(err)
	}
	return err
}

// releaseReserve frees the reserve's blocks. It reports whether the reserve was
// allocated and its file removed.
func (w *writer) releaseReserve() bool {
	if !w.reserve.allocated {
		return false
	}
	w.reserve.allocated = false
	return w.files.Remove(w.path(reserveFileName)) == nil
}
