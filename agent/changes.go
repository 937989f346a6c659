package agent

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"sync"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"shalebeam/fleet"
)

// An agent that follows the record is sent the difference from the version it has, as a merge patch (RFC 7396), or the
// whole record where that version is not kept any more. Were the record sent whole at each renewal of a lease, the bytes
// sent by an idle fleet would grow with the square of the number of agents.

// recordPatch turns one version of the record into a later one. Sum is the CRC-32 (IEEE) of the later one: a result with
// another sum, as after a patch from a leader of another build, is rejected.
type recordPatch struct {
	Patch json.RawMessage `json:"patch"`
	Sum   uint32          `json:"sum"`
}

// patchCache makes patches up to the latest version of the record. Most followers have the same version, so each patch is
// made once.
type patchCache struct {
	mu            sync.Mutex
	currentNumber uint64                  // of the last command in the version that the patches lead to
	byNumber      map[uint64]*recordPatch // by the number of the last command in the version that a patch starts from; nil where none could be made
}

// patch returns the patch from the version old, as it was after command oldNumber, to the version current after command
// currentNumber. It is nil where none can be made.
func (c *patchCache) patch(oldNumber uint64, old []byte, currentNumber uint64, current []byte) *recordPatch {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.currentNumber != currentNumber {
		c.currentNumber, c.byNumber = currentNumber, map[uint64]*recordPatch{}
	}
	cached, ok := c.byNumber[oldNumber]
	if !ok {
		if patch, err := jsonpatch.CreateMergePatch(old, current); err == nil {
			cached = &recordPatch{patch, crc32.ChecksumIEEE(current)}
		}
		c.byNumber[oldNumber] = cached
	}
	return cached
}

// apply returns the later version of the record, as JSON, for an earlier one.
func (p *recordPatch) apply(old []byte) ([]byte, error) {
	raw, err := jsonpatch.MergePatch(old, p.Patch)
	if err != nil {
		return nil, err
	}
	record := fleet.NewRecord()
	if err := record.Restore(raw); err != nil {
		return nil, err
	}
	if raw = record.SnapshotForAgents(); crc32.ChecksumIEEE(raw) != p.Sum { // SnapshotForAgents writes the keys in the order that the sum was taken over
		return nil, fmt.Errorf("patched record has CRC-32 %08x, want %08x", crc32.ChecksumIEEE(raw), p.Sum)
	}
	return raw, nil
}
