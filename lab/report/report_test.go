package report

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"shalebeam/lab/plan"
	"shalebeam/lab/runner"
	"shalebeam/lab/sim"
	"shalebeam/lab/tally"
)

// A page of results that were written and read as JSON has its plots and tables and loads nothing from elsewhere.
func TestPageIsSelfContained(t *testing.T) {
	p := plan.Random(5)
	r, err := sim.Run(context.Background(), p, 5, "adus:declines-all", sim.Options{Seconds: true})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		doc   Doc
		plots int
	}{
		"run": {Doc{Title: "a run", Runs: oneRun(r)}, 2},
		"compare": {Doc{Title: "a comparison", Runs: oneRun(r), Groups: []Group{{Name: "one", G: runner.EstimateMean([]float64{1, 0.9})},
			{Name: "two <b>", G: runner.EstimateMean([]float64{0.5})}}}, 2},
		"sweep": {Doc{Title: "a sweep", Knob: "clients.load", Runs: oneRun(r), Groups: []Group{{Line: "adus", X: 1,
			G: runner.EstimateMean([]float64{1, 0.9})}, {Line: "adus", X: 100, G: runner.EstimateMean([]float64{1, 0.8})}}}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			raw, err := json.Marshal(c.doc)
			if err != nil {
				t.Fatal(err)
			}
			var d Doc
			if err := json.Unmarshal(raw, &d); err != nil {
				t.Fatal(err)
			}
			var b bytes.Buffer
			if err := d.HTML(&b); err != nil {
				t.Fatal(err)
			}
			page := b.String()
			if n := strings.Count(page, "<svg"); n != c.plots {
				t.Errorf("%d plots, want %d", n, c.plots)
			}
			for _, bad := range []string{"<script", "src=", "<link", "two <b>"} {
				if strings.Contains(page, bad) {
					t.Errorf("the page has %s", bad)
				}
			}
			if !strings.Contains(page, d.Title) || !strings.Contains(page, "declined") {
				t.Error("the page lacks its title or the violated rule")
			}
			dir := t.TempDir()
			for _, format := range []string{"svg", "png"} {
				if err := d.Save(dir, format); err != nil {
					t.Fatal(err)
				}
			}
			if files, _ := filepath.Glob(dir + "/*"); len(files) != 2*c.plots {
				t.Errorf("%v", files)
			}
			if png, err := os.ReadFile(filepath.Join(dir, "latency.png")); err != nil || !bytes.HasPrefix(png, []byte("\x89PNG")) {
				t.Errorf("latency.png is not a PNG file: %v", err)
			}
		})
	}
}

func oneRun(r *tally.Result) []*tally.Result { return []*tally.Result{r} }
