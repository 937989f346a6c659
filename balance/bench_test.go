package balance

import (
	"fmt"
	"testing"
)

// benchFleet is a scheduler with a number of workers and a number of txns running there, for the benchmarks.
type benchFleet struct {
	scheduler    *Scheduler
	now          float64
	txnCount     int
	running      []Post
	arrivalGapMs float64
}

func newBenchFleet(b *testing.B, terms Terms, workers, open int) *benchFleet {
	c := &benchFleet{scheduler: New(terms)}
	rows := make([]Listed, workers)
	for i := range rows {
		rows[i] = Listed{ID: fmt.Sprint("w", i), Cell: i / 4, Zone: i % 2, Weight: 4}
	}
	c.scheduler.ListChanged(c.now, true, rows)
	c.arrivalGapMs = 200 / float64(max(open, 1)) // each txn runs for 200 ms
	for len(c.running) < open {
		c.arrive()
		c.poll(b)
	}
	return c
}

func (c *benchFleet) arrive() {
	c.now += c.arrivalGapMs
	c.txnCount++
	c.scheduler.Arrived(c.now, Txn{Ref: fmt.Sprint(c.txnCount), Hint: 100 + float64(c.txnCount*7919%200),
		Slots: 1, TimeLeftMs: 20000})
}

// poll takes all decisions, and has each posting start at once.
func (c *benchFleet) poll(b *testing.B) {
	for {
		if f, ok := c.scheduler.NextFinal(c.now); ok {
			b.Fatalf("given up: %+v", f)
		} else if _, ok := c.scheduler.NextCancel(c.now); ok {
		} else if p, ok := c.scheduler.NextPosting(c.now); ok {
			c.scheduler.Started(c.now, p.Ref, 0)
			c.running = append(c.running, p)
		} else if _, ok := c.scheduler.NextProbe(c.now); !ok {
			break
		}
	}
	c.scheduler.Wake(c.now)
}

// runOneTxn handles one txn arriving and the oldest one ending, with all decisions in between.
func (c *benchFleet) runOneTxn(b *testing.B) {
	c.arrive()
	c.poll(b)
	p := c.running[0]
	c.running = c.running[1:]
	c.scheduler.Ended(c.now, p.Ref, 0, Done, true, NoLoad)
	c.poll(b)
}

// BenchmarkByWorkers varies the number of workers, which have 4 slots each, 70% of them in use.
func BenchmarkByWorkers(b *testing.B) {
	for _, n := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newBenchFleet(b, benchTerms, n, n*28/10)
			b.ReportAllocs()
			for b.Loop() {
				c.runOneTxn(b)
			}
		})
	}
}

var benchTerms = Terms{Seed: 1, Schedulers: 1, Tick: 2, MaxPostings: 6, Hedging: true, Cancels: true, Probes: true,
	ReportsStart: true, SlowStartInitialShare: 0.2, SlowStartMs: 20000, SlowStartWindowMs: 2000, SlowStartMultiple: 3,
	Schemes: []SchemeRow{{SLA: 1000, Stretch: 2, Expiry: 20000, Gain: 1, LateGain: 0.2}}}

// BenchmarkByRunningTxns varies the number of running txns on 7,000 workers with 4 slots.
func BenchmarkByRunningTxns(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newBenchFleet(b, benchTerms, 7000, n)
			b.ReportAllocs()
			for b.Loop() {
				c.runOneTxn(b)
			}
		})
	}
}

// BenchmarkByQueuedTxns varies the number of txns queued under overload, while 100 workers run 4 txns each and
// accept no more.
func BenchmarkByQueuedTxns(b *testing.B) {
	for _, n := range []int{200, 2000, 20000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			terms := benchTerms
			terms.Schemes = []SchemeRow{{SLA: 1000, Stretch: 1e6, Expiry: 1e9, Gain: 1, LateGain: 0.2}}
			c := newBenchFleet(b, terms, 100, 400)
			for _, w := range c.scheduler.list {
				w.concurrencyLimit = 4
			}
			for c.scheduler.queue.count < n {
				c.txnCount++
				c.scheduler.Arrived(c.now, Txn{Ref: fmt.Sprint(c.txnCount), Hint: 100 + float64(c.txnCount*7919%200),
					Slots: 1, TimeLeftMs: 1e9})
			}
			c.now += 1100
			b.ReportAllocs()
			for b.Loop() {
				for _, w := range c.scheduler.list {
					w.concurrencyLimit = 4
				}
				c.txnCount++
				c.scheduler.Arrived(c.now, Txn{Ref: fmt.Sprint(c.txnCount), Hint: 100, Slots: 1, TimeLeftMs: 1e9})
				c.poll(b)
				p := c.running[0]
				c.running = c.running[1:]
				c.scheduler.Ended(c.now, p.Ref, 0, Done, true, NoLoad)
				c.poll(b)
			}
		})
	}
}
