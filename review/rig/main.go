package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"syscall"
	"time"
)

// maxLength is the longest that a case may take.
const maxLength = 110 * time.Second

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases are the cases by name; each adds itself. A case returns what it saw of a broken rule.
var cases = map[string]func(b *bed) (violations []string, err error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "usage: rig CASE RECORD, in the root of the repository; cases: %v\n", names)
		os.Exit(cannot)
	}
	root, err := filepath.Abs(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannot)
	}
	os.Exit(play(root, os.Args[1], os.Args[2]))
}

// play runs a case and returns its exit code.
func play(root, name, recordPath string) int {
	b, err := newBed(root, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	b.logf("case %s, with the disruption: %t", name, b.trouble)
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)
	time.AfterFunc(maxLength, func() { end <- syscall.SIGTERM })
	go func() {
		<-end
		b.logf("verdict: ended early")
		b.close()
		os.Exit(cannot)
	}()
	violations, err := cases[name](b)
	verdict, code := "the rule held", held
	switch {
	case len(violations) > 0:
		verdict, code = fmt.Sprintf("the rule was broken %d times", len(violations)), broken
	case err != nil:
		verdict, code = "could not run: "+err.Error(), cannot
	}
	for _, v := range violations {
		b.logf("broken: %s", v)
		fmt.Println("broken:", v)
	}
	b.logf("verdict: %s", verdict)
	fmt.Println(verdict)
	b.mu.Lock()
	fmt.Fprint(b.record, b.logs())
	b.mu.Unlock()
	b.close()
	return code
}

// scheme is one scheme of the settings.
type scheme struct {
	name, effect, scope    string
	slaMs, expiryMs, winMs int
	gain                   float64
}

// schemes are those of a shop that quotes prices.
func schemes(expiryMs int) []scheme {
	return []scheme{
		{"price-check", "retryable", "all", 500, expiryMs, 5000, 2},
		{"quote-issue", "dedup", "zone", 3000, expiryMs, 40000, 5},
		{"stock-reserve", "fragile", "all", 1000, expiryMs, 5000, 2},
	}
}

// settings are those of a small deployment.
func settings(list []scheme, graceMs, fallMultiple10 int) object {
	rows := []object{}
	classKind, stretch := []int{}, []float64{}
	for _, s := range list {
		rows = append(rows, object{"name": s.name, "effect": s.effect, "key_scope": s.scope, "window": s.winMs * 1000,
			"sla_time": s.slaMs * 1000, "expiry": s.expiryMs * 1000, "gain": s.gain, "tardy_gain": 0.2, "stream": false})
		classKind, stretch = append(classKind, -1), append(stretch, 2)
	}
	return object{
		"my_number": 0, "peers_total": 1, "tick": 2000, "tier": 0, "zone": 0, "zones": []string{"north", "south"},
		"kinds": []string{"std-3core"}, "layers": []string{"workers"}, "orgs": []object{}, "workload": "jobs",
		"membership_mode": "subscribe", "weights": "silent", "gain_by": "work", "surplus_gain": 0.1, "schemes": rows,
		"callers": object{"marks_retry": true}, "report": object{"fields": []string{}, "how": "silent"},
		"domain": object{"class_kind": classKind, "class_stretch": stretch, "progress": 0, "queue_order": "fifo", "tells_start": true,
			"report_x0": "free slots"},
		"fees": object{"handshake": 0, "peer": 0.01, "probe": 0.002},
		"policy_limits": object{"cancel": true, "conn_idle": 10000000, "connect_timeout": 250000, "max_postings": 6,
			"max_retry_after": 2000000, "max_streams": 1, "most_held": 20000, "parallel_tries": true, "peers": false, "probes": true,
			"retry_after": true},
		"guarantees": object{"answer_slack": 8000, "cold": 24000000, "cold_from": 0.12, "drain_grace": graceMs * 1000, "fall": 2000000,
			"fall_multiple": float64(fallMultiple10) / 10, "must_ask_in": 10000000},
	}
}

// node is a configuration.
func node(listen string, d *discovery, memoryMB, sockets int, s object) object {
	return object{"name": "n0", "listen": listen, "discovery": d.addr(), "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": object{"cores": 1, "memory_mb": memoryMB, "sockets": sockets}, "known": d.known(), "settings": s}
}

// fixed returns a worker's work that takes the same time for every request.
func fixed(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// fleet starts n workers, half in each zone, and discovery that lists them.
func (b *bed) fleet(n, slots int, work func(string) time.Duration) (workers []*worker, members []*member) {
	for i := range n {
		w := b.newWorker(fmt.Sprintf("w%d", i), slots, work)
		workers = append(workers, w)
		members = append(members, w.entry([]string{"north", "south"}[i%2], i%2))
	}
	return workers, members
}
