package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
	"shalebeam/scheduler/eventloop"
)

const (
	metricsPath        = "/ops/metrics"
	metricsContentType = "Content-Type: application/openmetrics-text; version=1.0.0; charset=utf-8\r\n"
	// A run of failures of one kind has ended after this time without another.
	failureRunGapMs = 2000.0
)

// outcomeNames are the values of the label outcome of shalebeam_attempts_total.
var outcomeNames = map[balance.Outcome]string{balance.Done: "done", balance.Failed: "error", balance.Full: "turned_away",
	balance.NoConnect: "no_connection", balance.Reset: "reset", balance.TimedOut: "timeout", balance.Cancelled: "cancelled",
	balance.NeverSent: "never_sent", balance.InvalidRequest: "unfit"}

// metrics counts the outcomes of requests and attempts, and follows the system calls that fail.
type metrics struct {
	s           *Scheduler
	attempts    map[balance.Outcome]uint64
	clientsLeft uint64 // requests whose client closed its connection before the answer
	unanswered  uint64 // requests whose connection ended before the answer for another reason
	failureRuns map[eventloop.FailedCall]*failureRun
}

// failureRun is a series of failures of one kind, with less than failureRunGapMs between one and the next.
type failureRun struct {
	active        bool    // the run goes on, and its first failure is logged
	countBefore   uint64  // failures of this kind before the run
	lastCount     uint64  // failures of this kind by now
	lastFailureAt float64 // when lastCount last grew, by the scheduler's clock in ms
}

func (m *metrics) init(s *Scheduler) {
	*m = metrics{s: s, attempts: map[balance.Outcome]uint64{}, failureRuns: map[eventloop.FailedCall]*failureRun{}}
}

// sweep logs one line for the first failure of a run, and one with the number of failures when the run has ended.
func (m *metrics) sweep(now float64) {
	for failure, count := range m.s.loop.FailureCounts() {
		r := m.failureRuns[failure]
		if r == nil {
			r = &failureRun{}
			m.failureRuns[failure] = r
		}
		if count > r.lastCount {
			if !r.active {
				r.active, r.countBefore = true, r.lastCount
				m.s.log.Printf("msg=system state=failing call=%s errno=%s", failure.Call, unix.ErrnoName(failure.Errno))
			}
			r.lastCount, r.lastFailureAt = count, now
		} else if r.active && now > r.lastFailureAt+failureRunGapMs {
			r.active = false
			m.s.log.Printf("msg=system state=passed call=%s errno=%s count=%d", failure.Call, unix.ErrnoName(failure.Errno),
				r.lastCount-r.countBefore)
		}
	}
}

// text returns all metrics in the OpenMetrics text format.
func (m *metrics) text() string {
	var b strings.Builder
	counts := m.s.driver.txnCounts
	writeFamilyHeader(&b, "shalebeam_requests", "counter", "Requests by what came of them.")
	for _, row := range []struct {
		result string
		count  uint64
	}{{"done", uint64(counts.Settled)}, {"refused", uint64(counts.Declined)}, {"failed", uint64(counts.Reversed)},
		{"client_left", m.clientsLeft}, {"unanswered", m.unanswered}} {
		fmt.Fprintf(&b, "shalebeam_requests_total{result=%q} %d\n", row.result, row.count)
	}
	writeFamilyHeader(&b, "shalebeam_attempts", "counter", "Attempts at workers by how they ended.")
	for _, outcome := range slices.Sorted(maps.Keys(outcomeNames)) {
		fmt.Fprintf(&b, "shalebeam_attempts_total{outcome=%q} %d\n", outcomeNames[outcome], m.attempts[outcome])
	}
	writeFamilyHeader(&b, "shalebeam_system_call_failures", "counter", "System calls that failed, by call and error.")
	failures := m.s.loop.FailureCounts()
	for _, failure := range slices.SortedFunc(maps.Keys(failures), func(a, b eventloop.FailedCall) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Errno, b.Errno))
	}) {
		fmt.Fprintf(&b, "shalebeam_system_call_failures_total{call=%q,errno=%q} %d\n", failure.Call, unix.ErrnoName(failure.Errno),
			failures[failure])
	}
	for _, row := range []struct {
		name, help string
		value      int
	}{{"shalebeam_open_requests", "Requests that wait for their answer.", len(m.s.driver.txns)},
		{"shalebeam_client_connections", "Connections of clients.", len(m.s.clients.all)},
		{"shalebeam_worker_connections", "Connections to workers.", len(m.s.pool.conns)},
		{"shalebeam_client_memory_bytes", "Memory of clients' connections, as it is held against its limit.", m.s.clients.memory.held},
		{"shalebeam_worker_memory_bytes", "Memory of workers' responses, as it is held against its limit.", m.s.pool.heldBytes}} {
		writeFamilyHeader(&b, row.name, "gauge", row.help)
		fmt.Fprintf(&b, "%s %d\n", row.name, row.value)
	}
	return b.String() + "# EOF\n"
}

// writeFamilyHeader writes the TYPE and HELP lines of a metric family.
func writeFamilyHeader(b *strings.Builder, name, kind, help string) {
	fmt.Fprintf(b, "# TYPE %s %s\n# HELP %s %s\n", name, kind, name, help)
}
