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

func answer(t *testing.T, l *Link, msgs string) string {
	t.Helper()
	b, err := l.Answer([]byte(`{"at_time":1000,"msgs":[` + strings.ReplaceAll(msgs, "\n", "") + `]}`))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestBadLinesAreErrors(t *testing.T) {
	for _, line := range []string{"x", "[]", `{"msgs":[]}`, `{"at_time":1}`, `{"at_time":1,"msgs":[7]}`,
		`{"at_time":1,"msgs":[{"cmd":"spawn","scheduler_id":1}]}`} {
		if _, err := New(&bytes.Buffer{}).Answer([]byte(line)); err == nil {
			t.Errorf("%s was taken", line)
		}
	}
}

func TestStrayInstancesAreSaidOnce(t *testing.T) {
	var errs bytes.Buffer
	l := New(&errs)
	for range 3 {
		if got := answer(t, l, call); got != "{\"do\":[]}\n" {
			t.Errorf("got %s", got)
		}
	}
	if n := strings.Count(errs.String(), "\n"); n != 1 {
		t.Errorf("said %d times", n)
	}
}

func TestStopThenSpawnInOneBatchForgets(t *testing.T) {
	l := New(&bytes.Buffer{})
	got := answer(t, l, spawn+","+call+`,{"cmd":"new_kind","scheduler_id":1,"odd":1}`)
	if !strings.Contains(got, `"issue"`) {
		t.Errorf("no posting in %s", got)
	}
	got = answer(t, l, `{"cmd":"stop","scheduler_id":1},`+spawn+
		`,{"cmd":"answer","scheduler_id":1,"ref":"r1","try":0,"worker":"a:1","outcome":2,"duration":1}`)
	if strings.Contains(got, "r1") {
		t.Errorf("it acts on what it forgot: %s", got)
	}
}

func TestPanicBailsOut(t *testing.T) {
	l := New(&bytes.Buffer{})
	answer(t, l, spawn)
	got := answer(t, l, strings.Replace(call, `"opts"`, `"qos":9,"opts"`, 1))
	if !strings.Contains(got, `"bail_out"`) {
		t.Errorf("got %s", got)
	}
}
