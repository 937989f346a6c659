package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"time"

	"shalebeam/scheduler/transient"
)

// The workers that were taken out of service are recorded in a file that all processes of a scheduler share. A
// process that writes it holds a lock.

// record says when staff or the fleet took a worker out of service, and when it was put back. Times are milliseconds
// on the clock of the process that has read the file.
type record struct {
	Since   float64 `json:"since"`           // taken out
	PutBack float64 `json:"back,omitempty"`  // put back; 0 while it is out
	Fleet   string  `json:"fleet,omitempty"` // the matter for which the fleet took it out, "" where staff did
	// Change is the number of the fleet's last change of this worker. It orders the calls of one owner, which all carry
	// the same fencing token: an earlier call may arrive after a later one.
	Change uint64 `json:"change,omitempty"`
}

// records is the content of the file.
type records struct {
	Shalebeam    string            `json:"shalebeam"`        // recordsFormat: tells the file from others
	Workers      map[string]record `json:"workers"`          // by worker id
	Start        string            `json:"start,omitempty"`  // identifies the start of the scheduler that wrote the file last
	Fences       map[string]uint64 `json:"fences,omitempty"` // highest fencing token seen of each matter; see fleet
	BootOffsetMs float64           `json:"boot,omitempty"`   // of the clock that the times are on; see clock.bootOffsetMs
}

// recordsFormat is the file's format and version.
const recordsFormat = "workers out, 1"

// refresh looks for other processes (see sweep), and reads the file where another process may have changed it. It is
// called before each event is handled, and does this at most every refreshIntervalMs.
func (h *handover) refresh() {
	if h.otherProcesses == 0 || h.lockFile == nil {
		return
	}
	now := h.s.now()
	if now < h.nextRefreshAt {
		return
	}
	h.nextRefreshAt = now + refreshIntervalMs
	h.sweep(now)
	h.readRecords()
}

// readRecords takes over what other processes have written to the file, if it has changed. A file that is torn or belongs to
// another program is logged and ignored.
func (h *handover) readRecords() {
	info, err := os.Stat(h.recordsPath)
	if err != nil || h.recordsInfo != nil && os.SameFile(info, h.recordsInfo) && info.ModTime().Equal(h.recordsInfo.ModTime()) {
		return
	}
	file, err := h.loadFile()
	if transient.IsTransientFile(err) {
		return // tried again with the next refresh
	}
	if h.recordsInfo = info; err != nil {
		h.s.log.Printf("msg=malformed from=%s err=%q", h.recordsPath, err)
		return
	}
	for id, r := range file.Workers {
		h.s.ops.applyRecord(id, r) // in any order: each worker is independent of the others
	}
	fleetState := &h.s.ops.fleet
	for matter, token := range file.Fences {
		fleetState.tokens[matter] = max(fleetState.tokens[matter], token)
	}
	if h.otherProcesses > 0 && file.Start != "" {
		// Processes that run side by side are one start of the scheduler. A process that is alone keeps its own start:
		// the file's is of one that has ended, and the file has only the fencing tokens that it knew.
		fleetState.start = file.Start
	}
}

// loadFile reads the file, with its times converted to this process's clock. Without a file there are no records.
func (h *handover) loadFile() (*records, error) {
	file := &records{Shalebeam: recordsFormat, Workers: map[string]record{}}
	raw, err := os.ReadFile(h.recordsPath)
	if os.IsNotExist(err) {
		return file, nil
	}
	if err != nil {
		return nil, err
	}
	*file = records{}
	if err := json.Unmarshal(raw, file); err != nil {
		return nil, err
	}
	if file.Shalebeam != recordsFormat || file.Workers == nil {
		return nil, fmt.Errorf("not a file of workers out of service: want format %q and workers, got format %q",
			recordsFormat, file.Shalebeam)
	}
	file.shiftTimes(h.s.clock.offsetFromMs(file.BootOffsetMs))
	return file, nil
}

// updateRecords applies a change to the records and writes them whole, before any caller is answered that it is in
// force. If change returns false nothing is written. It blocks for up to 20 ms while another process writes.
func (h *handover) updateRecords(change func(stored *records) bool) error {
	now := h.s.now()
	dropOldRecords(h.s.ops.workerRecords, now)
	if h.lockFile == nil {
		change(&records{Workers: maps.Clone(h.s.ops.workerRecords)})
		return nil
	}
	for attempts := 0; !h.lockByte(lockRecordsFile); attempts++ { // the other process writes a few hundred bytes
		if attempts == 20 {
			return errors.New("file of workers out of service is still locked by another process after 20 ms")
		}
		time.Sleep(time.Millisecond)
	}
	defer h.unlockByte(lockRecordsFile)
	file, err := h.loadFile()
	if transient.IsTransientFile(err) {
		return err // it may hold what another process has written, which must not be overwritten unread
	}
	if err != nil { // torn, or of another program: it is replaced
		file = &records{Workers: map[string]record{}}
	}
	for id, own := range h.s.ops.workerRecords {
		if file.Workers[id].changedAt() < own.changedAt() {
			file.Workers[id] = own
		}
	}
	dropOldRecords(file.Workers, now)
	file.BootOffsetMs = h.s.clock.bootOffsetMs
	file.Shalebeam, file.Start, file.Fences = recordsFormat, h.s.ops.fleet.start, h.mergeFences(file.Fences)
	if !change(file) {
		return nil
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.recordsPath+".new", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(h.recordsPath+".new", h.recordsPath); err != nil {
		return err
	}
	h.recordsInfo, _ = os.Stat(h.recordsPath)
	return nil
}

// dropOldRecords drops the records of workers that were put back longer than recordRetentionMs ago. One with a change
// number stays longer, while there is room, so that an older call of the fleet can be told from a newer one.
func dropOldRecords(workers map[string]record, now float64) {
	for id, r := range workers {
		if r.PutBack > 0 && now > r.PutBack+recordRetentionMs && (r.Change == 0 || len(workers) > maxRecords/2) {
			delete(workers, id)
		}
	}
}

// shiftTimes moves all times by shiftMs milliseconds, from one process's clock to another's.
func (rs *records) shiftTimes(shiftMs float64) {
	for id, r := range rs.Workers {
		if r.Since > 0 {
			r.Since += shiftMs
		}
		if r.PutBack > 0 {
			r.PutBack += shiftMs
		}
		rs.Workers[id] = r
	}
}

// mergeFences returns the higher fencing token of each matter, of those in the file and those that this process has
// seen.
func (h *handover) mergeFences(fileFences map[string]uint64) map[string]uint64 {
	merged := maps.Clone(fileFences)
	if merged == nil {
		merged = map[string]uint64{}
	}
	for matter, token := range h.s.ops.fleet.tokens {
		merged[matter] = max(merged[matter], token)
	}
	return merged
}

// isOut tells whether the worker is out of service by this record.
func (r record) isOut() bool { return r.Since > 0 && r.PutBack == 0 }

// changedAt is the time of the record's last change.
func (r record) changedAt() float64 { return max(r.Since, r.PutBack) }
