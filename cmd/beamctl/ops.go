package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pelletier/go-toml/v2"

	"shalebeam/agent"
	"shalebeam/fleet"
)

// Operations: drains, restarts, maintenance and releases, their halts and their way back.

// operationFile is an operation as a file says it. docs/releases.md has three.
type operationFile struct {
	Kind         string      `toml:"kind"` // release where none is named
	Reason       string      `toml:"why"`
	Members      []string    `toml:"members"` // or those of Select
	SelectKind   string      `toml:"select"`  // schedulers or workers
	Zone         string      `toml:"zone"`    // of those selected
	Label        string      `toml:"label"`   // key=value, of those selected
	Program      string      `toml:"program"`
	Digest       string      `toml:"digest"` // sha256 of the program; of the file here where none is named
	Config       string      `toml:"config"`
	Version      string      `toml:"version"` // for workers' own commands
	WatchPeriod  agent.Span  `toml:"watch"`
	Pause        agent.Span  `toml:"pause"`
	WaveTimeout  agent.Span  `toml:"wave_most"`
	MaxTogether  int         `toml:"together"`
	AutoRollback bool        `toml:"auto_back"`
	Gates        fleet.Gates `toml:"gates"`
}

// decodeStrict reads a file, and refuses keys that are none.
func decodeStrict(path string, into any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	err = toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(into)
	var missing *toml.StrictMissingError
	var at *toml.DecodeError
	switch {
	case errors.As(err, &missing):
		row, _ := missing.Errors[0].Position()
		return exitError{exitFailed, fmt.Sprintf("%s: line %d: %v is no key", path, row, missing.Errors[0].Key())}
	case errors.As(err, &at):
		row, _ := at.Position()
		return exitError{exitFailed, fmt.Sprintf("%s: line %d: %v: %s", path, row, at.Key(), at.Error())}
	case err != nil:
		return exitError{exitFailed, fmt.Sprintf("%s: %v", path, err)}
	}
	return nil
}

// load reads an operation's file, and tells what is wrong with it.
func (f *operationFile) load(path string) error {
	if err := decodeStrict(path, f); err != nil {
		return err
	}
	no := func(format string, args ...any) error {
		return exitError{exitFailed, path + ": " + fmt.Sprintf(format, args...)}
	}
	if f.Kind == "" {
		f.Kind = "release"
	}
	released := f.Program + f.Config + f.Version
	switch {
	case !slices.Contains([]string{"drain", "undrain", "restart", "maintain", "release"}, f.Kind):
		return no("kind: %q is no operation", f.Kind)
	case f.Kind == "release" && released == "":
		return no("a release names a program, a config or a version")
	case f.Kind != "release" && (released != "" || f.AutoRollback || f.WatchPeriod > 0):
		return no("program, config, version, watch and auto_back are a release's")
	case f.Pause > 0 && f.Kind != "maintain":
		return no("pause is maintenance's")
	case len(f.Members) > 0 && f.SelectKind != "" || len(f.Members) == 0 && f.SelectKind == "":
		return no("either members or select is named")
	case f.SelectKind != "" && f.SelectKind != "schedulers" && f.SelectKind != "workers":
		return no("select: %q is not schedulers or workers", f.SelectKind)
	case f.MaxTogether < 0 || f.Gates.Settled < 0 || f.Gates.Settled > 1 || f.Gates.Declined < 0 || f.Gates.Declined > 1 || f.Gates.Reversed < 0 ||
		f.Gates.Reversed > 1 || f.Gates.Txns < 0 || f.Gates.Lost < 0:
		return no("together and gates are not below 0, and shares not over 1")
	}
	return nil
}

// buildOperation makes an operation of a file.
func (f *operationFile) buildOperation(path string, r *fleet.Record) (*fleet.Op, error) {
	if err := f.load(path); err != nil {
		return nil, err
	}
	no := func(format string, args ...any) (*fleet.Op, error) {
		return nil, exitError{exitFailed, path + ": " + fmt.Sprintf(format, args...)}
	}
	op := &fleet.Op{Kind: f.Kind, Gates: f.Gates, Together: f.MaxTogether, AutoBack: f.AutoRollback, Watch: milliseconds(f.WatchPeriod), Pause: milliseconds(f.Pause),
		WaveMost: milliseconds(f.WaveTimeout), Version: fleet.Version{Program: f.Program, Digest: f.Digest, Config: f.Config, Name: f.Version}}
	if f.Program != "" && f.Digest == "" {
		raw, err := os.ReadFile(f.Program)
		if err != nil {
			return no("digest is missing, and %v", err)
		}
		sum := sha256.Sum256(raw)
		op.Version.Digest = hex.EncodeToString(sum[:])
	}
	var members []fleet.Member
	for _, id := range f.Members {
		m, known := r.Members[id]
		if !known {
			return no("members: %s is not on record", id)
		}
		members = append(members, m)
	}
	key, value, _ := strings.Cut(f.Label, "=")
	for _, m := range r.Of(strings.TrimSuffix(f.SelectKind, "s")) {
		if (f.Zone == "" || m.Zone == f.Zone) && (f.Label == "" || slices.Contains(strings.Split(m.Labels, ","), key+"="+value)) {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return no("it names nobody")
	}
	op.Waves = fleet.Waves(members)
	return op, nil
}

func milliseconds(s agent.Span) float64 { return float64(time.Duration(s)) / 1e6 }

type planCmd struct {
	Path          string        `arg:"" help:"An operation's file."`
	TimePerMember time.Duration `name:"each" default:"5s" help:"How long one member is taken to need."`
}

func (c *planCmd) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	op, err := (&operationFile{}).buildOperation(c.Path, r)
	if err != nil {
		return err
	}
	return g.printPlan(r, op, c.TimePerMember)
}

func (g *globalFlags) printPlan(r *fleet.Record, op *fleet.Op, each time.Duration) error {
	f := r.Plan(op, each.Seconds())
	g.printResult(f, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "WAVE\tMEMBERS")
		for i, wave := range f.Waves {
			fmt.Fprintf(w, "%d\t%s\n", i+1, strings.Join(wave, " "))
		}
		for _, zone := range slices.Sorted(maps.Keys(f.Most)) {
			fmt.Fprintf(w, "zone %s\tat most %d out together\n", zone, f.Most[zone])
		}
		fmt.Fprintf(w, "time\tabout %v at %v a member\n", time.Duration(f.Seconds*float64(time.Second)).Round(time.Second), each)
		for _, b := range f.Blocks {
			fmt.Fprintf(w, "blocked\t%s\n", b)
		}
	})
	if len(f.Blocks) > 0 {
		return exitError{exitFailed, "it can't begin as things stand"}
	}
	return nil
}

// beginOperation puts an operation on record; with wait it goes on until it is over, halted, or the time is.
func (g *globalFlags) beginOperation(ctx context.Context, op *fleet.Op, why string, wait bool) error {
	if g.DryRun {
		r, err := g.readRecord(ctx)
		if err != nil {
			return err
		}
		return g.printPlan(r, op, 5*time.Second)
	}
	a, err := g.sendCommand(ctx, fleet.Command{Do: "begin", Op: op, Why: why})
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%d", op.Kind, a.No)
	if !wait {
		fmt.Println(id)
		return nil
	}
	return g.waitForOperation(ctx, id, func(o *fleet.Op, halted bool) bool { return o.Done || halted })
}

// waitForOperation waits for an operation, and ends with its table.
func (g *globalFlags) waitForOperation(ctx context.Context, id string, over func(o *fleet.Op, halted bool) bool) error {
	var r *fleet.Record
	for {
		n, err := g.readRecord(ctx)
		if err == nil {
			r = n
			o := r.Ops[id]
			if o == nil {
				return exitError{exitFailed, "no operation " + id}
			}
			if _, halted := r.Halts[id]; over(o, halted) {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
			continue
		}
		break
	}
	if r == nil {
		return exitError{exitUnknown, id + " is on record; how far it is can't be read"}
	}
	return g.printOperation(r, id)
}

func (g *globalFlags) printOperation(r *fleet.Record, id string) error {
	o := r.Ops[id]
	if o == nil {
		return exitError{exitFailed, "no operation " + id}
	}
	halt, halted := r.Halts[id]
	arrived, total := 0, 0
	g.printResult(struct {
		*fleet.Op
		Halt *fleet.Halt `json:"halt,omitempty"`
	}{o, map[bool]*fleet.Halt{true: &halt}[halted]}, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s by %s: %s\n", o.ID, o.By, o.Why)
		if halted {
			fmt.Fprintf(w, "HALTED by %s: %s\n", halt.By, halt.Why)
		}
		fmt.Fprintln(w, "WAVE\tMEMBER\tSTATE\tSEEN\tWHY")
		for i, wave := range o.Waves {
			for _, id := range wave {
				s := o.Steps[id]
				why := s.Why
				if why == "" && s.At == fleet.Waits && i <= o.Wave {
					why = r.Grant(o, id)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", i+1, id, s.At, r.Health[id].State, why)
			}
		}
	})
	for _, s := range o.Steps {
		if total++; o.Arrived(s) {
			arrived++
		}
	}
	switch {
	case o.Done && arrived == total:
		return nil
	case halted:
		return exitError{exitPartial, fmt.Sprintf("%s is halted: %s; %d of %d have arrived", id, halt.Why, arrived, total)}
	case arrived > 0:
		return exitError{exitPartial, fmt.Sprintf("%s goes on: %d of %d have arrived", id, arrived, total)}
	}
	return exitError{exitFailed, fmt.Sprintf("%s goes on: none of %d has arrived", id, total)}
}

type memberArgs struct {
	IDs    []string `arg:"" name:"member" help:"Schedulers or workers."`
	Reason string   `name:"why" help:"For the audit."`
	Wait   bool     `default:"true" negatable:"" help:"Wait until all have arrived."`
}

func (c *memberArgs) begin(g *globalFlags, ctx context.Context, kind string, pause time.Duration) error {
	return g.beginOperation(ctx, &fleet.Op{Kind: kind, Waves: [][]string{c.IDs}, Pause: float64(pause) / 1e6}, c.Reason, c.Wait)
}

type drainCmd struct{ memberArgs }
type undrainCmd struct{ memberArgs }
type restartCmd struct{ memberArgs }
type maintainCmd struct {
	memberArgs
	Pause time.Duration `help:"How long it stays out before it comes back."`
}

func (c *drainCmd) Run(g *globalFlags, ctx context.Context) error {
	return c.begin(g, ctx, "drain", 0)
}
func (c *undrainCmd) Run(g *globalFlags, ctx context.Context) error {
	return c.begin(g, ctx, "undrain", 0)
}
func (c *restartCmd) Run(g *globalFlags, ctx context.Context) error {
	return c.begin(g, ctx, "restart", 0)
}
func (c *maintainCmd) Run(g *globalFlags, ctx context.Context) error {
	return c.begin(g, ctx, "maintain", c.Pause)
}

type releaseStart struct {
	Path string `arg:"" help:"The operation's file."`
	Wait bool   `help:"Wait until it is over or halted."`
}

func (c *releaseStart) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	f := &operationFile{}
	op, err := f.buildOperation(c.Path, r)
	if err != nil {
		return err
	}
	return g.beginOperation(ctx, op, f.Reason, c.Wait)
}

type operationArgs struct {
	ID     string `arg:"" help:"The operation, as release-17."`
	Reason string `name:"why" help:"For the audit."`
}

type releaseStatus struct {
	ID string `arg:"" help:"The operation."`
}

func (c *releaseStatus) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	return g.printOperation(r, c.ID)
}

type releaseHalt struct {
	operationArgs
	OnHalt string `name:"then" enum:"finish,back" default:"finish" help:"What is out is finished, or all goes back."`
}

func (c *releaseHalt) Run(g *globalFlags, ctx context.Context) error {
	return g.sendHalt(ctx, c.ID, c.Reason, c.OnHalt)
}

type releaseResume struct{ operationArgs }

func (c *releaseResume) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Do: "lift", ID: c.ID, Why: c.Reason})
}

type releaseBack struct {
	operationArgs
	Wait bool `help:"Wait until all that can has gone back."`
}

func (c *releaseBack) Run(g *globalFlags, ctx context.Context) error {
	if g.DryRun {
		fmt.Println(c.ID, "would go back")
		return nil
	}
	if _, err := g.sendCommand(ctx, fleet.Command{Do: "turn", Matter: fleet.OpOf(c.ID), Why: c.Reason}); err != nil {
		return err
	}
	if !c.Wait {
		fmt.Println(c.ID, "goes back")
		return nil
	}
	return g.waitForOperation(ctx, c.ID, func(o *fleet.Op, _ bool) bool { return o.Back && o.Done })
}

type releaseClose struct {
	operationArgs
	Force bool `help:"Also where it is not over."`
}

func (c *releaseClose) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Do: "close", Matter: fleet.OpOf(c.ID), Why: c.Reason, Force: c.Force})
}

type releaseList struct{}

func (releaseList) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(r.Ops, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "OPERATION\tBY\tWAVE\tARRIVED\tSTATE\tWHY")
		for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
			o, arrived := r.Ops[id], 0
			for _, s := range o.Steps {
				if o.Arrived(s) {
					arrived++
				}
			}
			fmt.Fprintf(w, "%s\t%s\t%d/%d\t%d/%d\t%s\t%s\n", id, o.By, o.Wave+1, len(o.Waves), arrived, len(o.Steps), operationState(r, o), o.Why)
		}
	})
	return nil
}

func operationState(r *fleet.Record, o *fleet.Op) string {
	_, halted := r.Halts[o.ID]
	switch {
	case o.Closed:
		return "closed"
	case o.Done && o.Back:
		return "back"
	case o.Done:
		return "done"
	case o.Back:
		return "going back"
	case halted:
		return "halted"
	}
	return "going"
}

type haltCmd struct {
	Scope  string `arg:"" name:"of" help:"An operation, zone/ZONE, or all."`
	Reason string `name:"why" help:"For the audit."`
	OnHalt string `name:"then" enum:"finish,back" default:"finish" help:"Of an operation: what is out is finished, or all goes back."`
}

func (c *haltCmd) Run(g *globalFlags, ctx context.Context) error {
	return g.sendHalt(ctx, c.Scope, c.Reason, c.OnHalt)
}

// sendHalt tells every agent itself, and the record: it takes hold at each that says yes, also where there is no majority.
func (g *globalFlags) sendHalt(ctx context.Context, of, why, then string) error {
	type row struct {
		Agent string      `json:"agent"`
		State fleet.State `json:"state"`
		Why   string      `json:"why,omitempty"`
	}
	if g.DryRun {
		fmt.Println("would be halted:", of)
		return nil
	}
	ask := map[string]string{}
	r, rerr := g.readRecord(ctx)
	if rerr == nil {
		for _, m := range r.Of("agent") {
			ask[m.ID] = m.Addr
		}
	} else {
		for _, addr := range g.Agents {
			ask[addr] = addr // nobody can say who else there is
		}
	}
	h, _ := json.Marshal(fleet.Halt{Of: of, By: g.requesterName(), Why: why, Then: then})
	rows, yes := map[string]row{}, 0
	got := make(chan row)
	client := agent.NewHTTP(nil, 2*time.Second)
	for id, addr := range ask {
		go func() {
			p, err := client.Post("http://"+addr+"/v1/halt", "application/json", bytes.NewReader(h))
			if err != nil {
				got <- row{id, fleet.NotReached, "its machine may go on until the record tells it"}
				return
			}
			defer p.Body.Close()
			var a agent.HaltAnswer
			var no agent.Refusal
			if p.StatusCode != http.StatusOK {
				_ = json.NewDecoder(p.Body).Decode(&no)
				got <- row{id, fleet.Refused, no.Why}
				return
			}
			_ = json.NewDecoder(p.Body).Decode(&a)
			text := ""
			if len(a.Under) > 0 {
				text = "under way there already: " + strings.Join(a.Under, " ")
			}
			got <- row{id, fleet.Obeyed, text}
		}()
	}
	for range ask {
		x := <-got
		if rows[x.Agent] = x; x.State == fleet.Obeyed {
			yes++
		}
	}
	a, err := g.sendCommand(ctx, fleet.Command{Do: "halt", ID: of, Why: why, Then: then})
	g.printResult(rows, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "AGENT\tSTATE\tWHY")
		for _, id := range slices.Sorted(maps.Keys(rows)) {
			fmt.Fprintf(w, "%s\t%s\t%s\n", id, rows[id].State, rows[id].Why)
		}
		if err == nil {
			fmt.Fprintf(w, "on record as %d\n", a.No)
		} else {
			fmt.Fprintf(w, "NOT on record: %v\n", err)
		}
	})
	switch {
	case err == nil && yes == len(rows):
		return nil
	case yes > 0 || err == nil:
		return exitError{exitPartial, "it holds at those that obeyed" + map[bool]string{true: ", and on record", false: "; they put it on record when they can"}[err == nil]}
	}
	return exitError{exitFailed, "nobody could be told"}
}

type liftCmd struct {
	Scope  string `arg:"" name:"of" help:"What was halted."`
	Reason string `name:"why" help:"For the audit."`
}

func (c *liftCmd) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Do: "lift", ID: c.Scope, Why: c.Reason})
}

type limitsShow struct{}

func (limitsShow) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(r.Limits, func(w *tabwriter.Writer) {
		for _, l := range r.Limits {
			fmt.Fprintln(w, l)
		}
		if len(r.Limits) == 0 {
			fmt.Fprintln(w, "none: one scheduler and one worker at a time")
		}
	})
	return nil
}

type limitsSet struct {
	Path   string `arg:"" help:"A file with [[limit]] rows."`
	Reason string `name:"why" help:"For the audit."`
}

func readLimits(path string) ([]fleet.Limit, error) {
	var f struct {
		Limit []fleet.Limit `toml:"limit"`
	}
	if err := decodeStrict(path, &f); err != nil {
		return nil, err
	}
	if why := fleet.CheckLimits(f.Limit); why != "" {
		return nil, exitError{exitFailed, path + ": " + why}
	}
	return f.Limit, nil
}

func (c *limitsSet) Run(g *globalFlags, ctx context.Context) error {
	all, err := readLimits(c.Path)
	if err != nil {
		return err
	}
	return g.recordCommand(ctx, fleet.Command{Do: "limits", Limits: all, Why: c.Reason})
}

type whyCmd struct {
	ID string `arg:"" help:"A scheduler or worker."`
}

// Run says why a member may not go out now, a row for each thing that counts.
func (c *whyCmd) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	m, known := r.Members[c.ID]
	if !known || m.Kind == "agent" {
		return exitError{exitFailed, "no such scheduler or worker"}
	}
	rows := r.Room(c.ID)
	why := r.Grant(&fleet.Op{ID: "-"}, c.ID)
	g.printResult(rows, func(w *tabwriter.Writer) {
		state, out := r.IsOut(c.ID)
		if !out {
			state = "in service"
		}
		fmt.Fprintf(w, "%s, %s in zone %s: %s\n", c.ID, m.Kind, m.Zone, state)
		for _, x := range rows {
			fmt.Fprintf(w, "limit\t%s\t%d of %d would be out, %d may be\n", x.Limit, len(x.Out), x.Of, x.Allowed)
			for _, id := range x.Out {
				if id != c.ID {
					state, _ := r.IsOut(id)
					fmt.Fprintf(w, "\t%s\t%s\n", id, state)
				}
			}
		}
		if why == "" {
			fmt.Fprintln(w, "it may go out now")
		} else {
			fmt.Fprintln(w, "it may not go out now:", why)
		}
	})
	if why != "" {
		return exitError{exitFailed, why}
	}
	return nil
}

// attentionLines lists what needs a person, the most urgent first.
func attentionLines(r *fleet.Record) (all []string) {
	for _, of := range slices.Sorted(maps.Keys(r.Halts)) {
		h := r.Halts[of]
		all = append(all, fmt.Sprintf("HALTED %s by %s: %s", of, h.By, h.Why))
	}
	for _, id := range slices.Sorted(maps.Keys(r.Ops)) {
		o := r.Ops[id]
		if o.Closed {
			continue
		}
		for _, m := range slices.Sorted(maps.Keys(o.Steps)) {
			if s := o.Steps[m]; s.Why != "" {
				all = append(all, fmt.Sprintf("STUCK %s in %s: %s", m, id, s.Why))
			}
		}
		if o.Done {
			all = append(all, fmt.Sprintf("CLOSE %s: it is %s, and what it came from is still kept", id, operationState(r, o)))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.Members)) {
		if m := r.Members[id]; m.Kind == "agent" || r.V < 2 {
			continue
		}
		if state, out := r.IsOut(id); out && r.Permits[id].Op == "" {
			all = append(all, fmt.Sprintf("OUT %s: %s", id, state))
		}
	}
	return all
}
