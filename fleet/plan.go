package fleet

import (
	"fmt"
	"math"
	"slices"
)

// Waves divides members into waves for a release. The first wave has one member and each further one at most twice as many as
// the one before, up to 64, so that a fault shows while few members have it. A wave has members of one zone only; zones
// follow one another.
func Waves(members []Member) (waves [][]string) {
	remaining := slices.Clone(members)
	slices.SortFunc(remaining, func(a, b Member) int {
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
	maxSize := 1
	for len(remaining) > 0 {
		taken := 0
		var wave []string
		for taken < len(remaining) && taken < maxSize && remaining[taken].Zone == remaining[0].Zone {
			wave = append(wave, remaining[taken].ID)
			taken++
		}
		waves, remaining, maxSize = append(waves, wave), remaining[taken:], min(maxSize*2, 64)
	}
	return waves
}

// Forecast is what an operation would do in the current state of the fleet.
type Forecast struct {
	Waves           [][]string     `json:"waves"`
	MaxOutByZone    map[string]int `json:"most"`    // by zone: how many members would be out at the same time at most, by the limits
	DurationSeconds float64        `json:"seconds"` // duration of the whole operation
	Blockers        []string       `json:"blocks"`  // what would keep it from beginning now; permits are only checked for waves of one member
}

// Forecast estimates the waves and the duration of an operation, given how many seconds each member takes.
func (r *Record) Forecast(op *Operation, secondsEach float64) (forecast Forecast) {
	forecast.Waves, forecast.MaxOutByZone = op.Waves, map[string]int{}
	for _, scope := range []string{"all", op.ID} {
		if halt, ok := r.Halts[scope]; ok {
			forecast.Blockers = append(forecast.Blockers, fmt.Sprintf("halted (%s) by %s: %s", scope, halt.By, halt.Reason))
		}
	}
	for _, wave := range op.Waves {
		inZone, rounds := map[string]int{}, 1.0
		for _, id := range wave {
			member, known := r.Members[id]
			if !known {
				forecast.Blockers = append(forecast.Blockers, id+": no such member")
				continue
			}
			inZone[member.Zone]++
		}
		for _, id := range wave {
			maxOut, limit := r.maxOut(id)
			if op.MaxOut > 0 {
				maxOut = min(maxOut, op.MaxOut)
			}
			if maxOut < 1 {
				forecast.Blockers = append(forecast.Blockers, fmt.Sprintf("%s can never go out: %s", id, limit))
				continue
			}
			zone := r.Members[id].Zone
			forecast.MaxOutByZone[zone] = max(forecast.MaxOutByZone[zone], min(maxOut, inZone[zone]))
			rounds = max(rounds, math.Ceil(float64(len(wave))/float64(maxOut)))
			if why := r.GrantRefusal(op, id); why != "" && len(forecast.Blockers) < 20 && len(wave) == 1 {
				forecast.Blockers = append(forecast.Blockers, id+": "+why)
			}
		}
		forecast.DurationSeconds += rounds*secondsEach + op.WatchMs/1000
	}
	return forecast
}
