package fleet

import (
	"fmt"
	"math"
	"slices"
)

// Waves orders members for a release: one first, then zone after zone, each wave up to twice as large as the one before, so
// that what is wrong shows while it is small.
func Waves(members []Member) (waves [][]string) {
	all := slices.Clone(members)
	slices.SortFunc(all, func(a, b Member) int {
		if a.Zone != b.Zone {
			if a.Zone < b.Zone {
				return -1
			}
			return 1
		}
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	size := 1
	for len(all) > 0 {
		n := 0
		var wave []string
		for n < len(all) && n < size && all[n].Zone == all[0].Zone {
			wave = append(wave, all[n].ID)
			n++
		}
		waves, all, size = append(waves, wave), all[n:], min(size*2, 64)
	}
	return waves
}

// Forecast is what an operation would do, as things stand.
type Forecast struct {
	Waves   [][]string     `json:"waves"`
	Most    map[string]int `json:"most"`    // out together in each zone, by the limits
	Seconds float64        `json:"seconds"` // at so long each
	Blocks  []string       `json:"blocks"`  // what would keep it from beginning now
}

// Plan tells what an operation would do when each member takes so many seconds.
func (r *Record) Plan(op *Op, each float64) (f Forecast) {
	f.Waves, f.Most = op.Waves, map[string]int{}
	for _, of := range []string{"all", op.ID} {
		if h, ok := r.Halts[of]; ok {
			f.Blocks = append(f.Blocks, fmt.Sprintf("halted (%s) by %s: %s", of, h.By, h.Why))
		}
	}
	for _, wave := range op.Waves {
		together, slowest := map[string]int{}, 1.0
		for _, id := range wave {
			m, known := r.Members[id]
			if !known {
				f.Blocks = append(f.Blocks, id+": no such member")
				continue
			}
			together[m.Zone]++
		}
		for _, id := range wave {
			most, by := r.allowed(id)
			if op.Together > 0 {
				most = min(most, op.Together)
			}
			if most < 1 {
				f.Blocks = append(f.Blocks, fmt.Sprintf("%s can never go out: %s", id, by))
				continue
			}
			zone := r.Members[id].Zone
			f.Most[zone] = max(f.Most[zone], min(most, together[zone]))
			slowest = max(slowest, math.Ceil(float64(len(wave))/float64(most)))
			if why := r.Grant(op, id); why != "" && len(f.Blocks) < 20 && len(wave) == 1 {
				f.Blocks = append(f.Blocks, id+": "+why)
			}
		}
		f.Seconds += slowest*each + op.Watch/1000
	}
	return f
}
