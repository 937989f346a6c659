package scheduler

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"shalebeam/http1"
)

// The records file is shared by processes of different builds, so its form must not change: a file in the form that former
// builds write is read, and what is written has the same names.
func TestRecordsFileFormat(t *testing.T) {
	const text = `{"shalebeam":"workers out, 1","workers":{"w1":{"since":1000.5,"back":2000.25,"fleet":"zone z","change":7},` +
		`"w2":{"since":3000}},"start":"9f","fences":{"zone z":3},"boot":400.25}`
	path := filepath.Join(t.TempDir(), "x.out")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s, _ := newOnceOnlyPosting(t)
	s.handover.recordsPath = path
	s.clock.bootOffsetMs = 400.25 // that of the file, so that its times are not shifted
	got, err := s.handover.loadFile()
	if err != nil {
		t.Fatal(err)
	}
	want := records{Shalebeam: recordsFormat, Workers: map[string]record{
		"w1": {Since: 1000.5, PutBack: 2000.25, Fleet: "zone z", Change: 7}, "w2": {Since: 3000}},
		Start: "9f", Fences: map[string]uint64{"zone z": 3}, BootOffsetMs: 400.25}
	if !reflect.DeepEqual(*got, want) {
		t.Errorf("read %+v, want %+v", *got, want)
	}
	if raw, err := json.Marshal(got); err != nil || string(raw) != text {
		t.Errorf("wrote %s, %v, want %s", raw, err, text)
	}
}

// Workers that were put back into service long ago stayed in memory, and counted as records: once there had been maxRecords
// workers, no further one could be taken out before the next start.
func TestWorkersPutBackLongAgoLeaveRoomForOthers(t *testing.T) {
	for _, test := range []struct {
		name   string
		change uint64
	}{{"by staff", 0}, {"by the fleet", 7}} {
		for _, withFile := range []bool{false, true} {
			t.Run(fmt.Sprint(test.name, ", with a file: ", withFile), func(t *testing.T) {
				s, _ := newOnceOnlyPosting(t)
				if withFile {
					path := filepath.Join(t.TempDir(), "x")
					lockFile, err := os.OpenFile(path+".lock", os.O_RDWR|os.O_CREATE, 0o600)
					if err != nil {
						t.Fatal(err)
					}
					defer lockFile.Close()
					s.handover.lockFile, s.handover.recordsPath = lockFile, path+".out"
				}
				putBack := s.now() - 2*recordRetentionMs
				for i := range maxRecords {
					s.ops.applyRecord(fmt.Sprint("gone", i), record{Since: putBack - 1000, PutBack: putBack, Change: test.change})
				}
				var call http1.Request
				call.Reset(opsLimits)
				text := "POST /ops/workers/down HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n\r\nw1"
				if _, err := call.Feed([]byte(text)); err != nil || !call.Complete() {
					t.Fatalf("the call was not read: %v", err)
				}
				status, body := s.ops.handle(&call)
				if status != 200 || len(s.ops.workerRecords) > 1+maxRecords/2 {
					t.Errorf("answered %d %q with %d records in memory, want 200 and at most that of w1 and %d", status, body,
						len(s.ops.workerRecords), maxRecords/2)
				}
			})
		}
	}
}
