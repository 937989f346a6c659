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
	metricsPath = "/ops/metrics"
	metricsType = "Content-Type: application/openmetrics-text; version=1.0.0; charset=utf-8\r\n"
	passedAfter = 2000.0 // ms without a further failure of a kind, after which its run has ended
)

// outcomeNames are the label values of attempts, by outcome.
var outcomeNames = map[balance.Outcome]string{balance.Done: "done", balance.Erred: "error", balance.Full: "turned_away",
	balance.NoConnect: "no_connection", balance.Reset: "reset", balance.TimedOut: "timeout", balance.Cancelled: "cancelled",
	balance.NeverSent: "never_sent", balance.Unfit: "unfit"}

// metrics counts what came of requests and attempts, and follows the system calls that fail.
type metrics struct {
	s          *Scheduler
	attempts   map[balance.Outcome]uint64
	left       uint64 // requests whose client closed its connection before the answer
	unanswered uint64 // requests whose connection ended otherwise before the answer
	runs       map[eventloop.Failure]*failureRun
}

// failureRun is a row of failures of one kind, with no long time between two of them.
type failureRun struct {
	open  bool
	first uint64 // of the count of that kind
	last  uint64
	at    float64 // when the last one was seen
}

func (m *metrics) init(s *Scheduler) {
	*m = metrics{s: s, attempts: map[balance.Outcome]uint64{}, runs: map[eventloop.Failure]*failureRun{}}
}

// sweep logs a line for the first of a run of like failures, and one for its end with the count.
func (m *metrics) sweep(now float64) {
	for kind, count := range m.s.loop.Failures() {
		r := m.runs[kind]
		if r == nil {
			r = &failureRun{}
			m.runs[kind] = r
		}
		if count > r.last {
			if !r.open {
				r.open, r.first = true, r.last
				m.s.log.Printf("msg=system state=failing call=%s errno=%s", kind.Call, unix.ErrnoName(kind.Errno))
			}
			r.last, r.at = count, now
		} else if r.open && now > r.at+passedAfter {
			r.open = false
			m.s.log.Printf("msg=system state=passed call=%s errno=%s count=%d", kind.Call, unix.ErrnoName(kind.Errno), r.last-r.first)
		}
	}
}

// text is all of it in the form of OpenMetrics.
func (m *metrics) text() string {
	var b strings.Builder
	finals := m.s.drive.finals
	family(&b, "shalebeam_requests", "counter", "Requests by what came of them.")
	for _, row := range []struct {
		result string
		count  uint64
	}{{"done", uint64(finals.Settled)}, {"refused", uint64(finals.Declined)}, {"failed", uint64(finals.Reversed)},
		{"client_left", m.left}, {"unanswered", m.unanswered}} {
		fmt.Fprintf(&b, "shalebeam_requests_total{result=%q} %d\n", row.result, row.count)
	}
	family(&b, "shalebeam_attempts", "counter", "Attempts at workers by how they ended.")
	for _, how := range slices.Sorted(maps.Keys(outcomeNames)) {
		fmt.Fprintf(&b, "shalebeam_attempts_total{outcome=%q} %d\n", outcomeNames[how], m.attempts[how])
	}
	family(&b, "shalebeam_system_call_failures", "counter", "System calls that failed, by call and error.")
	failures := m.s.loop.Failures()
	for _, kind := range slices.SortedFunc(maps.Keys(failures), func(a, b eventloop.Failure) int {
		return cmp.Or(cmp.Compare(a.Call, b.Call), cmp.Compare(a.Errno, b.Errno))
	}) {
		fmt.Fprintf(&b, "shalebeam_system_call_failures_total{call=%q,errno=%q} %d\n", kind.Call, unix.ErrnoName(kind.Errno),
			failures[kind])
	}
	for _, row := range []struct {
		name, help string
		value      int
	}{{"shalebeam_open_requests", "Requests that wait for their answer.", len(m.s.drive.txns)},
		{"shalebeam_client_connections", "Connections of clients.", len(m.s.clients.all)},
		{"shalebeam_worker_connections", "Connections to workers.", len(m.s.pool.conns)}} {
		family(&b, row.name, "gauge", row.help)
		fmt.Fprintf(&b, "%s %d\n", row.name, row.value)
	}
	return b.String() + "# EOF\n"
}

func family(b *strings.Builder, name, kind, help string) {
	fmt.Fprintf(b, "# TYPE %s %s\n# HELP %s %s\n", name, kind, name, help)
}
