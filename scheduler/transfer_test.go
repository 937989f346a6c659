package scheduler

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"golang.org/x/sys/unix"

	"shalebeam/balance"
)

// A connection is transferred to the successor only once, also if the next refresh, which transfers connections too, is due
// during its transfer. The transfer closes it in this process, and closing runs the refresh. If the connection was still listed
// then, it was sent a second time, and with two descriptors of one connection either holder might read the next request, or part
// of it.
func TestConnectionIsTransferredOnce(t *testing.T) {
	t.Parallel()
	v := newLive(t)
	c := v.connectClient("")
	v.waitUntil("it is accepted", func() bool { return len(v.clients.all) == 1 })
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[1])
	path := filepath.Join(t.TempDir(), "x.lock")
	var locks [2]*os.File
	for i := range locks {
		if locks[i], err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { locks[i].Close() })
	}
	other := handover{lockFile: locks[1]}
	if !other.lockByte(processLocks + 1) {
		t.Fatal("the second process got no lock")
	}
	onLoopResult(v, func() bool {
		h := &v.handover
		h.lockFile, h.recordsPath, h.processNumber = locks[0], path, 2
		h.otherProcesses, h.hasSuccessor, h.successorFD = 1, true, pair[0]
		v.phase, v.drainStart = draining, v.now()
		v.drainDeadline = v.drainStart + maxDrainMs
		h.nextRefreshAt = 0 // the next refresh is due
		h.transferClients()
		return true
	})
	messages := 0
	for raw, oob := make([]byte, 1<<10), make([]byte, 1<<10); ; messages++ {
		_, n, _, _, err := unix.Recvmsg(pair[1], raw, oob, 0)
		if err != nil {
			break
		}
		if all, err := unix.ParseSocketControlMessage(oob[:n]); err == nil {
			for i := range all {
				fds, _ := unix.ParseUnixRights(&all[i])
				for _, fd := range fds {
					unix.Close(fd)
				}
			}
		}
	}
	if messages != 1 {
		t.Errorf("the connection was transferred %d times, want 1", messages)
	}
	c.Close()
}

// The messages of a connection transfer go between processes of different builds, so their form must not change: a message in
// the form that former builds write is read, and what is written has all of its names.
func TestTransferMessageFormat(t *testing.T) {
	const withTxn = `{"Now":1000.5,"Boot":400.25,"Used":true,"Txn":{"Known":{"Txn":{"Ref":"r1","Scheme":0,"Tenant":1,` +
		`"Key":"7f","Hint":1.5,"Slots":0,"Left":480,"Repeat":false},"Row":{"Name":"","Effect":0,"Group":0,"Window":0,"SLA":0,` +
		`"Stretch":0,"Expiry":0,"Gain":0,"LateGain":0,"Zones":0,"Kinds":0},"MaxPosts":3,"Copies":true,"Came":900,"Due":1500,` +
		`"Until":2000,"Surplus":false,"Posts":[{"Worker":"w1","At":910,"Start":920,"Begun":true,"Done":false,"Off":false,` +
		`"Ran":false}]},"Method":"POST","Path":"/look","Host":"h","Mark":"k1","Kind":"text/plain","Body":"Ym9keQ==",` +
		`"Until":2000.75,"Posts":[{"No":2,"Worker":"w1","Addr":"127.0.0.1:3","Until":1800,"By":-1,"Response":"SFRUUA=="}]}}`
	const withoutTxn = `{"Now":1000.5,"Boot":400.25,"Used":true}`
	for _, text := range []string{withTxn, withoutTxn} {
		var got transferMessage
		if err := json.Unmarshal([]byte(text), &got); err != nil {
			t.Fatal(err)
		}
		raw, err := json.Marshal(got)
		if err != nil {
			t.Fatal(err)
		}
		var want, wrote any
		if json.Unmarshal([]byte(text), &want); json.Unmarshal(raw, &wrote) != nil || !reflect.DeepEqual(wrote, want) {
			t.Errorf("read %s and wrote %s", text, raw)
		}
		if got.Now != 1000.5 || got.BootOffsetMs != 400.25 || !got.Answered || (got.Txn != nil) != (text == withTxn) {
			t.Errorf("read %+v from %s", got, text)
		}
		if got.Txn == nil {
			continue
		}
		state := got.Txn.State
		got.Txn.State = balance.TxnState{}
		wantState := balance.TxnState{Txn: balance.Txn{Ref: "r1", Tenant: 1, Key: "7f", Hint: 1.5, TimeLeftMs: 480},
			MaxPostings: 3, Hedging: true, ArrivedAt: 900, SLAAt: 1500, ExpiresAt: 2000,
			Postings: []balance.PostingState{{Worker: "w1", PostedAt: 910, StartedAt: 920, Started: true}}}
		if !reflect.DeepEqual(state, wantState) || !reflect.DeepEqual(*got.Txn, transferredTxn{Method: "POST",
			Path: "/look", Host: "h", IdempotencyKey: "k1", ContentType: "text/plain", Body: []byte("body"), Until: 2000.75,
			Posts: []transferredPosting{{Number: 2, Worker: "w1", Addr: "127.0.0.1:3", Until: 1800, SendBy: -1,
				Response: []byte("HTTP")}}}) {
			t.Errorf("read %+v and %+v", state, *got.Txn)
		}
	}
}

// Where a posting's worker was goes with its txn, under names that must not change.
func TestTransferMessageHasPlaceOfPosting(t *testing.T) {
	const text = `"Posts":[{"Worker":"w1","At":910,"Start":920,"Begun":true,"Done":true,"Off":false,"Ran":true,"Place":{"Zone":1,"Cell":7}}]`
	var state balance.TxnState
	if err := json.Unmarshal([]byte("{"+text+"}"), &state); err != nil {
		t.Fatal(err)
	}
	want := []balance.PostingState{{Worker: "w1", PostedAt: 910, StartedAt: 920, Started: true, Ended: true, MayHaveRun: true,
		Place: &balance.Place{Zone: 1, Cell: 7}}}
	if !reflect.DeepEqual(state.Postings, want) {
		t.Errorf("read %+v, want %+v", state.Postings, want)
	}
	if raw, err := json.Marshal(state); err != nil || !strings.Contains(string(raw), text) {
		t.Errorf("wrote %s, %v, want it to have %s", raw, err, text)
	}
}
