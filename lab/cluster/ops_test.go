package cluster

import (
	"testing"
	"time"

	"shalebeam/fleet"
)

func most(n int) *int { return &n }

// All schedulers are restarted one after the other under load, by agents, within the limit.
func TestRestartOfAll(t *testing.T) {
	t.Parallel()
	r := played(t, Options{Seed: 21, Runs: true, Act: func(d *Day) {
		d.Limits([]fleet.Limit{{Kind: "scheduler", Most: most(1)}, {Kind: "worker", Share: 0.25}})
		id, why := d.Begin(fleet.Op{Kind: "restart", Waves: [][]string{{"s0"}, {"s1", "s2", "s3"}}})
		if id == "" {
			d.Break("refused: %s", why)
			return
		}
		d.Until("all are restarted", func() bool {
			op := d.Op(id)
			return op != nil && op.Done
		})
	}, For: 25 * time.Second})
	clean(t, r)
}
