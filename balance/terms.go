// Package balance decides where each txn goes. All choices are in balance.go;
// this file holds only the types that cross its edge. Times are milliseconds.
package balance

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
	Effect   Effect
	Group    Group
	Window   float64 // how long the group remembers a mark
	SLA      float64
	Stretch  float64 // the SLA time grows by this many times the txn's own work
	Expiry   float64
	Gain     float64
	LateGain float64 // share of the gain after the SLA time
	Kind     int     // the one kind of worker that runs it, or -1
}

// Terms are what a scheduler is told at its start.
type Terms struct {
	Seed       uint64
	Me, Peers  int
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
}

// Cancel names one posting to call off.
type Cancel struct {
	Ref     string
	Posting int
}
