package agent

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"shalebeam/fleet"
	"shalebeam/quorum"
)

// The processes of this machine's schedulers, and what operations have begun here. Processes outlive the agent: a later one
// finds them by their environment and goes on with them.

const (
	runsName    = "runs"
	runMark     = "BEAM_RUN" // in a process's environment: data folder, scheduler, place, step
	commandMost = 30 * time.Minute
	tidyEach    = 5 * time.Second
)

// Running is how one scheduler's processes stand, for status.
type Running struct {
	ID      string   `json:"id"`
	State   string   `json:"state"` // done (as wanted), going, failed
	Why     string   `json:"why,omitempty"`
	Run     bool     `json:"run"` // whether it is meant to run; a new name is not before the record gives it to this agent
	Step    uint64   `json:"step"`
	Pids    []int    `json:"pids,omitempty"`
	Addr    string   `json:"addr"`
	Program string   `json:"program"` // digests
	Config  string   `json:"config"`
	Former  []string `json:"former,omitempty"` // operations whose former version is kept
}

// pair is a program and a configuration, by what they hold.
type pair struct {
	Program string `json:"program"`
	Config  string `json:"config"`
}

// kept stands on disk.
type kept struct {
	Doer *fleet.Doer     `json:"doer"`
	Runs map[string]*ran `json:"runs"`
}

type ran struct {
	Run    bool            `json:"run"`
	New    bool            `json:"new,omitempty"` // nothing of it was started: another agent may run one of that name
	Gen    uint64          `json:"gen"`
	Good   uint64          `json:"good"`
	Pairs  map[uint64]pair `json:"pairs"`  // by step
	Former map[string]pair `json:"former"` // what ran before an operation that is not closed
}

type runs struct {
	a       *Agent
	disk    quorum.Disk
	data    string
	mu      sync.Mutex
	kept    kept
	unkept  bool // the disk has yet to take what changed last
	all     map[string]*runner
	tidied  time.Time
	http    *http.Client    // to this machine's own processes
	agreed  bool            // the record was read since the start
	touched map[string]bool // schedulers of which a step was begun since the start
	moved   chan struct{}   // closed, and another made, when processes may have moved on
}

type runner struct {
	Local
	minder fleet.Minder
	procs  [2]*process
	probes [2]bool
	place  int // whose second address was told last
}

// at is the second address of the process that serves, or of the last one that did.
func (x *runner) at() string {
	if slot, ok := x.minder.Serves(); ok {
		x.place = slot
	}
	if x.place == 1 {
		return x.Beside
	}
	return x.Addr
}

type process struct {
	pid   int
	ticks string        // when it began, by the system: a pid comes again
	gone  chan struct{} // closed once it has ended, of our own children
}

func (p *process) ended() bool {
	if p.gone != nil {
		select {
		case <-p.gone:
			return true
		default:
			return false
		}
	}
	ticks, state := born(p.pid)
	return ticks != p.ticks || state == "Z"
}

// born is when a process began and in what state it is, "" where there is none.
func born(pid int) (ticks, state string) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", ""
	}
	_, rest, _ := strings.Cut(string(raw), ") ") // a name may have blanks in it
	f := strings.Fields(rest)
	if len(f) < 20 {
		return "", ""
	}
	return f[19], f[0]
}

func newRuns(a *Agent, disk quorum.Disk) (*runs, error) {
	r := &runs{a: a, disk: disk, all: map[string]*runner{}, kept: kept{fleet.NewDoer(a.start), map[string]*ran{}}, http: NewHTTP(nil, callMost), touched: map[string]bool{},
		moved: make(chan struct{})}
	if disk == nil {
		r.agreed = true // it runs nothing
		return r, nil
	}
	var err error
	if r.data, err = filepath.Abs(a.file.Data); err != nil {
		return nil, err
	}
	switch raw, err := disk.Read(runsName); {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return nil, err
	default:
		if err := json.Unmarshal(raw, &r.kept); err != nil {
			return nil, fmt.Errorf("%s: %w", runsName, err)
		}
	}
	r.kept.Doer.Start, r.kept.Doer.Bug = a.start, a.bug
	for id, n := range r.kept.Doer.Notes {
		if n.Call == "command" && n.State == "going" {
			n.State, n.Why = "unknown", "this agent ended while the command ran"
			r.kept.Doer.Notes[id] = n
		}
	}
	now := a.clock.Now()
	for _, l := range a.file.Scheduler {
		if l.Program == "" {
			continue
		}
		x := &runner{Local: l}
		x.minder.ReadyMost = float64(time.Duration(a.file.ReadyMost).Milliseconds())
		if x.minder.KillAfter, err = expiry(l.Config); err != nil {
			return nil, fmt.Errorf("scheduler %s: %w", l.ID, err)
		}
		k := r.kept.Runs[l.ID]
		if k == nil {
			p, err := r.load(l.Program, l.Config)
			if err != nil {
				return nil, fmt.Errorf("scheduler %s: %w", l.ID, err)
			}
			k = &ran{Run: true, New: true, Pairs: map[uint64]pair{0: p}, Former: map[string]pair{}}
			r.kept.Runs[l.ID] = k
		}
		r.all[l.ID] = x
	}
	if len(r.all) == 0 {
		r.agreed = true
		return r, nil
	}
	r.adopt(now)
	return r, r.keep()
}

// agree sets what runs by the record, once that was read for sure: this agent's notes may be of an older disk, and a
// scheduler that it then ended, or left down, nobody would count.
func (r *runs) agree(ctx context.Context) {
	for ctx.Err() == nil && !r.agreed {
		within, stop := context.WithTimeout(ctx, callMost)
		rec, err := r.a.fresh(within)
		stop()
		if err != nil || rec.No == 0 {
			select {
			case <-ctx.Done():
			case <-time.After(300 * time.Millisecond):
			}
			continue
		}
		r.mu.Lock()
		for id, x := range r.all {
			k := r.kept.Runs[id]
			run := rec.ShouldRun(id, k.Run)
			if of := rec.Members[id].Agent; of != "" && of != r.a.file.Name {
				run = false // a name that was started twice
			}
			if r.touched[id] || run == k.Run {
				continue
			}
			r.a.log.Warn("the record has it otherwise", "scheduler", id, "run", run)
			k.Run = run
			x.minder.Wants(r.a.clock.Now(), k.Run, k.Gen)
		}
		r.agreed = true
		r.mustKeep()
		r.mu.Unlock()
	}
}

// expiry is how long a process may need to end, in ms: its longest txn, and its own planned stop.
func expiry(config string) (float64, error) {
	raw, err := os.ReadFile(config)
	if err != nil {
		return 0, err
	}
	var c struct {
		Mgmt     string
		Settings struct {
			Schemes []struct{ Expiry float64 }
		}
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return 0, fmt.Errorf("%s: %w", config, err)
	}
	if c.Mgmt != "" {
		return 0, fmt.Errorf("%s: mgmt is named there; the agent names it to each process", config)
	}
	most := 3000.0
	for _, s := range c.Settings.Schemes {
		most = max(most, s.Expiry/1000)
	}
	return most + 1000, nil
}

// adopt finds the processes that a former life of this agent left.
func (r *runs) adopt(now float64) {
	type left struct {
		slot int
		gen  uint64
		of   pair
	}
	found := map[string][]left{}
	dirs, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, path := range dirs {
		raw, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		for _, env := range strings.Split(string(raw), "\x00") {
			text, ok := strings.CutPrefix(env, runMark+"="+r.data+"|")
			if !ok {
				continue
			}
			part := strings.Split(text, "|")
			pid, err := strconv.Atoi(filepath.Base(filepath.Dir(path)))
			if len(part) != 3 || err != nil || r.all[part[0]] == nil {
				continue
			}
			slot, e1 := strconv.Atoi(part[1])
			gen, e2 := strconv.ParseUint(part[2], 10, 64)
			x := r.all[part[0]]
			ticks, state := born(pid)
			if e1 != nil || e2 != nil || slot < 0 || slot > 1 || x.procs[slot] != nil || ticks == "" || state == "Z" {
				continue
			}
			x.procs[slot] = &process{pid: pid, ticks: ticks}
			found[x.ID] = append(found[x.ID], left{slot, gen, pairOf(pid, string(raw))})
			r.a.log.Info("adopted", "scheduler", x.ID, "pid", pid, "place", slot, "step", gen)
		}
	}
	for id, x := range r.all {
		k, all := r.kept.Runs[id], found[id]
		slices.SortFunc(all, func(a, b left) int { return cmp.Compare(a.gen, b.gen) })
		serves := true
		if n := len(all); n > 0 && !slices.ContainsFunc(all, func(l left) bool { return l.gen == k.Gen }) {
			// Notes of an older disk: what runs is what was last wanted, and ended as unknown nothing would serve. Of two the
			// older one serves; whether a single one does has to be seen: taken to, one that never was ready stayed for ever.
			k.Gen, k.Good, serves = all[n-1].gen, all[0].gen, n > 1
			r.a.log.Warn("what runs is not what was noted", "scheduler", id, "step", k.Gen)
		}
		for _, l := range all {
			k.Run, k.New, k.Pairs[l.gen] = true, false, l.of // till the record says otherwise
		}
		x.minder.Good(k.Good)
		x.minder.Wants(now, k.Run, k.Gen)
		for _, l := range all {
			// The one that was known to serve is taken to serve.
			ready := l.gen == k.Good && serves
			x.minder.Adopt(fleet.Proc{Slot: l.slot, Gen: l.gen, Since: now, Ready: ready})
		}
	}
}

// pairOf is what a process runs, by what the system says of it.
func pairOf(pid int, environ string) (p pair) {
	exe, _ := os.Readlink(fmt.Sprintf("/proc/%d/exe", pid))
	p.Program = strings.TrimSuffix(filepath.Base(exe), " (deleted)")
	for _, env := range strings.Split(environ, "\x00") {
		if path, ok := strings.CutPrefix(env, "BALANCER_CONFIG="); ok {
			p.Config = filepath.Base(path)
		}
	}
	return p
}

// keep writes what must not be forgotten, and returns once it is. Where that fails it is tried again at the next step.
func (r *runs) keep() error {
	if r.disk == nil {
		return errors.New("this agent has no data folder")
	}
	err := r.write()
	r.unkept = err != nil
	return err
}

func (r *runs) write() error {
	raw, err := json.Marshal(&r.kept)
	if err != nil {
		return err
	}
	f, err := r.disk.Create(runsName + ".new")
	if err != nil {
		return err
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = r.disk.Rename(runsName+".new", runsName)
	}
	return err
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

func (r *runs) stored(digest string) string { return filepath.Join(r.data, "store", digest) }

// load keeps a program and a configuration by what they hold.
func (r *runs) load(program, config string) (p pair, err error) {
	if p.Program, err = r.store(program, 0o700); err == nil {
		p.Config, err = r.store(config, 0o600)
	}
	return p, err
}

func (r *runs) store(path string, mode os.FileMode) (string, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	name := digest(raw)
	if r.whole(name) == nil {
		return name, nil
	}
	if err := os.MkdirAll(filepath.Join(r.data, "store"), 0o700); err != nil {
		return "", err
	}
	tmp := r.stored(name) + ".new"
	f, err := os.OpenFile(tmp, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, mode)
	if err != nil {
		return "", err
	}
	_, err = f.Write(raw)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(tmp, r.stored(name))
	}
	return name, err
}

// whole tells whether what is kept under a digest still is what it names.
func (r *runs) whole(name string) error {
	raw, err := os.ReadFile(r.stored(name))
	if err == nil && digest(raw) != name {
		err = fmt.Errorf("what is kept as %s is something else by now", name)
	}
	return err
}

// addr is where a scheduler takes calls of the fleet now.
func (r *runs) addr(id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.all[id].at()
}

// holds tells whether a worker that an operation has out may not be told of now: a halt was told here.
func (r *runs) holds(rec *fleet.Record, w fleet.Intent) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kept.Doer.Holds(rec, w)
}

func (r *runs) list() (all []Running, halts []fleet.Halt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.a.file.Scheduler {
		x := r.all[l.ID]
		if x == nil {
			continue
		}
		k := r.kept.Runs[l.ID]
		s := Running{ID: l.ID, Run: k.Run && !k.New, Step: k.Gen, Addr: x.at(), Program: k.Pairs[k.Gen].Program, Config: k.Pairs[k.Gen].Config}
		s.State, s.Why = x.minder.State()
		for _, p := range x.procs {
			if p != nil {
				s.Pids = append(s.Pids, p.pid)
			}
		}
		for op := range k.Former {
			s.Former = append(s.Former, op)
		}
		slices.Sort(s.Former)
		all = append(all, s)
	}
	for _, h := range r.kept.Doer.Halts {
		halts = append(halts, h)
	}
	slices.SortFunc(halts, func(a, b fleet.Halt) int { return strings.Compare(a.Of, b.Of) })
	return all, halts
}

// work sees how the processes stand, and does what is due.
func (r *runs) work(ctx context.Context) {
	now := r.a.clock.Now()
	r.a.mu.Lock()
	rec := r.a.rec
	r.a.mu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kept.Doer.Lifted(rec) || r.unkept {
		r.mustKeep()
	}
	for _, l := range r.a.file.Scheduler {
		x := r.all[l.ID]
		if x == nil {
			continue
		}
		// A second one of a name would take over from the first, at its address, and end with what it had taken on.
		if k := r.kept.Runs[l.ID]; k.New && rec.Members[l.ID].Agent != r.a.file.Name {
			continue
		} else if k.New {
			k.New = false
			r.mustKeep()
		}
		for slot, p := range x.procs {
			if p != nil && p.ended() {
				x.procs[slot] = nil
				x.minder.Ended(now, slot)
				r.a.log.Info("process ended", "scheduler", x.ID, "pid", p.pid, "place", slot)
			}
		}
		for _, p := range x.minder.Procs() {
			if !p.Ready && !x.probes[p.Slot] {
				x.probes[p.Slot] = true
				go r.probe(ctx, x, p.Slot)
			}
		}
		for d, ok := x.minder.Next(now); ok; d, ok = x.minder.Next(now) {
			r.deed(now, x, d)
		}
	}
	close(r.moved)
	r.moved = make(chan struct{})
	if time.Since(r.tidied) > tidyEach && rec.No > 0 {
		r.tidied = time.Now()
		r.tidy(rec)
	}
}

func (r *runs) mustKeep() {
	if r.disk == nil {
		return // halts told here hold while it lives, as it said
	}
	was := r.unkept
	switch err := r.keep(); {
	case err != nil && !was:
		r.a.log.Error("not kept", "err", err)
	case err == nil && was:
		r.a.log.Info("kept again")
	}
}

func (r *runs) probe(ctx context.Context, x *runner, slot int) {
	addr := x.Addr
	if slot == 1 {
		addr = x.Beside
	}
	ctx, stop := context.WithTimeout(ctx, callMost)
	defer stop()
	ready := false
	if q, err := http.NewRequestWithContext(ctx, "GET", "http://"+addr+"/ops/readiness", nil); err == nil {
		q.Close = true
		if p, err := r.http.Do(q); err == nil {
			p.Body.Close()
			ready = p.StatusCode == 200
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if x.probes[slot] = false; !ready || x.procs[slot] == nil {
		return
	}
	x.minder.Ready(slot)
	k := r.kept.Runs[x.ID]
	for _, p := range x.minder.Procs() {
		if p.Slot == slot && p.Gen == k.Gen && k.Good != k.Gen {
			k.Good = k.Gen
			r.mustKeep()
		}
	}
	r.a.stir()
	r.a.log.Info("process ready", "scheduler", x.ID, "pid", x.procs[slot].pid, "place", slot)
}

func (r *runs) deed(now float64, x *runner, d fleet.Deed) {
	p := x.procs[d.Slot]
	switch {
	case d.Do == "start":
		if err := r.spawn(x, d); err != nil {
			r.a.log.Error("not started", "scheduler", x.ID, "err", err)
			x.minder.Started(now, d.Slot, err.Error())
		}
	case p == nil:
	case d.Do == "term":
		r.a.log.Info("process told to end", "scheduler", x.ID, "pid", p.pid, "step", d.Gen)
		_ = syscall.Kill(p.pid, syscall.SIGTERM)
	case d.Do == "kill":
		r.a.log.Warn("process killed", "scheduler", x.ID, "pid", p.pid, "step", d.Gen)
		_ = syscall.Kill(p.pid, syscall.SIGKILL)
	}
}

// spawn starts a process in a session of its own: it is to outlive this agent.
func (r *runs) spawn(x *runner, d fleet.Deed) error {
	of, ok := r.kept.Runs[x.ID].Pairs[d.Gen]
	if !ok {
		return fmt.Errorf("nothing is kept of step %d", d.Gen)
	}
	for _, name := range []string{of.Program, of.Config} {
		if err := r.whole(name); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(r.data, x.ID+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	tmp, mgmt := x.Tmp, x.Addr
	if tmp == "" {
		tmp = r.data
	}
	if d.Slot == 1 {
		mgmt = x.Beside
	}
	cmd := exec.Command(r.stored(of.Program), "serve")
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+r.stored(of.Config), "BALANCER_MGMT="+mgmt, "TMPDIR="+tmp,
		fmt.Sprintf("%s=%s|%s|%d|%d", runMark, r.data, x.ID, d.Slot, d.Gen))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{pid: cmd.Process.Pid, gone: make(chan struct{})}
	x.procs[d.Slot] = p
	r.a.log.Info("process started", "scheduler", x.ID, "pid", p.pid, "place", d.Slot, "step", d.Gen)
	go func() {
		_ = cmd.Wait()
		close(p.gone)
		r.a.stir()
	}()
	return nil
}

// tidy drops what is kept for the way back of operations that are closed, and of the store what nobody names any more.
func (r *runs) tidy(rec *fleet.Record) {
	changed, named := false, map[string]bool{}
	for id, k := range r.kept.Runs {
		for op := range k.Former {
			if o := rec.Ops[op]; o == nil || o.Closed {
				delete(k.Former, op)
				changed = true
			}
		}
		for gen := range k.Pairs {
			used := gen == k.Gen || gen == k.Good
			if x := r.all[id]; x != nil {
				for _, p := range x.minder.Procs() {
					used = used || p.Gen == gen
				}
			}
			if !used {
				delete(k.Pairs, gen)
				changed = true
			}
		}
		for _, p := range k.Pairs {
			named[p.Program], named[p.Config] = true, true
		}
		for _, p := range k.Former {
			named[p.Program], named[p.Config] = true, true
		}
	}
	if changed {
		r.mustKeep()
		files, _ := filepath.Glob(filepath.Join(r.data, "store", "*"))
		for _, path := range files {
			if !named[filepath.Base(path)] {
				_ = os.Remove(path)
			}
		}
	}
}

// ---- what operations have done here ----

// act takes a call of an operation's owner. What was begun is told how far it is; what was not begins only after the
// record was read for sure since the call came.
func (a *Agent) act(w http.ResponseWriter, q *http.Request) {
	var do fleet.Do
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, bodyMost)).Decode(&do); err != nil {
		refuse(w, 400, err.Error())
		return
	}
	r := a.runs
	if do.Call == "look" {
		r.mu.Lock()
		x := r.all[do.Member]
		down := x != nil && x.minder.Down()
		r.mu.Unlock()
		say(w, 200, fleet.Did{State: "going", Start: a.start, Down: down})
		return
	}
	if did, known := r.known(q.Context(), do); known {
		say(w, 200, did)
		return
	}
	ctx, stop := context.WithTimeout(q.Context(), callMost/2)
	defer stop()
	rec, err := a.fresh(ctx)
	if err != nil {
		rec = nil
		if a.bug == "stale-step" {
			rec = a.rec
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	before, had := r.kept.Doer.Notes[do.Member]
	var was ran
	if k := r.kept.Runs[do.Member]; k != nil {
		was = *k
		was.Pairs, was.Former = maps.Clone(k.Pairs), maps.Clone(k.Former)
	}
	did, begin := r.kept.Doer.Begin(do, rec)
	if !begin {
		if did.State == "unknown" {
			r.mustKeep()
		}
		say(w, 200, did)
		return
	}
	if err := r.begin(do, rec); err != nil {
		n := r.kept.Doer.Notes[do.Member]
		n.State, n.Why = "failed", err.Error()
		r.kept.Doer.Notes[do.Member] = n
	}
	if err := r.keep(); err != nil {
		// Not kept, it would be begun again by a later life. Nothing has been done yet.
		if delete(r.kept.Doer.Notes, do.Member); had {
			r.kept.Doer.Notes[do.Member] = before
		}
		if k := r.kept.Runs[do.Member]; k != nil {
			*k = was
		}
		say(w, 200, fleet.Did{State: "refused", Why: "it could not be kept: " + err.Error(), Start: a.start})
		return
	}
	r.touched[do.Member] = true
	n := r.kept.Doer.Notes[do.Member]
	a.log.Info("begun", "op", do.Op, "member", do.Member, "call", do.Call, "step", do.No, "takes", fleet.Takes(rec.Ops[do.Op].Steps[do.Member]),
		"state", n.State, "why", n.Why)
	if x := r.all[do.Member]; x != nil && n.State == "going" {
		k := r.kept.Runs[do.Member]
		x.minder.Wants(a.clock.Now(), k.Run, k.Gen)
	} else if n.State == "going" {
		go r.command(do, rec)
	}
	a.stir()
	say(w, 200, fleet.Did{State: n.State, Why: n.Why, Start: a.start})
}

// known tells how far a step is that was begun, and waits with that till it is over, for part of the caller's time: asked
// again and again, a step was known to be over only at the next call.
func (r *runs) known(ctx context.Context, do fleet.Do) (fleet.Did, bool) {
	over := time.After(callMost / 2)
	for {
		r.mu.Lock()
		r.refresh(do.Member)
		did, known := r.kept.Doer.Known(do)
		moved := r.moved
		r.mu.Unlock()
		if !known || did.State != "going" {
			return did, known
		}
		select {
		case <-moved:
		case <-over:
			return did, true
		case <-ctx.Done():
			return did, true
		}
	}
}

// begin works out what a step wants of a scheduler's processes.
func (r *runs) begin(do fleet.Do, rec *fleet.Record) error {
	op := rec.Ops[do.Op]
	if do.Call == "command" {
		if i := slices.IndexFunc(r.a.file.Worker, func(s Site) bool { return s.ID == do.Member }); i < 0 || len(r.a.file.Worker[i].Command) == 0 {
			return errors.New("no command for it in this agent's file")
		}
		return nil
	}
	k := r.kept.Runs[do.Member]
	if k == nil || r.all[do.Member] == nil {
		return errors.New("this agent runs no such scheduler")
	}
	if do.Call == "stop" {
		k.Run = false
		return nil
	}
	now := k.Pairs[k.Gen]
	if x := r.all[do.Member]; k.Good != k.Gen {
		if state, _ := x.minder.State(); state == "failed" {
			now = k.Pairs[k.Good] // what serves
		}
	}
	want, again := now, op.Kind == "restart" && !op.Back
	s := op.Steps[do.Member]
	switch former, kept := k.Former[op.ID]; {
	case op.Kind == "release" && (op.Back || s.Undo):
		if kept {
			want = former
		} else if now.Program == op.Version.Digest {
			return errors.New("what ran before is not kept here")
		}
		for _, name := range []string{want.Program, want.Config} {
			if err := r.whole(name); err != nil {
				return fmt.Errorf("the former version: %w", err)
			}
		}
	case op.Kind == "release":
		v := op.Version
		if v.Program != "" {
			name, err := r.store(v.Program, 0o700)
			if err != nil {
				return err
			}
			if name != v.Digest {
				return fmt.Errorf("%s is %s here, not what is released", v.Program, name)
			}
			want.Program = name
		}
		if v.Config != "" {
			name, err := r.store(strings.ReplaceAll(v.Config, "{id}", do.Member), 0o600)
			if err != nil {
				return err
			}
			want.Config = name
		}
		if !kept && now != want { // by notes of an older disk it may be begun again: what runs then is not what ran before
			k.Former[op.ID] = now
		}
	case s.Undo:
		again = false
	}
	if want == k.Pairs[k.Good] && !again && k.Run {
		k.Gen = k.Good // that one serves, or did last
		return nil
	}
	k.Run, k.Gen = true, do.No
	k.Pairs[do.No] = want
	return nil
}

// refresh brings the note of a member's last step up to how its processes stand.
func (r *runs) refresh(member string) {
	n, x := r.kept.Doer.Notes[member], r.all[member]
	if x == nil || n.State != "going" {
		return
	}
	if n.State, n.Why = x.minder.State(); n.State != "going" {
		r.kept.Doer.Notes[member] = n
		r.mustKeep()
	}
}

// command runs the site's own for a worker that is out.
func (r *runs) command(do fleet.Do, rec *fleet.Record) {
	i := slices.IndexFunc(r.a.file.Worker, func(s Site) bool { return s.ID == do.Member })
	op := rec.Ops[do.Op]
	version := op.Version.Name
	if op.Back {
		version = "former"
	}
	var args []string
	for _, a := range r.a.file.Worker[i].Command {
		args = append(args, strings.NewReplacer("{worker}", do.Member, "{version}", version, "{step}", fmt.Sprint(do.No)).Replace(a))
	}
	ctx, stop := context.WithTimeout(context.Background(), commandMost)
	defer stop()
	out, err := exec.CommandContext(ctx, args[0], args[1:]...).CombinedOutput()
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.kept.Doer.Notes[do.Member]
	if n.No != do.No {
		return
	}
	if n.State = "done"; err != nil {
		n.State, n.Why = "failed", fmt.Sprintf("%v: %.200s", err, out)
	}
	r.kept.Doer.Notes[do.Member] = n
	r.mustKeep()
	r.a.log.Info("command ended", "worker", do.Member, "step", do.No, "state", n.State, "why", n.Why)
}

// HaltAnswer is an agent's yes to a halt: from it on nothing new is taken out by this agent.
type HaltAnswer struct {
	Agent string   `json:"agent"`
	Under []string `json:"under_way,omitempty"` // members that were being taken out here already
}

// haltHere halts this machine at once, whatever the record says.
func (a *Agent) haltHere(w http.ResponseWriter, q *http.Request) {
	var h fleet.Halt
	if err := json.NewDecoder(http.MaxBytesReader(w, q.Body, 4<<10)).Decode(&h); err != nil || h.Of == "" || h.By == "" ||
		len(h.Of)+len(h.By)+len(h.Why) > 1000 {
		refuse(w, 400, "a halt names what it is of, and by whom")
		return
	}
	r := a.runs
	r.mu.Lock()
	defer r.mu.Unlock()
	h.No = 0
	_, there := r.kept.Doer.Halts[h.Of]
	if !there {
		r.kept.Doer.Halts[h.Of] = h
		a.log.Warn("halted here", "of", h.Of, "by", h.By, "why", h.Why)
	}
	if !there || r.unkept {
		if err := r.keep(); err != nil {
			refuse(w, 503, "halted here, and it could not be kept over a restart: "+err.Error())
			return
		}
	}
	yes := HaltAnswer{Agent: a.file.Name}
	for id, n := range r.kept.Doer.Notes {
		if n.State == "going" {
			yes.Under = append(yes.Under, id)
		}
	}
	slices.Sort(yes.Under)
	say(w, 200, yes)
}

// putHalts puts halts that were told here on record, as soon as that can be.
func (a *Agent) putHalts(ctx context.Context) {
	r := a.runs
	r.mu.Lock()
	var open []fleet.Halt
	for _, h := range r.kept.Doer.Halts {
		if h.No == 0 {
			open = append(open, h)
		}
	}
	r.mu.Unlock()
	slices.SortFunc(open, func(x, y fleet.Halt) int { return strings.Compare(x.Of, y.Of) })
	for _, h := range open {
		got, err := a.do(ctx, fleet.Command{Do: "halt", ID: h.Of, By: h.By, Why: h.Why, Then: h.Then, Caller: a.caller("halt")})
		if err != nil {
			continue
		}
		r.mu.Lock()
		if got.Done {
			h.No = got.No
			r.kept.Doer.Halts[h.Of] = h
		} else {
			delete(r.kept.Doer.Halts, h.Of) // of nothing that the record knows
			a.log.Warn("halt dropped", "of", h.Of, "why", got.Why)
		}
		r.mustKeep()
		r.mu.Unlock()
	}
}
