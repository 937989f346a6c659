package agent

import (
	"fmt"
	"testing"
)

// A leading voter kept each name under which anybody ever asked for the record.
func TestAgentsThatAskNoMoreAreForgotten(t *testing.T) {
	a := &Agent{heardAtMS: map[string]float64{}}
	for i := range 1000 {
		now := float64(i) * absentAfterMS / 4
		a.noteHeard(fmt.Sprint("agent", i), now)
		a.noteHeard("stays", now)
		if n := len(a.heardAtMS); n > 8 {
			t.Fatalf("%d names are kept after %d, and no more than 5 of them asked within absentAfterMS", n, i+1)
		}
	}
	if _, known := a.heardAtMS["stays"]; !known {
		t.Error("an agent that goes on asking was forgotten")
	}
}
