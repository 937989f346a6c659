// Package requestid remembers the ids of requests that must not be taken a second time: in memory (Set), and in a file that
// the processes of one scheduler share while there are several (Table).
package requestid

import (
	"crypto/sha256"
	"encoding/binary"
)

// Hash stands for a request's id. It is never 0.
type Hash uint64

// HashOf returns the hash of an id. Processes of different builds compare hashes, so it must not change.
func HashOf(id string) Hash {
	sum := sha256.Sum256([]byte(id))
	return Hash(max(binary.LittleEndian.Uint64(sum[:8]), 1))
}

// Entry is an id that is in use until a time, in milliseconds on its holder's clock.
type Entry struct {
	Hash    Hash
	UntilMs float64
}
