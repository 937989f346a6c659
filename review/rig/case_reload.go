package main

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["reload"] = caseReload }

// caseReload: a new configuration by SIGHUP brings a scheme whose optional key is absent, and discovery at a new address. The
// rule: nothing goes to a worker later than the grace after the scheduler counts as told that it drains. All four workers are replaced, two at
// a time: the platform takes the first two away one second after the grace, and the other two some seconds later.
func caseReload(b *bed) (violations []string, err error) {
	const graceMs, slackMs, toldAfterHUPMs, secondDrainMs, sendMs = 500, 50, 4000, 4000, 14000
	workers, members := b.fleet(8, 3, fixed(300*time.Millisecond))
	members, successors := members[:4], members[4:]
	former := b.newDiscovery("former discovery", members)
	next := b.newDiscovery("new discovery", members)
	config := func(d *discovery, list []scheme) object {
		s := settings(list, graceMs, 40)
		delete(s["domain"].(object), "class_stretch")
		for _, row := range s["schemes"].([]object) {
			if row["name"] != "rush-quote" {
				row["aim_stretch"] = 2.0
			}
		}
		return node("", d, 192, 1024, s)
	}
	listen := freeAddr()
	first := config(former, schemes(15000))
	first["listen"] = listen
	path := b.writeConfig("config", first)
	p, err := b.start("n0", path, "", "tmp")
	if err != nil {
		return nil, err
	}
	if err := waitYes("http://"+listen+"/_health", 10*time.Second); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() {
			c := &client{addr: listen}
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("%08x%08x", 0xabc0+i, n)
				class := []string{"price-check", "stock-reserve"}[n%2]
				status, body, err := c.send(requestText(class, id, 15000, 100), 16*time.Second)
				b.logf("client: %s of %s answered %d %q, error %v", id, class, status, body, err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	current, draining, later := next, []string{"w0", "w1"}, []string{"w2", "w3"}
	var told time.Time // when the drain counts as told at the latest
	if b.trouble {
		second := config(next, append(schemes(15000), scheme{"rush-quote", "retryable", "all", 500, 15000, 5000, 4}))
		second["listen"], second["seed"] = listen, first["seed"]
		b.writeConfig("config", second)
		out, err := exec.Command("bin/shalebeam", "check", "--config", path).CombinedOutput()
		b.logf("shalebeam check of the new configuration: %q, error %v", strings.ReplaceAll(string(out), path, "FILE"), err)
		former.l.Close()
		b.logf("platform: new configuration, SIGHUP; the former discovery takes no new connection")
		p.signal(syscall.SIGHUP)
		told = time.Now().Add(toldAfterHUPMs * time.Millisecond)
		time.AfterFunc(1500*time.Millisecond, func() {
			b.logf("platform: the former discovery closes its connections")
			former.server.Close()
		})
		time.Sleep(time.Second)
	} else {
		time.Sleep(time.Second)
		current = former
		told = time.Now().Add((toldAfterHUPMs - 1000) * time.Millisecond)
	}
	current.add(successors)
	current.setHealth("terminating", draining...)
	limit := told.Add((graceMs + slackMs) * time.Millisecond)
	time.Sleep(time.Until(limit.Add(time.Second)))
	for _, w := range workers[:2] {
		w.stop()
	}
	current.setHealth("terminating", later...)
	time.Sleep(secondDrainMs * time.Millisecond)
	for _, w := range workers[2:4] {
		w.stop()
	}
	time.Sleep(time.Until(told.Add(sendMs * time.Millisecond)))
	close(stop)
	all.Wait()
	for _, w := range workers[:2] {
		n, last := 0, time.Time{}
		for _, r := range w.received() {
			if r.first.After(limit) {
				n, last = n+1, r.first
			}
		}
		if n > 0 {
			violations = append(violations, fmt.Sprintf("%s drains, and was sent %d requests after the grace, the last %.0f ms after it",
				w.name, n, float64(last.Sub(limit).Microseconds())/1000))
		}
	}
	return violations, nil
}
