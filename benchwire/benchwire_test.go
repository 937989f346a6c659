package benchwire

import (
	"bytes"
	"strings"
	"testing"
)

const spawn = `{"cmd":"spawn","scheduler_id":1,"init_seed":7,"facts":{"tick":2000,"schemes":[
{"effect":"retryable","sla_time":1000000,"expiry":5000000,"gain":1}],"policy_limits":{"max_postings":6}}},
{"cmd":"sync","scheduler_id":1,"scope":"Persisted","revision":1,"elements":[{"worker":"a:1","condition":"Running"}]}`

const call = `{"cmd":"call","scheduler_id":1,"ref":"r1","work_hint":5000,"remaining":5000000,
"opts":1,"cores_needed":1}`

// answer passes messages to the session in a batch and returns the reply.
func answer(t *testing.T, session *Session, msgs string) string {
	t.Helper()
	b, err := session.Answer([]byte(`{"at_time":1000,"msgs":[` + strings.ReplaceAll(msgs, "\n", "") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestInvalidBatchIsAnError(t *testing.T) {
	for _, line := range []string{"x", "[]", `{"msgs":[]}`, `{"at_time":1}`, `{"at_time":1,"msgs":[7]}`,
		`{"at_time":1,"msgs":[{"cmd":"spawn","scheduler_id":1}]}`} {
		if _, err := New(&bytes.Buffer{}).Answer([]byte(line)); err == nil {
			t.Errorf("%s was accepted", line)
		}
	}
}

func TestUnknownSchedulerIsReportedOnce(t *testing.T) {
	var warnings bytes.Buffer
	session := New(&warnings)
	for range 3 {
		if got := answer(t, session, call); got != "{\"do\":[]}\n" {
			t.Errorf("got %s", got)
		}
	}
	if n := strings.Count(warnings.String(), "\n"); n != 1 {
		t.Errorf("reported %d times, want once", n)
	}
}

func TestStopThenSpawnInOneBatchDropsState(t *testing.T) {
	session := New(&bytes.Buffer{})
	got := answer(t, session, spawn+","+call+`,{"cmd":"new_kind","scheduler_id":1,"odd":1}`)
	if !strings.Contains(got, `"issue"`) {
		t.Errorf("got %s, want a posting", got)
	}
	got = answer(t, session, `{"cmd":"stop","scheduler_id":1},`+spawn+
		`,{"cmd":"answer","scheduler_id":1,"ref":"r1","try":0,"worker":"a:1","outcome":2,"duration":1}`)
	if strings.Contains(got, "r1") {
		t.Errorf("got %s, want nothing about the txn of the stopped scheduler", got)
	}
}

func TestPanicIsReported(t *testing.T) {
	session := New(&bytes.Buffer{})
	answer(t, session, spawn)
	got := answer(t, session, strings.Replace(call, `"opts"`, `"qos":9,"opts"`, 1))
	if !strings.Contains(got, `"bail_out"`) {
		t.Errorf("got %s, want bail_out", got)
	}
}
