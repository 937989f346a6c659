package scheduler

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"testing"
)

// A scheduler without a moment of overload kept a piece of each txn that it had answered, here on real connections.
func TestQuietLiveSchedulerKeepsNothingOfAnsweredTxns(t *testing.T) {
	const (
		warmUp       = 2000
		txns         = 8000
		maxGrowthTxn = 50 // bytes for each txn: a record of one takes several hundred
	)
	v := newLive(t)
	go func() {
		for call := range v.calls {
			call.answerDone()
		}
	}()
	c := v.connectClient("")
	answers := bufio.NewReader(c)
	exchange := func(from, to int) {
		for i := from; i < to; i++ {
			fmt.Fprint(c, requestText(fmt.Sprint("quiet", i)))
			answer, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, answer.Body); err != nil || answer.StatusCode != 200 {
				t.Fatalf("answer %d, error %v", answer.StatusCode, err)
			}
		}
	}
	heapBytes := func() int {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return int(stats.HeapAlloc)
	}
	exchange(0, warmUp)
	before := heapBytes()
	exchange(warmUp, warmUp+txns)
	if growth := heapBytes() - before; growth > txns*maxGrowthTxn {
		t.Errorf("%d txns left %d bytes, want at most %d", txns, growth, txns*maxGrowthTxn)
	}
}
