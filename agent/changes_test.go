package agent

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"

	"shalebeam/fleet"
)

// A record that is updated by patches equals, byte for byte, one that is sent whole, and a patch for another record is
// rejected.
func TestPatchedRecordEqualsWholeRecord(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	leaderRecord, current := fleet.NewRecord(), []byte(nil)
	var cache patchCache
	apply := func(number uint64, c fleet.Command) {
		c.FormatVersion, c.Caller, c.Number, c.By = fleet.FormatVersionOf(&c), "t", number, "test"
		raw, err := json.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := leaderRecord.Apply(number, raw); err != nil {
			t.Fatal(err)
		}
	}
	followed, patchBytes, wholeBytes := leaderRecord.SnapshotForAgents(), 0, 0
	for number := uint64(1); number <= 600; number++ {
		id := fmt.Sprint(r.IntN(40))
		switch r.IntN(6) {
		case 0:
			apply(number, fleet.Command{Verb: "unmember", ID: id})
		case 1, 2:
			apply(number, fleet.Command{Verb: "out", ID: id, Zone: "a", Reason: "hands"})
		case 3:
			apply(number, fleet.Command{Verb: "in", ID: id, Zone: "a"})
		default:
			apply(number, fleet.Command{Verb: "member", Member: &fleet.Member{ID: id, Kind: "agent", Zone: "a", Addr: fmt.Sprint(number)}})
		}
		if current = leaderRecord.SnapshotForAgents(); r.IntN(3) > 0 {
			continue // the following agent does not ask after this command
		}
		patch := cache.patch(0, followed, number, current)
		got, err := patch.apply(followed)
		if err != nil || !bytes.Equal(got, current) {
			t.Fatalf("patch up to command %d: %v\ngot  %s\nwant %s", number, err, got, current)
		}
		if other, err := patch.apply([]byte(`{"v":1,"members":{"x":{}}}`)); err == nil {
			t.Fatalf("a patch was applied to another record than the one it was made from: %s", other)
		}
		followed, patchBytes, wholeBytes = got, patchBytes+len(patch.Patch), wholeBytes+len(current)
	}
	if patchBytes > wholeBytes/8 {
		t.Errorf("%d bytes of patches, want at most 1/8 of the %d bytes of the whole records", patchBytes, wholeBytes)
	}
}
