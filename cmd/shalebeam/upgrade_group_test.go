package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// zonedSettings are settings with these zones and one referenced scheme, whose repeats the workers of a zone drop.
func zonedSettings(zones string) json.RawMessage {
	settings := strings.Replace(settingsJSON, `"zones":["z"]`, `"zones":`+zones, 1)
	return json.RawMessage(strings.Replace(settings, `"schemes":[`, `"schemes":[
{"name":"mark","effect":"dedup","key_scope":"zone","window":40000000,"expiry":25000000,"gain":1.0,"sla_time":9000000,
"tardy_gain":0.2},`, 1))
}

// zonedEntry is a worker's entry in discovery's list.
func zonedEntry(id, addr, zone string) string {
	return strings.Replace(listEntry(id, addr, "in_service"), `"site":"z"`, fmt.Sprintf(`"site":%q`, zone), 1)
}

// settleAll is a worker that counts its postings and settles them at once.
func settleAll(t *testing.T, postings *atomic.Int64) string {
	return serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/mark" {
			return
		}
		postings.Add(1)
		fmt.Fprintf(w, "{\"id\":%q,\"state\":\"done\",\"result\":\"settled\"}\n", r.Header.Get("Request-Id"))
	})
}

// A referenced txn that may have run at a worker that died was posted to another zone by the process that took it over in an
// upgrade, as the worker was not in the new process's list.
func TestUpgradeKeepsReferencedTxnInItsZone(t *testing.T) {
	t.Parallel()
	for name, newZones := range map[string]string{"with the same settings": `["north","south"]`,
		"with its zones in another order": `["south","north"]`} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newUpgradeTestbed(t)
			defer close(h.stopClients)
			h.tmpDir = shortTempDir(t)
			h.settings = zonedSettings(`["north","south"]`)
			begun, die := make(chan struct{}), make(chan struct{})
			dying := serveHTTP(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/mark" {
					return
				}
				fmt.Fprintf(w, "{\"id\":%q,\"state\":\"started\"}\n", r.Header.Get("Request-Id"))
				w.(http.Flusher).Flush()
				close(begun)
				<-die
				panic(http.ErrAbortHandler) // its connection is reset
			})
			var northPostings, southPostings atomic.Int64
			north := zonedEntry("north", settleAll(t, &northPostings), "north")
			south := zonedEntry("south2", settleAll(t, &southPostings), "south")
			h.publish(2, zonedEntry("south1", dying, "south"))
			oldProcess := h.startProcess()
			answer := make(chan string, 1)
			go func() { answer <- h.sendMark() }()
			await(t, begun, "the start of the txn at the worker of the south")
			h.publish(3, north)
			time.Sleep(200 * time.Millisecond)
			close(die)
			time.Sleep(200 * time.Millisecond)
			if n := northPostings.Load(); n > 0 {
				t.Fatalf("the old process posted the txn to the north %d times", n)
			}
			h.settings = zonedSettings(newZones)
			h.startProcess()
			oldProcess.cmd.Process.Signal(syscall.SIGTERM)
			await(t, oldProcess.exit, "the exit of the old process")
			time.Sleep(500 * time.Millisecond)
			if n := northPostings.Load(); n > 0 {
				t.Fatalf("the new process posted the txn to the north %d times, and it may have run in the south", n)
			}
			h.publish(4, north, south)
			if got := await(t, answer, "the answer"); got != "200 settled" || southPostings.Load() != 1 || northPostings.Load() > 0 {
				t.Errorf("answered %q after %d postings to the south and %d to the north, want 200 after one to the south", got,
					southPostings.Load(), northPostings.Load())
			}
		})
	}
}

// shortTempDir returns a directory whose path leaves room for the name of the transfer socket, which may have 107 bytes.
func shortTempDir(t *testing.T) string {
	dir, err := os.MkdirTemp("", "up")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(dir) })
	return dir
}

// publish has discovery, and the configuration of processes started from now on, name these workers.
func (h *upgradeTestbed) publish(seq int, entries ...string) {
	h.knownList = workerList(seq, true, entries...)
	h.testbed.publishList(seq, h.knownList)
}

// sendMark sends a referenced txn and returns the status and body of its answer, or the error.
func (h *upgradeTestbed) sendMark() string {
	r, err := http.NewRequest("POST", "http://"+h.addr+"/mark", strings.NewReader("x"))
	if err != nil {
		return err.Error()
	}
	r.Close = true
	r.Header.Set("Request-Id", "m1")
	r.Header.Set("Idempotency-Key", "k1")
	r.Header.Set("Work-Hint", "100000")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer w.Body.Close()
	body, err := io.ReadAll(w.Body)
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("%d %s", w.StatusCode, body)
}
