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

// Who is out is kept in a file that all processes of a scheduler share, under a lock while one writes it.

// record is one worker that staff took out, and when; and when it was put back, 0 while it is out.
type record struct {
	Since float64 `json:"since"`
	Back  float64 `json:"back,omitempty"`
	Fleet string  `json:"fleet,omitempty"` // the matter by which the fleet took it out, "" where staff did
	// Change is the fleet's last one of this worker. An owner's own older call may arrive after a newer one, and the number
	// of its matter is the same.
	Change uint64 `json:"change,omitempty"`
}

type records struct {
	Shalebeam string            `json:"shalebeam"` // tells the file from others
	Workers   map[string]record `json:"workers"`
	Start     string            `json:"start,omitempty"`  // of the scheduler that wrote it last
	Fences    map[string]uint64 `json:"fences,omitempty"` // see fleet
	Boot      float64           `json:"boot,omitempty"`   // of the clock that its times are by; see clock
}

const recordsForm = "workers out, 1"

// look reads who is out where another process may have written that, before anything is carried out.
func (h *handover) look() {
	if h.others == 0 || h.lock == nil {
		return
	}
	now := h.s.now()
	if now < h.lookAt {
		return
	}
	h.lookAt = now + lookEvery
	h.sweep(now)
	h.read()
}

// read follows the file. One that is torn or of another program is logged and left, and changes nothing.
func (h *handover) read() {
	info, err := os.Stat(h.path)
	if err != nil || h.seen != nil && os.SameFile(info, h.seen) && info.ModTime().Equal(h.seen.ModTime()) {
		return
	}
	all, err := h.load()
	if transient.FileError(err) {
		return // it is read again with the next look
	}
	if h.seen = info; err != nil {
		h.s.log.Printf("msg=malformed from=%s err=%q", h.path, err)
		return
	}
	for id, r := range all.Workers {
		h.s.ops.set(id, r) // each is apart from the others, so any order does
	}
	f := &h.s.ops.fleet
	for m, n := range all.Fences {
		f.numbers[m] = max(f.numbers[m], n)
	}
	if h.others > 0 && all.Start != "" {
		f.start = all.Start // both are one start; alone, what a former one left says only what it knew
	}
}

func (h *handover) load() (*records, error) {
	in := &records{Shalebeam: recordsForm, Workers: map[string]record{}}
	raw, err := os.ReadFile(h.path)
	if os.IsNotExist(err) {
		return in, nil
	}
	if err != nil {
		return nil, err
	}
	*in = records{}
	if err := json.Unmarshal(raw, in); err != nil {
		return nil, err
	}
	if in.Shalebeam != recordsForm || in.Workers == nil {
		return nil, fmt.Errorf("not a file of who is out")
	}
	in.shift(h.s.clock.shiftFrom(in.Boot))
	return in, nil
}

// keep writes a change of who is out, whole, before anybody is told that it holds. What change refuses is not written.
func (h *handover) keep(change func(in *records) bool) error {
	if h.lock == nil {
		change(&records{Workers: maps.Clone(h.s.ops.staffed)})
		return nil
	}
	for tries := 0; !h.take(mayWrite); tries++ { // the other one writes a few hundred bytes
		if tries == 20 {
			return errors.New("another process writes")
		}
		time.Sleep(time.Millisecond)
	}
	defer h.drop(mayWrite)
	all, err := h.load()
	if transient.FileError(err) {
		return err // what another process has written there may not be overwritten unread
	}
	if err != nil {
		all = &records{Workers: map[string]record{}}
	}
	now := h.s.now()
	for id, o := range h.s.ops.staffed {
		if all.Workers[id].at() < o.at() {
			all.Workers[id] = o
		}
	}
	all.Boot = h.s.clock.boot
	all.Shalebeam, all.Start, all.Fences = recordsForm, h.s.ops.fleet.start, h.known(all.Fences)
	if !change(all) {
		return nil
	}
	for id, o := range all.Workers {
		if o.Back > 0 && now > o.Back+keptOut && (o.Change == 0 || len(all.Workers) > mostStaffed/2) {
			delete(all.Workers, id)
		}
	}
	raw, err := json.Marshal(all)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.path+".new", raw, 0o600); err != nil {
		return err
	}
	if err := os.Rename(h.path+".new", h.path); err != nil {
		return err
	}
	h.seen, _ = os.Stat(h.path)
	return nil
}

// shift brings all times to another scale.
func (in *records) shift(by float64) {
	for id, r := range in.Workers {
		if r.Since > 0 {
			r.Since += by
		}
		if r.Back > 0 {
			r.Back += by
		}
		in.Workers[id] = r
	}
}

// known puts the numbers that this process has seen among those of the file.
func (h *handover) known(in map[string]uint64) map[string]uint64 {
	out := maps.Clone(in)
	if out == nil {
		out = map[string]uint64{}
	}
	for m, n := range h.s.ops.fleet.numbers {
		out[m] = max(out[m], n)
	}
	return out
}

// out tells whether the worker is out by this record.
func (r record) out() bool { return r.Since > 0 && r.Back == 0 }

// at is when it was made.
func (r record) at() float64 { return max(r.Since, r.Back) }
