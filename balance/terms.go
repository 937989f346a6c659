// Package balance decides where each txn goes. All choices are in balance.go; this file holds only types:
// first those that cross its edge, then those in which it keeps what it knows. Times are milliseconds.
package balance

import (
	"slices"

	"shalebeam/balance/slowstart"
)

// Effect says what a repeat of a txn does.
type Effect int

const (
	Repeatable Effect = iota // may run again
	Referenced               // carries a mark by which its group drops a repeat
	OnceOnly                 // must never run twice
)

// Group says which workers drop repeats of a referenced txn.
type Group int

const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// SchemeRow is one scheme's row of the table that the module reads.
type SchemeRow struct {
	Name     string // by which it is the same one in other terms
	Effect   Effect
	Group    Group
	Window   float64 // how long the group remembers a mark
	SLA      float64
	Stretch  float64 // the SLA time grows by this many times the txn's own work
	Expiry   float64
	Gain     float64
	LateGain float64 // share of the gain after the SLA time
	Zones    uint64  // the workers that may run it, a bit each, by their place in the settings; 0: all
	Kinds    uint64
}

// Open tells whether a worker of a zone and kind may run it.
func (r *SchemeRow) Open(zone, kind int) bool { return has(r.Zones, zone) && has(r.Kinds, kind) }

func has(bits uint64, place int) bool { return bits == 0 || place >= 0 && bits>>min(place, 64)&1 > 0 }

// Terms are what a scheduler is told at its start.
type Terms struct {
	Seed       uint64
	Me, Peers  int
	Zone       int
	Tick       float64
	Schemes    []SchemeRow
	Quota      []float64 // txns a second within each tenant's share, by tenant
	OverGain   float64   // worth of a txn past its tenant's share, as a part
	MaxPosts   int
	Copies     bool // a txn may have two postings out
	Cancels    bool
	Probes     bool
	Messages   bool
	MustAsk    bool // the list comes only when asked for
	AskIn      float64
	TellsStart bool
	LiveWeight bool    // a worker's weight is its size, lowered by 1 + what it holds for each core
	MaxStay    float64 // longest stay-away a client heeds, 0 where none may be given
	ColdFrom   float64
	ColdFor    float64
	Fall       float64
	FallTimes  float64
	NewFee     float64 // what a new connection for each txn costs
	TellFee    float64 // what a message of 256 bytes for each txn costs, as part of the worth of all
	Idle       float64 // a worker closes connections that stood idle for so long
	// In any time of BudgetFor, postings beyond each txn's first are at most BudgetFree and BudgetRatio a txn
	// taken.
	BudgetFor, BudgetFree, BudgetRatio float64 // BudgetFor 0: there is no such rule
}

// Txn is a request as it arrived.
type Txn struct {
	Ref    string
	Scheme int
	Tenant int
	Key    string
	Hint   float64 // expected work, below 0 where there is none
	Slots  float64
	Left   float64 // until the client gives up
	Repeat bool    // the client marked it as a repeat
}

// State of a worker in the list.
type State int

const (
	Running State = iota
	Draining
	Removed
)

// Listed is one worker as the list shows it.
type Listed struct {
	ID     string
	Cell   int
	Zone   int
	Kind   int
	State  State
	Start  float64 // time of its last start, 0 for long ago
	Weight float64
}

// Outcome is how a posting or a probe ended.
type Outcome int

const (
	Done      Outcome = iota
	Erred             // may have run
	Full              // never ran
	TimedOut          // may have run
	NoConnect         // never ran
	Reset             // may have run
	Cancelled         // may have run
	NeverSent         // never ran
	Unfit             // may have run; the worker says that the request itself is wrong
)

// NeverRan reports whether the outcome proves that the posting had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnect || o == NeverSent }

// Load is what a worker reported of itself; below 0 it was not reported.
type Load struct{ Free float64 }

// NoLoad is the report of a worker that said nothing.
var NoLoad = Load{-1}

// Final is a txn's final answer where no settled posting gave it.
type Final struct {
	Ref      string
	Declined bool // else reversed
	Stay     float64
}

// Post is one posting to make.
type Post struct {
	Ref, Worker string
	Timeout     float64 // 0 means until the client gives up
	By          float64 // later than this it must not be sent; +Inf means at any time
}

// Cancel names one posting to call off.
type Cancel struct {
	Ref     string
	Posting int
}

const samplesKept = 9 // an odd few: the median stands against the odd heavy one

// samples holds the last few measurements; figures are worked out from them when asked for.
type samples struct {
	v, sorted [samplesKept]float64
	n, i      int
	fresh     bool
}

func (m *samples) add(x float64) {
	m.v[m.i] = x
	m.i = (m.i + 1) % samplesKept
	m.n = min(m.n+1, samplesKept)
	m.fresh = true
}

func (m *samples) at(q, none float64) float64 {
	if m.n == 0 {
		return none
	}
	if m.fresh {
		m.sorted, m.fresh = m.v, false
		slices.Sort(m.sorted[:m.n])
	}
	return m.sorted[int(q*float64(m.n-1)+0.5)]
}

type worker struct {
	Listed   // as it counts: the row, put right by what staff did
	row      Listed
	open     bool // see takes
	pull     int  // the decision for which that was worked out
	here     bool // named in the list this scheduler has
	own      []*posting
	most     int         // most own postings seen running here together
	limit    int         // how many it is given at once
	free     float64     // as last reported; below 0: not reported
	ownThen  int         // own postings when that report came
	peers    map[int]int // postings that each peer last said it has there
	told     int         // the sum of these
	fullAt   float64     // when it last showed itself full, and with how many postings known of
	fullWith int
	fails    int // in a row
	aside    float64
	bad      int // postings that ended badly, in a row, and until when it stands aside for that
	badTill  float64
	ill      map[string]ill // the same of single schemes, by name
	probing  bool
	probedAt float64
	begunAt  float64       // when the last one of those that have begun there was posted
	usedAt   float64       // when an own posting last ended there
	heardAt  float64       // when it last began or settled a posting, or answered a probe
	sent     slowstart.Log // while still cold
	rankLoad float64       // at the last ranking
	rankZone int
	rankKind int
	place    uint32 // in the list
	slots    []int  // its places in the rankings, -1 where it is not in one
	placed   bool   // it is in them
	touched  bool   // its load may have changed since
	mine     bool   // cold, and it was this scheduler's turn at the last ranking
	unbegun  int    // own postings that have not begun
	sick     bool   // it is among those that failed lately
	hash     uint32
	delay    samples
	bears    samples // how many would have run here at the pace of their hints, of all that are known of
	runs     samples // how many own ones ran together here, at the pace of their hints
}

// staffed is a worker that staff took out: whether it still is, since when, and when it was put back (0:
// never).
type staffed struct {
	out         bool
	since, back float64
}

// ill is how many postings of one scheme ended badly at a worker, in a row, and until when it stands aside
// for that.
type ill struct {
	bad  int
	till float64
}

// news is that a scheme failed at a worker, or settled there again.
type news struct {
	w      *worker
	scheme string
	ok     bool
}

// size is what workers that carry the same have in common.
type size struct {
	kind   int
	weight float64
}

// sending is when some work was sent, or settled.
type sending struct{ at, work float64 }

// sighting is when a worker showed itself full.
type sighting struct {
	w  *worker
	at float64
}

// last tells whether it is that worker's last one, and the worker is in the list.
func (f sighting) last() bool { return f.w.here && f.w.fullAt == f.at }

type posting struct {
	t                *txn
	w                *worker
	no               int
	at, start        float64
	begun, done, off bool
	lost             bool // its worker was taken to have lost it
	ran              bool // it ended, and may have run
	unfit            bool // its worker says that the request is wrong
}

type txn struct {
	Txn
	terms            *Terms // those it came under
	cost             float64
	came, due, until float64 // due: the SLA time; until: the expiry
	posts            []*posting
	out              int
	over             bool // answered or gone
	ran              bool // an ended posting may have run
	unfit            int  // workers that say the request is wrong
	surplus          bool
	hash             uint32     // of its key
	held             bool       // it stands in the queue of those that want a posting
	slot             int        // where
	waits            int        // its postings that have not begun
	dueAt            [2]float64 // when it is given up, without and with overload, as reckoned when it was held
}

func (t *txn) row() *SchemeRow { return &t.terms.Schemes[t.Scheme] }

type tenant struct{ came []float64 }
