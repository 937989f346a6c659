// Package live plays an experiment in real time on loopback sockets, against real processes of the program:
// workers and discovery are real listeners, clients real connections, and schedulers are really killed,
// stopped and reloaded. Parts and faults are those of simulated time, drawn from the same seed.
//
// What differs from simulated time is said in docs/lab.md; above all, a machine that vanished still has its
// connections accepted by the system, and says nothing on them.
package live

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shalebeam/balance"
	"shalebeam/lab/audit"
	"shalebeam/lab/load"
	"shalebeam/lab/machine"
	"shalebeam/lab/plan"
	"shalebeam/lab/script"
	"shalebeam/lab/tally"
)

// quiet drops what net/http says of connections that faults broke.
var quiet = log.New(io.Discard, "", 0)

const (
	answerIn = 250.0 // beyond the expiry: real machines pause
	givenUp  = 250.0
)

// Options are what a run needs beside the plan.
type Options struct {
	Program  string // the shalebeam program
	Dir      string // for configurations and logs; empty: a temporary one, taken away afterwards
	Keep     string // the txn whose history is kept
	Progress func(done float64)
	Tell     func(text string)     // faults and ends of processes, in words
	Serving  func(front, a string) // once all schedulers serve: an address of one, and a scheme
	Outcome  func(j *load.Job)     // each job that is over
	Guests   bool                  // workers also serve what did not come by the plan
	Agent    func(no int) string   // the address of a scheduler's agent, for its configuration
	Env      []string              // more of the schedulers' environment
	// Fleet is called once all schedulers serve; what it returns is waited for before they are ended.
	Fleet func(f *Fleet) (wait func())
	// Mark is what stands in the environment of schedulers that others start, before "|ID|...": the lab starts none then.
	// Logs holds a folder for each of those others with its schedulers' logs; Begin has them begin, once all is prepared.
	Mark, Logs string
	Begin      func(f *Fleet) error
	Told       func(pid int) bool // whether those others told a process to end
}

// Fleet is a running day, for those who act on it from outside the plan.
type Fleet struct{ w *world }

// Member is a scheduler as others reach it.
type Member struct{ ID, Zone, Mgmt, Log string }

// Schedulers lists the schedulers.
func (f *Fleet) Schedulers() (all []Member) {
	for _, n := range f.w.nodes {
		all = append(all, Member{n.name(), f.w.p.Schedulers.Zones[n.zone], n.mgmt, n.log()})
	}
	return all
}

// Workers lists the workers with their zones.
func (f *Fleet) Workers() map[string]string {
	all := map[string]string{}
	for _, b := range f.w.boxes {
		all[b.Name] = f.w.p.Zones()[b.Zone]
	}
	return all
}

// Out tells the auditor that from now on no scheduler may send anything new to a worker, or that each may again.
func (f *Fleet) Out(worker string, out bool) {
	for _, n := range f.w.nodes {
		f.w.note(func(at float64) { f.w.audit.Staffed(at, n.name(), worker, out) })
	}
}

// Kill ends a scheduler by force and starts it again after a time, from nothing: what it kept of who is out goes with its
// machine. Stop has it stand still for so long.
func (f *Fleet) Kill(no int, again time.Duration) {
	n := f.w.nodes[no]
	if f.w.opt.Mark != "" {
		n.signal(syscall.SIGKILL)
		return // its agent starts it again
	}
	if n.signal(syscall.SIGKILL) {
		time.AfterFunc(again, func() {
			_ = os.Remove(filepath.Join(f.w.dir, "shalebeam-"+strings.ReplaceAll(n.addr, ":", "-")+".out"))
			_ = n.start()
		})
	}
}

// Late has discovery tell each change by so many ms later, for as long.
func (f *Fleet) Late(ms float64, long time.Duration) {
	f.w.disc.act(script.Act{Do: "lag", Begin: true, Factor: ms})
	time.AfterFunc(long, func() { f.w.disc.act(script.Act{Do: "lag", Factor: ms}) })
}

func (f *Fleet) Stop(no int, still time.Duration) {
	n := f.w.nodes[no]
	if from, name := f.w.now(), n.process(); n.signal(syscall.SIGSTOP) {
		time.AfterFunc(still, func() {
			f.w.note(func(at float64) { f.w.audit.Stood(name, from, at) }) // before what it does then
			n.signal(syscall.SIGCONT)
		})
	}
}

// world is one run.
type world struct {
	p       *plan.Plan
	seed    uint64
	opt     Options
	program string
	dir     string
	ctx     context.Context
	stop    context.CancelFunc
	begun   atomic.Pointer[time.Time] // read by discovery before it is set anew
	disc    disc
	relay   relay
	net     network
	nodes   []*node
	boxes   []*box
	closers []func()
	audit   *audit.Auditor
	got     *tally.Result
	mu      sync.Mutex
	jobs    map[string]*load.Job // by reference of each try
	counts  map[string]int       // postings of a txn that came to workers
	events  []heard
	cancels map[*load.Job]context.CancelFunc
	cuts    []*script.Cut
	healed  *sync.Cond
	open    int
	waiting sync.WaitGroup
	rows    []balance.SchemeRow // all schemes and their twins
	phase   plan.Phase          // of a retune
	twins   bool                // clients use the schemes' twins
	out     map[string]int      // workers that staff took out, how many times
	crashed error
	lates   [][2]float64 // when this process ran late, and by how much
}

// heard is something for the auditor, which is told all in order of time once the run is over: parts see
// things at slightly different times, and a connection's end later than what follows from it.
type heard struct {
	at float64
	do func(at float64)
}

func (w *world) now() float64 {
	return float64(time.Since(*w.begun.Load())) / float64(time.Millisecond)
}
func (w *world) wall() float64 { return float64(time.Now().UnixNano()) / 1e6 }

func (w *world) note(do func(at float64)) { w.noteAt(w.now(), do) }

func (w *world) noteAt(at float64, do func(at float64)) {
	w.mu.Lock()
	w.events = append(w.events, heard{at, do})
	w.mu.Unlock()
}

// network adds what the plan says to what loopback costs.
type network struct {
	w     *world
	mu    sync.Mutex
	r     *rand.Rand
	more  float64
	lossy float64
}

func (n *network) lost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.r.Float64() < 1-(1-n.w.p.Network.Loss)*(1-n.lossy)
}

// wait is how long a message is under way.
func (n *network) wait() time.Duration {
	ms := 0.0
	for n.lost() {
		ms += float64(n.w.p.Network.Resend)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	ms += float64(n.w.p.Network.Delay) + n.more + float64(n.w.p.Network.Jitter)*n.r.Float64()
	return time.Duration(ms * float64(time.Millisecond))
}

// whole waits until no cut lies between a worker and the scheduler at the other end.
func (w *world) whole(c *conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.cutBetween(script.Part{Kind: "workers", No: c.b.no}, script.Part{Kind: "schedulers", No: c.sched}) {
		w.healed.Wait()
	}
}

func (w *world) phaseNow() plan.Phase {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.phase
}

func (w *world) isOut(worker string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out[worker] > 0
}

func (w *world) cutBetween(a, b script.Part) bool {
	return slices.ContainsFunc(w.cuts, func(c *script.Cut) bool { return c.Between(a, b) })
}

// later has something happen after so many milliseconds, unless the run is over by then.
func (w *world) later(ms float64, do func()) {
	time.AfterFunc(time.Duration(ms*float64(time.Millisecond)), func() {
		if w.ctx.Err() == nil {
			do()
		}
	})
}

func (w *world) job(ref string) *load.Job {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[ref]
}

// posted numbers a posting that came to a worker whole and tells the auditor.
func (w *world) posted(came float64, sched int, b *box, ref string) int {
	w.mu.Lock()
	no := w.counts[ref]
	w.counts[ref]++
	w.got.Postings++
	w.mu.Unlock()
	name := w.nodes[sched].process()
	w.noteAt(came, func(at float64) { w.audit.Posted(at, name, ref, no, b.Name, b.Zone, b.Cell) })
	return no
}

// noteOf tells the auditor of a posting.
func (w *world) noteOf(v *visit, do func(at float64)) {
	if !v.guest {
		w.note(do)
	}
}

// guest makes a job of a request that did not come by the plan: somebody's own, with curl, say.
func (w *world) guest(r *http.Request) *load.Job {
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	i := slices.IndexFunc(w.p.Schemes, func(c plan.Scheme) bool { return c.Name == first })
	if i < 0 {
		return nil
	}
	return &load.Job{Scheme: i, Work: w.p.Schemes[i].Cost.Expect(), Slots: w.p.Schemes[i].Slots}
}

func (w *world) ended(v *visit, how balance.Outcome, before float64) {
	if v.guest {
		return
	}
	w.noteAt(max(w.now()-before, v.at), func(at float64) { w.audit.Ended(at, v.ref, v.no, how) })
}

// Play plays a plan with a seed. When ctx is done it stops early, and the result says so.
func Play(ctx context.Context, p *plan.Plan, seed uint64, opt Options) (*tally.Result, error) {
	w := &world{p: p, seed: seed, opt: opt, program: opt.Program, dir: opt.Dir,
		got: tally.New(p, "adus", "sockets", seed), jobs: map[string]*load.Job{}, counts: map[string]int{},
		cancels: map[*load.Job]context.CancelFunc{}, rows: p.Rows(), out: map[string]int{}}
	begun := time.Now()
	w.begun.Store(&begun)
	w.healed = sync.NewCond(&w.mu)
	w.net = network{w: w, r: load.Rand(seed, "network")}
	w.ctx, w.stop = context.WithCancel(ctx)
	defer w.close()
	if w.dir == "" {
		dir, err := os.MkdirTemp("", "beamlab-")
		if err != nil {
			return nil, err
		}
		w.dir = dir
		defer os.RemoveAll(dir)
	}
	if err := os.MkdirAll(w.dir, 0o755); err != nil {
		return nil, err
	}
	if err := w.build(); err != nil {
		return nil, err
	}
	if err := w.ready(); err != nil {
		return nil, err
	}
	serving := time.Now()
	w.begun.Store(&serving)
	wait := func() {}
	if opt.Fleet != nil {
		wait = opt.Fleet(&Fleet{w})
	}
	w.run(ctx)
	wait()
	w.finish(ctx.Err() != nil)
	return w.got, w.crashed
}

// watchSelf notes when this process, or its machine, ran late: a day of many processes may have no core for it.
func (w *world) watchSelf() {
	const each = 2 * time.Millisecond
	for at := time.Now(); w.ctx.Err() == nil; at = time.Now() {
		time.Sleep(each)
		w.lateBy(float64(time.Since(at)-each) / 1e6)
	}
}

func (w *world) lateBy(late float64) {
	if late > 5 {
		now := w.now()
		w.mu.Lock()
		w.lates = append(w.lates, [2]float64{now, late})
		w.mu.Unlock()
	}
}

// late is the most that it was late by in a span, told with w.mu held.
func (w *world) late(from, to float64) (most float64) {
	for _, l := range w.lates {
		if l[0] > from-50 && l[0]-l[1] < to+50 {
			most = max(most, l[1])
		}
	}
	return most
}

func (w *world) close() {
	w.stop()
	w.mu.Lock()
	w.cuts = nil
	w.healed.Broadcast()
	w.mu.Unlock()
	for _, n := range w.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range w.nodes {
		n.wait()
	}
	for _, f := range w.closers {
		f()
	}
}

// build makes all parts and starts the schedulers.
func (w *world) build() error {
	p := w.p
	// Whether two postings are out together can't be judged here: a worker sees a connection's end too late.
	terms := audit.Terms{Copies: true, MaxPosts: p.Schedulers.MaxPosts, AnswerIn: answerIn,
		Grace: float64(p.Discovery.Grace) + 50, GivenUp: givenUp, SentIn: hungUp, Keep: w.opt.Keep,
		Late: w.late}
	go w.watchSelf()
	terms.Schemes = w.rows
	if w.opt.Mark == "" && p.Discovery.Mode != "push" { // else others start processes, and the lab does not see when
		terms.MustAsk = float64(p.Discovery.MustAsk)
	}
	w.audit = audit.New(terms)
	marks, saves := map[string]*machine.Shelf{}, map[int]*machine.Shelf{}
	meanWork := p.MeanWork()
	for i, b := range p.Boxes() {
		x := &box{w: w, no: i, Box: b, m: machine.New(p.Spec(b.Group, meanWork)), up: p.Workers[b.Group].Joins == 0,
			rand: load.Rand(w.seed, "worker"+b.Name), visits: map[*machine.Job]*visit{}, conns: map[*conn]bool{},
			marks: map[balance.Group]*machine.Shelf{}}
		x.m.Change(w.wall(), func() {})
		x.reports = [2]float64{float64(x.m.Slots), float64(x.m.Slots)}
		if saves[b.Cell] == nil {
			saves[b.Cell] = machine.NewShelf()
		}
		x.m.Saves = saves[b.Cell]
		for g, key := range map[balance.Group]string{balance.GroupAll: "all",
			balance.GroupZone: fmt.Sprint("zone", b.Zone), balance.GroupCell: fmt.Sprint("cell", b.Cell)} {
			if marks[key] == nil {
				marks[key] = machine.NewShelf()
			}
			x.marks[g] = marks[key]
		}
		if err := x.open(); err != nil {
			return err
		}
		w.boxes = append(w.boxes, x)
	}
	w.disc.init(w)
	for i := range p.Schedulers.Count {
		n := &node{w: w, no: i, zone: i % len(p.Schedulers.Zones), path: filepath.Join(w.dir, fmt.Sprint("s", i, ".json")),
			client: &http.Client{Transport: &http.Transport{DialContext: w.dial, MaxIdleConnsPerHost: 100, IdleConnTimeout: 20 * time.Second}}}
		var err error
		if n.addr, err = freeAddr("tcp"); err != nil {
			return err
		}
		if n.peer, err = freeAddr("udp"); err != nil {
			return err
		}
		if n.mgmt, err = freeAddr("tcp"); err != nil {
			return err
		}
		if n.beside, err = freeAddr("tcp"); err != nil {
			return err
		}
		if n.disc, err = w.disc.open(i); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
	}
	if err := w.relay.open(w); err != nil {
		return err
	}
	if w.opt.Mark != "" {
		for i, n := range w.nodes {
			if n.known = w.disc.whole(i); n.known == nil {
				return fmt.Errorf("no list for %s", n.name())
			}
			if err := n.write(); err != nil {
				return err
			}
		}
		go w.mind()
		return w.opt.Begin(&Fleet{w})
	}
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until all schedulers serve.
func (w *world) ready() error {
	for end := time.Now().Add(20 * time.Second); ; {
		all := true
		for _, n := range w.nodes {
			n.mu.Lock()
			all = all && n.listed
			n.mu.Unlock()
		}
		if all {
			return nil
		}
		w.mu.Lock()
		err := w.crashed // which also ends the run
		w.mu.Unlock()
		if err = cmp.Or(err, w.ctx.Err()); err != nil {
			return err
		}
		if time.Now().After(end) {
			return fmt.Errorf("not all schedulers serve after 20 s; their logs are in %s", w.dir)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// list tells the front that a scheduler takes clients, or no more.
func (w *world) list(n *node, listed bool) {
	n.mu.Lock()
	n.listed = listed
	n.mu.Unlock()
}

// died takes the end of a process. One that nobody asked for is a crash.
func (w *world) died(n *node, process string, killed bool, err error) {
	if w.ctx.Err() != nil {
		return
	}
	if err != nil && !killed {
		w.mu.Lock()
		w.crashed = cmp.Or(w.crashed, fmt.Errorf("%s crashed: %w", n.name(), err))
		w.mu.Unlock()
		w.stop()
	}
	// An answer that it wrote may still be on its way to its client.
	w.noteAt(w.now()+50, func(at float64) { w.audit.Died(at, process, killed) })
	w.later(float64(w.p.Clients.FrontLag), func() {
		n.mu.Lock()
		if n.cmd == nil {
			n.listed = false
		}
		n.mu.Unlock()
	})
	if w.opt.Tell != nil {
		w.opt.Tell(n.name() + " has ended")
	}
}

// run sends all jobs at their times and plays the faults.
func (w *world) run(ctx context.Context) {
	for _, a := range script.Play(w.p, w.seed) {
		w.later(a.At, func() { w.act(a) })
	}
	if w.opt.Serving != nil {
		w.opt.Serving(w.nodes[0].addr, w.p.Schemes[0].Name)
	}
	look := time.NewTicker(time.Second)
	defer look.Stop()
	go func() {
		for {
			select {
			case <-w.ctx.Done():
				return
			case <-look.C:
				w.look()
			}
		}
	}()
	stream := load.NewStream(w.p, w.seed)
	for j, ok := stream.Next(); ok && w.ctx.Err() == nil; j, ok = stream.Next() {
		select {
		case <-time.After(time.Duration((j.At - w.now()) * float64(time.Millisecond))):
		case <-w.ctx.Done():
			continue
		}
		w.mu.Lock()
		w.got.Came(j)
		w.open++
		w.mu.Unlock()
		w.waiting.Go(func() { w.client(j) })
	}
	done := make(chan struct{})
	go func() { w.waiting.Wait(); close(done) }()
	select {
	case <-done:
		if ctx.Err() == nil && w.ctx.Err() == nil {
			time.Sleep(500 * time.Millisecond) // what is wrong may still show
		}
	case <-w.ctx.Done():
		<-done
	}
}

func (w *world) look() {
	capacity := 0.0
	for _, b := range w.boxes {
		b.mu.Lock()
		if b.up {
			capacity += b.m.Capacity(b.clock()) * b.m.Speed * b.m.Slow
		}
		b.mu.Unlock()
	}
	for _, n := range w.nodes {
		n.memory()
	}
	w.mu.Lock()
	w.got.Look(w.now(), w.open, capacity)
	w.mu.Unlock()
	if w.opt.Progress != nil {
		w.opt.Progress(min(w.now()/float64(w.p.Length), 1))
	}
}

func (w *world) finish(partial bool) {
	at := w.now()
	for _, b := range w.boxes {
		b.mu.Lock()
		b.m.Advance(b.clock())
		w.got.Busy += b.m.Busy() / b.m.Speed / max(at*min(b.m.Cores, float64(b.m.Slots)), 1) / float64(len(w.boxes))
		b.mu.Unlock()
	}
	w.got.Busy = math.Round(w.got.Busy*1e4) / 1e4
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.SortStableFunc(w.events, func(a, b heard) int { return cmp.Compare(a.at, b.at) })
	for _, e := range w.events {
		e.do(e.at)
	}
	if w.got.Partial = partial; !partial {
		w.audit.Close(at)
	}
	for _, n := range w.nodes {
		w.got.Memory = max(w.got.Memory, n.most)
	}
	w.got.Close(w.audit, at)
}

// act carries out a fault.
func (w *world) act(a script.Act) {
	if w.opt.Tell != nil {
		word := "ends"
		if a.Begin {
			word = "begins"
		}
		w.opt.Tell(fmt.Sprintf("%s %s on %s %d", a.Do, word, a.Kind, a.Part))
	}
	switch a.Kind {
	case "workers":
		if b := w.boxes[a.Part]; a.Do == "maintain" {
			w.maintain(b, a.Begin)
		} else {
			b.act(a)
		}
	case "schedulers":
		w.actOnNode(w.nodes[a.Part], a)
	case "discovery":
		w.disc.act(a)
	case "network":
		w.mu.Lock()
		if a.Cut != nil && a.Begin {
			w.cuts = append(w.cuts, a.Cut)
		} else if a.Cut != nil {
			w.cuts = slices.DeleteFunc(w.cuts, func(c *script.Cut) bool { return c == a.Cut })
			w.healed.Broadcast()
		}
		w.mu.Unlock()
		sign := -1.0
		if a.Begin {
			sign = 1
		}
		w.net.mu.Lock()
		switch a.Do {
		case "delay":
			w.net.more += sign * a.Factor
		case "lossy":
			w.net.lossy = max(0, w.net.lossy+sign*a.Factor)
		}
		w.net.mu.Unlock()
	case "settings":
		w.mu.Lock()
		if a.Do == "twins" {
			w.twins = a.Begin
		} else {
			w.phase = plan.Phase(a.Part)
			for _, n := range w.nodes {
				go w.reload(n)
			}
		}
		w.mu.Unlock()
	case "clients":
		if a.Do == "cancel" && a.Begin {
			w.massCancel(a)
		}
	}
}

func (w *world) reload(n *node) {
	n.mu.Lock()
	err := n.write()
	n.mu.Unlock()
	if err == nil {
		n.signal(syscall.SIGHUP)
	}
}

// maintain has staff take a worker out at every scheduler, or put it back; it restarts meanwhile. A scheduler that
// is down is told once it is back.
func (w *world) maintain(b *box, begin bool) {
	w.mu.Lock()
	if begin {
		w.out[b.Name]++
	} else {
		w.out[b.Name]--
	}
	turns := begin && w.out[b.Name] == 1 || !begin && w.out[b.Name] == 0
	w.mu.Unlock()
	if begin {
		w.later(100, func() {
			b.act(script.Act{Do: "kill", Begin: true})
			b.act(script.Act{Do: "kill"})
		})
	}
	if !turns {
		return
	}
	for _, n := range w.nodes {
		go n.staff(b.Name, begin)
	}
}

func (w *world) actOnNode(n *node, a script.Act) {
	switch {
	case (a.Do == "kill" || a.Do == "clock") && a.Begin:
		n.signal(syscall.SIGKILL)
		if a.Do == "clock" { // clocks can't be set here: what is left of it is the restart
			w.restart(n)
		}
	case a.Do == "stop" && a.Begin:
		if n.signal(syscall.SIGTERM) {
			w.later(300, func() { w.list(n, false) })
		}
	case a.Do == "reload" && a.Begin:
		w.reload(n)
	case a.Do == "move" && a.Begin:
		w.disc.move(n)
	case (a.Do == "mute" || a.Do == "unwatch") && a.Begin:
		w.disc.breaks(n, a.Do == "mute")
	case a.Do == "kill" || a.Do == "stop":
		w.restart(n)
	}
}

// restart starts a scheduler anew once its former process has ended.
func (w *world) restart(n *node) {
	go func() {
		n.wait()
		if err := n.start(); err != nil && w.ctx.Err() == nil {
			w.mu.Lock()
			w.crashed = cmp.Or(w.crashed, err)
			w.mu.Unlock()
			w.stop()
		}
	}()
}

func (w *world) massCancel(a script.Act) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var open []*load.Job
	for j := range w.cancels {
		open = append(open, j)
	}
	slices.SortFunc(open, func(a, b *load.Job) int { return a.No - b.No })
	r := load.Rand(a.Seed, "cancel")
	for _, j := range open {
		if r.Float64() < a.Factor {
			w.cancels[j]()
		}
	}
}
