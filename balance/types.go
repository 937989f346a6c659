// Package balance decides which worker each txn is posted to. All decisions are in balance.go. This file holds
// only types: first those of the package's interface, then those of its internal state. All times and durations
// are float64 milliseconds.
package balance

import (
	"slices"

	"shalebeam/balance/slowstart"
)

// RepeatEffect says what running a txn again does.
type RepeatEffect int

const (
	Repeatable RepeatEffect = iota // may run again
	Referenced                     // carries a mark (an idempotency key) by which the workers of its group drop a repeat
	OnceOnly                       // must never run twice
)

// DedupGroup says which workers drop repeats of a referenced txn.
type DedupGroup int

const (
	GroupAll  DedupGroup = iota // all workers
	GroupZone                   // those in the same zone
	GroupCell                   // those in the same cell
)

// covers reports whether a group that has a worker at one place has a worker at the other place too. Where a place is
// not known it does not.
func (g DedupGroup) covers(a, b Place) bool {
	switch g {
	case GroupZone:
		return a.Zone == b.Zone && a.Zone > UnknownPlace
	case GroupCell:
		return a.Cell == b.Cell && a.Cell > UnknownPlace
	}
	return true
}

// UnknownPlace is the number of a zone or cell that is not known.
const UnknownPlace = -1

// Place says where a worker is: the numbers of its zone and cell. It is part of TxnState, the JSON form of which other
// builds read: the names in its tags must not change.
type Place struct {
	Zone int `json:"Zone"`
	Cell int `json:"Cell"`
}

// unknownPlace is the place of a worker of which nothing is known.
var unknownPlace = Place{UnknownPlace, UnknownPlace}

// SchemeRow is one scheme's row of the settings, as far as this package needs it. It is part of TxnState, the
// JSON form of which other builds read: the names in its tags must not change.
type SchemeRow struct {
	Name     string       `json:"Name"`     // identifies the scheme in other Terms
	Effect   RepeatEffect `json:"Effect"`   // what running a txn of it again does
	Group    DedupGroup   `json:"Group"`    // workers that drop repeats; for referenced schemes
	Window   float64      `json:"Window"`   // how long the group remembers a mark, ms
	SLA      float64      `json:"SLA"`      // SLA time, ms, before Stretch
	Stretch  float64      `json:"Stretch"`  // the SLA time is longer by this many times the txn's expected run time
	Expiry   float64      `json:"Expiry"`   // longest time a txn may stay open, ms
	Gain     float64      `json:"Gain"`     // gain of an answer within the SLA time
	LateGain float64      `json:"LateGain"` // part of the gain that an answer after the SLA time still earns
	Zones    uint64       `json:"Zones"`    // bits of the zones that it may run in, by their place in the settings; 0: all
	Kinds    uint64       `json:"Kinds"`    // the same of kinds
}

// Open reports whether a worker of this zone and kind may run txns of the scheme.
func (r *SchemeRow) Open(zone, kind int) bool { return hasBit(r.Zones, zone) && hasBit(r.Kinds, kind) }

// hasBit reports whether bits has the bit of a place, or is 0, which stands for all places.
func hasBit(bits uint64, place int) bool {
	return bits == 0 || place >= 0 && bits>>min(place, 64)&1 > 0
}

// Terms are a scheduler's settings: what it is told at its start or by Retune.
type Terms struct {
	Seed                  uint64      // of the random numbers
	Index, Schedulers     int         // this scheduler's number, from 0, and the number of schedulers including it
	Zone                  int         // this scheduler's own zone
	Tick                  float64     // shortest delay, ms, after which the caller can poll again
	Schemes               []SchemeRow // the schemes, in the order in which Txn.Scheme numbers them
	Quota                 []float64   // txns per second within each tenant's quota, by tenant; 0: no quota
	OverQuotaGainFactor   float64     // part of the gain that a txn beyond its tenant's quota counts for
	MaxPostings           int         // postings that one txn may have in all
	Hedging               bool        // a txn may have two postings in flight
	Cancels               bool        // unstarted and superfluous postings can be cancelled
	Probes                bool        // workers answer probes
	Messages              bool        // schedulers can send messages to their peers
	PollsList             bool        // discovery sends the list only when asked
	ListPollIntervalMs    float64     // discovery is to be asked for the list at least this often, ms
	ReportsStart          bool        // workers report when a posting starts to run
	WeightShowsLoad       bool        // a worker's listed weight is its size divided by (1 + txns held per core)
	MaxStayAwayMs         float64     // longest time, ms, for which a client can be told to stay away; 0 where it can't
	SlowStartInitialShare float64     // part of its capacity that a worker has at its start, see slowstart.Limits
	SlowStartMs           float64     // length of slow start after a worker's start, ms
	SlowStartWindowMs     float64     // window of the slow-start budget, ms
	SlowStartMultiple     float64     // how many times its capacity a worker in slow start may be sent in a window
	NewConnectionCost     float64     // cost of a new connection for each txn; only whether it is 0 matters here
	MessageCost           float64     // cost of a message of 256 bytes for each txn, as a part of the gain of all txns
	WorkerIdleTimeoutMs   float64     // workers close connections that have been idle this long, ms
	// The retry budget: in any window of RetryBudgetWindowMs, the postings beyond each txn's first are at
	// most RetryBudgetMin, plus RetryBudgetRatio for each txn that arrived.
	RetryBudgetWindowMs, RetryBudgetMin, RetryBudgetRatio float64 // RetryBudgetWindowMs 0: no budget
}

// Txn is a request as it arrived. It is part of TxnState, the JSON form of which other builds read: the names
// in its tags must not change.
type Txn struct {
	Ref        string  `json:"Ref"`    // unique name
	Scheme     int     `json:"Scheme"` // index in Terms.Schemes
	Tenant     int     `json:"Tenant"` // index in Terms.Quota
	Key        string  `json:"Key"`    // names data that workers fetch and cache; empty where none is needed
	Hint       float64 `json:"Hint"`   // expected run time, ms; below 0 where there is none
	Slots      float64 `json:"Slots"`  // worker slots that it takes
	TimeLeftMs float64 `json:"Left"`   // time until the client gives up, ms
	Repeat     bool    `json:"Repeat"` // the client marked it as a repeat
}

// State is a worker's state in the list.
type State int

const (
	Running State = iota
	Draining
	Removed
)

// Listed is one worker as the list shows it.
type Listed struct {
	ID     string
	Cell   int // its group of workers, see GroupCell; may be UnknownPlace, as may Zone
	Zone   int
	Kind   int
	State  State
	Start  float64 // when it last started; 0 for long ago
	Weight float64 // size or, with Terms.WeightShowsLoad, size lowered by load
}

// place returns where the list shows the worker.
func (l *Listed) place() Place { return Place{l.Zone, l.Cell} }

// Outcome says how a posting or a probe ended.
type Outcome int

const (
	Done           Outcome = iota
	Failed                 // an error; may have run
	Full                   // turned away for lack of a slot; never ran
	TimedOut               // no answer in time; may have run
	NoConnect              // no connection to the worker; never ran
	Reset                  // connection reset; may have run
	Cancelled              // cancelled by this scheduler; may have run
	NeverSent              // the caller did not send it; never ran
	InvalidRequest         // may have run; the worker says that the request itself is invalid
)

// NeverRan reports whether the outcome proves that the posting had no effect.
func (o Outcome) NeverRan() bool { return o == Full || o == NoConnect || o == NeverSent }

// Load is what a worker reports of itself: its free slots, below 0 where it reported none.
type Load struct{ Free float64 }

// NoLoad stands for a missing report.
var NoLoad = Load{-1}

// Final is a txn's final answer where it is not that of a settled posting.
type Final struct {
	Ref        string
	Declined   bool    // declined if true, else reversed
	StayAwayMs float64 // how long the client is to stay away, ms
}

// Post is one posting to make.
type Post struct {
	Ref, Worker  string
	Timeout      float64 // ms; 0 means until the client gives up
	LatestSendAt float64 // latest time at which it may be sent; +Inf means any time
}

// Cancel names one posting to cancel.
type Cancel struct {
	Ref     string
	Posting int // its number among the txn's postings, from 0
}

const sampleCount = 9 // odd and small: the median withstands a single heavy one

// samples holds the last sampleCount measurements. Quantiles are computed when asked for.
type samples struct {
	values, sorted [sampleCount]float64
	count, next    int
	unsorted       bool
}

func (m *samples) add(x float64) {
	m.values[m.next] = x
	m.next = (m.next + 1) % sampleCount
	m.count = min(m.count+1, sampleCount)
	m.unsorted = true
}

// quantile returns the q-quantile of the samples, or none if there are no samples.
func (m *samples) quantile(q, none float64) float64 {
	if m.count == 0 {
		return none
	}
	if m.unsorted {
		m.sorted, m.unsorted = m.values, false
		slices.Sort(m.sorted[:m.count])
	}
	return m.sorted[int(q*float64(m.count-1)+0.5)]
}

// worker is the state kept of one worker. "In flight" means postings of this scheduler, unless said otherwise.
type worker struct {
	Listed                                           // the listed row after the operators' withdrawals are applied
	asListed               Listed                    // the row as the list shows it
	accepting              bool                      // result of accepts
	acceptingDecision      int                       // value of postingDecisions for which accepting was computed
	inList                 bool                      // named in the current list
	inFlight               []*posting                // this scheduler's postings here
	maxRunning             int                       // most postings of this scheduler seen running here together
	concurrencyLimit       int                       // txns given to it at once, see concurrencyLimitFor
	reportedFree           float64                   // free slots as last reported; below 0: not reported
	inFlightAtReport       int                       // len(inFlight) at that report
	peerInFlight           map[int]int               // by peer, the postings that it last said it has here
	peerInFlightSum        int                       // sum of peerInFlight
	lastFullAt             float64                   // when it was last observed to be full
	inFlightWhenFull       int                       // knownInFlight at lastFullAt
	connectionFailures     int                       // in a row: no connection, or a reset
	ejectedUntil           float64                   // earliest trial after connectionFailures
	badOutcomes            int                       // postings that ended in an error or a reset, in a row
	badOutcomeEjectedUntil float64                   // end of the ejection for badOutcomes
	failuresByScheme       map[string]schemeFailures // failures in a row of single schemes, by scheme name
	probePending           bool                      // a probe is in progress
	probedAt               float64                   // when the last probe was sent, or answered if later
	lastStartedPostedAt    float64                   // latest posting time of the postings that have started here
	lastEndedAt            float64                   // when a posting last ended here
	lastHeardAt            float64                   // when it last started or settled a posting, or answered a probe
	slowStartLog           slowstart.SendLog         // what it was sent while in slow start
	rankLoad               float64                   // its load at the last ranking
	rankZone               int                       // its zone and kind at the last ranking
	rankKind               int
	listIndex              uint32  // its place in the list
	groupIndexes           []int   // its places in its load groups, by ranking; -1 where it is not in a ranking
	ranked                 bool    // it is in the rankings
	dirty                  bool    // its load may have changed since the last ranking
	hasQuota               bool    // in slow start, and this scheduler had a quota for it at the last ranking
	unstarted              int     // postings in flight that have not started
	unhealthy              bool    // it is in Scheduler.unhealthy
	idHash                 uint32  // checksum of its ID
	startDelays            samples // times from posting to start
	// txns here at the pace of their hints, of all known in flight: count * hinted run time / actual run time
	totalConcurrency samples
	ownConcurrency   samples // the same of this scheduler's running postings alone
}

// withdrawal says whether operators have a worker withdrawn, since when, and when it was last returned (0:
// never).
type withdrawal struct {
	withdrawn               bool
	withdrawnAt, returnedAt float64
}

// schemeFailures counts the postings of one scheme that ended badly at a worker in a row, with the end of the
// ejection for it.
type schemeFailures struct {
	count        int
	ejectedUntil float64
}

// schemeReport is a message entry to peers: a scheme failed at a worker, or settled there again.
type schemeReport struct {
	worker  *worker
	scheme  string
	settled bool
}

// workerSize is what workers of equal capacity have in common.
type workerSize struct {
	kind   int
	weight float64
}

// timedWork is an amount of work (cost) and when it was sent or settled.
type timedWork struct{ at, work float64 }

// fullEvent is an observation that a worker was full.
type fullEvent struct {
	worker *worker
	at     float64
}

// isLatest reports whether this is the worker's latest full event and the worker is in the list.
func (f fullEvent) isLatest() bool { return f.worker.inList && f.worker.lastFullAt == f.at }

// posting is one attempt to run a txn at a worker.
type posting struct {
	txn                       *txn
	worker                    *worker
	place                     Place // of its worker when it was made: what the list says of the worker may change
	number                    int   // its index in its txn's postings
	postedAt, startedAt       float64
	started, ended, cancelled bool // cancelled: a cancel was issued, the outcome may still come
	countedLost               bool // it was counted as a failure, as its worker seemed to have lost it
	mayHaveRun                bool // it ended, and may have run
	calledInvalid             bool // its worker said that the request is invalid
}

// txn is an open txn, or a closed one with postings in flight.
type txn struct {
	Txn
	terms                       *Terms     // those it arrived under
	cost                        float64    // expected work: hinted run time * slots, or the median cost
	arrivedAt, slaAt, expiresAt float64    // slaAt is the end of its SLA time, expiresAt its expiry
	postings                    []*posting // in the order in which they were made
	inFlight                    int        // number of postings in flight
	closed                      bool       // answered, or its client has left
	mayHaveRun                  bool       // an ended posting may have run
	calledInvalid               int        // number of postings whose worker said that the request is invalid
	overQuota                   bool       // beyond its tenant's quota
	keyHash                     uint32     // checksum of Key
	queued                      bool       // it is in Scheduler.queue
	queueIndex                  int        // its index in Scheduler.queue.slots
	unstarted                   int        // postings in flight that have not started
	// when it is given up, without overload [0] and with it [1], as of when it was queued
	giveUpAt [2]float64
	places   [numTxnIndexes]indexPlace // its places in Scheduler.indexes
}

// schemeRow returns the scheme's row in the terms that the txn arrived under.
func (t *txn) schemeRow() *SchemeRow { return &t.terms.Schemes[t.Scheme] }

// tenant holds the times of a tenant's recent arrivals within its quota.
type tenant struct{ arrivals []float64 }
