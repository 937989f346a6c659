package scheduler

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
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
