package scheduler

import (
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// A connection passes to the other process once, also where it is time to look for more to pass just as it does. (Its end here
// led to that look before it was forgotten, and it was passed a second time: two descriptors of one connection, of which either
// might read the next request, or part of it.)
func TestAConnectionPassesOnce(t *testing.T) {
	t.Parallel()
	v := newLive(t)
	c := v.client("")
	v.until("it is accepted", func() bool { return len(v.clients.all) == 1 })
	way, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_SEQPACKET|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(way[1])
	path := filepath.Join(t.TempDir(), "x.lock")
	var locks [2]*os.File
	for i := range locks {
		if locks[i], err = os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { locks[i].Close() })
	}
	other := handover{lock: locks[1]}
	if !other.take(isHere + 1) {
		t.Fatal("no lock")
	}
	look(v, func() bool {
		h := &v.handover
		h.lock, h.path, h.number, h.others, h.heir, h.to = locks[0], path, 2, 1, true, way[0]
		v.phase, v.drained = draining, v.now()
		v.drainBy = v.drained + drainMost
		h.lookAt = 0 // it is time to look
		h.give()
		return true
	})
	messages := 0
	for raw, oob := make([]byte, 1<<10), make([]byte, 1<<10); ; messages++ {
		_, n, _, _, err := unix.Recvmsg(way[1], raw, oob, 0)
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
		t.Errorf("it was passed %d times", messages)
	}
	c.Close()
}
