package audit

import (
	"testing"

	"shalebeam/balance"
)

var terms = Terms{Copies: true, MaxPosts: 3, AnswerGraceMs: 50, DrainGraceMs: 50, GiveUpGraceMs: 50, Schemes: []balance.SchemeRow{
	{Effect: balance.Repeatable},
	{Effect: balance.Referenced, Group: balance.GroupCell, Window: 1000},
	{Effect: balance.OnceOnly}}}

// Each case is the history of one txn. The auditor names the violated rule, and none in a valid history.
func TestViolationsOfTxnHistories(t *testing.T) {
	accepted := func(scheme int) func(a *Auditor) { return func(a *Auditor) { a.Accepted(0, "s", "t", scheme, 5000) } }
	post := func(at float64, no, cell int) func(a *Auditor) {
		return func(a *Auditor) { a.Posted(at, "s", "t", no, "w", 0, cell) }
	}
	ended := func(at float64, no int, how balance.Outcome) func(a *Auditor) {
		return func(a *Auditor) { a.Ended(at, "t", no, how) }
	}
	made := func(a *Auditor) { a.Ran(90, "t", 0, "w", "r", false) }
	answer := func(at float64, kind string) func(a *Auditor) {
		return func(a *Auditor) { a.Answered(at, "s", "t", kind, "r") }
	}
	for name, c := range map[string]struct {
		want   string
		events []func(a *Auditor)
	}{
		"settled": {"", []func(a *Auditor){accepted(2), post(1, 0, 0), made, answer(100, Settled), ended(100, 0, balance.Done)}},
		"repeated in its group and window": {"", []func(a *Auditor){accepted(1), post(1, 0, 7), ended(100, 0, balance.Reset),
			post(200, 1, 7), made, answer(300, Settled)}},
		"repeated after it never ran": {"", []func(a *Auditor){accepted(2), post(1, 0, 7), ended(100, 0, balance.Full),
			post(200, 1, 8), made, answer(300, Settled)}},
		"answered at once":         {"", []func(a *Auditor){accepted(2), post(1, 0, 7), ended(100, 0, balance.Reset), answer(110, Reversed)}},
		"client left":              {"", []func(a *Auditor){accepted(2), func(a *Auditor) { a.ClientLeft(10, "t") }}},
		"its scheduler was killed": {"", []func(a *Auditor){accepted(2), func(a *Auditor) { a.SchedulerEnded(10, "s", true) }}},
		"no answer":                {LostTxn, []func(a *Auditor){accepted(0)}},
		"late answer":              {LostTxn, []func(a *Auditor){accepted(0), answer(5100, Declined)}},
		"stopped without answer":   {LostTxn, []func(a *Auditor){accepted(0), func(a *Auditor) { a.SchedulerEnded(10, "s", false) }}},
		"two answers":              {TwoAnswers, []func(a *Auditor){accepted(0), answer(10, Declined), answer(11, Declined)}},
		"sent after":               {PostedAfterAnswer, []func(a *Auditor){accepted(0), answer(10, Declined), post(20, 0, 0)}},
		"once-only again":          {RepeatedOnceOnly, []func(a *Auditor){accepted(2), post(1, 0, 0), ended(9, 0, balance.Cancelled), post(20, 1, 0)}},
		"once-only copied":         {RepeatedOnceOnly, []func(a *Auditor){accepted(2), post(1, 0, 0), post(20, 1, 0)}},
		"out of window":            {OutOfGroup, []func(a *Auditor){accepted(1), post(1, 0, 0), ended(9, 0, balance.Reset), post(1020, 1, 0)}},
		"out of group":             {OutOfGroup, []func(a *Auditor){accepted(1), post(1, 0, 0), ended(9, 0, balance.Reset), post(20, 1, 1)}},
		"declined":                 {DeclinedMayHaveRun, []func(a *Auditor){accepted(2), post(1, 0, 0), ended(9, 0, balance.Reset), answer(10, Declined)}},
		"declined while out":       {DeclinedMayHaveRun, []func(a *Auditor){accepted(1), post(1, 0, 0), answer(10, Declined)}},
		"held back beyond a pause": {AnswerDelayed, []func(a *Auditor){accepted(2), func(a *Auditor) { a.SchedulerPaused("s", 0, 100) }, post(1, 0, 0),
			ended(9, 0, balance.Reset), answer(400, Reversed)}},
		"paused all the time": {"", []func(a *Auditor){accepted(2), post(1, 0, 0), ended(9, 0, balance.Reset),
			func(a *Auditor) { a.SchedulerPaused("s", 10, 390) }, answer(400, Reversed)}},
		"held back": {AnswerDelayed, []func(a *Auditor){accepted(2), post(1, 0, 0), ended(9, 0, balance.Reset), answer(400, Reversed)}},
		"made up":   {ResultNotFromWorker, []func(a *Auditor){accepted(0), post(1, 0, 0), answer(10, Settled)}},
		"ran twice": {RanTwice, []func(a *Auditor){accepted(2), post(1, 0, 0), made, made, answer(100, Settled)}},
		"drained": {PostedToDrained, []func(a *Auditor){accepted(0), func(a *Auditor) {
			a.Listed(0, "s", "w", balance.Draining, 0)
		}, post(60, 0, 0), made, answer(100, Settled)}},
		"within the grace period": {"", []func(a *Auditor){accepted(0), func(a *Auditor) {
			a.Listed(0, "s", "w", balance.Draining, 0)
		}, post(40, 0, 0), made, answer(100, Settled)}},
		"flooded": {ColdWorkerOverload, []func(a *Auditor){func(a *Auditor) { a.WorkerOverloaded(1, "w", 0.7, "much") }}},
		"flooded by schedulers that did not know": {"", []func(a *Auditor){func(a *Auditor) { a.WorkerOverloaded(1, "w", 0.5, "much") }}},
	} {
		t.Run(name, func(t *testing.T) {
			a := New(terms)
			for _, event := range c.events {
				event(a)
			}
			a.Close(9999)
			var got []string
			for _, v := range a.Violations() {
				got = append(got, v.Rule)
				if v.Ref != "" && len(v.History) == 0 {
					t.Errorf("%s has no history", v)
				}
			}
			// Only the first violation counts: a history that stops after it has no answer either.
			if c.want == "" && len(got) > 0 || c.want != "" && (len(got) == 0 || got[0] != c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
