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

// The commands for operations: drains, restarts, maintenance and releases, their halts and rollbacks, and the limits on how
// many members may be out of service together.

// operationFile is the TOML form of an operation; docs/releases.md has three examples.
type operationFile struct {
	Kind         string         `toml:"kind"`      // drain, undrain, restart, maintain or release; "" means release
	Reason       string         `toml:"why"`       // for the audit log
	Members      []string       `toml:"members"`   // ids; either these or SelectKind is set
	SelectKind   string         `toml:"select"`    // schedulers or workers: all members of this kind that match Zone and Label
	Zone         string         `toml:"zone"`      // of the selected members; "" means any
	Label        string         `toml:"label"`     // key=value that the selected members have; "" means any
	Program      string         `toml:"program"`   // path, on each machine, of the program to release
	Digest       string         `toml:"digest"`    // SHA-256 of the program in hex; "" means that of Program on this machine
	Config       string         `toml:"config"`    // path, on each machine, of the configuration to release; {id} stands for the member
	Version      string         `toml:"version"`   // passed to the site's own command for workers
	WatchPeriod  agent.Duration `toml:"watch"`     // how long after each wave the gates are watched before the next wave begins
	Pause        agent.Duration `toml:"pause"`     // how long a member in maintenance stays out
	WaveTimeout  agent.Duration `toml:"wave_most"` // a wave that takes longer halts the operation
	MaxTogether  int            `toml:"together"`  // members of this operation out at once, beside the limits; 0 means the limits alone
	AutoRollback bool           `toml:"auto_back"` // an automatic halt also rolls the operation back
	Gates        fleet.Gates    `toml:"gates"`     // how much worse the released members may do than the others
}

// decodeStrict reads a TOML file into target, and rejects keys that target has no field for.
func decodeStrict(path string, target any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	err = toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(target)
	var unknownKeys *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &unknownKeys):
		line, _ := unknownKeys.Errors[0].Position()
		return exitError{exitFailed, fmt.Sprintf("%s: line %d: unknown key %v", path, line, unknownKeys.Errors[0].Key())}
	case errors.As(err, &decodeErr):
		line, _ := decodeErr.Position()
		return exitError{exitFailed, fmt.Sprintf("%s: line %d: %v: %s", path, line, decodeErr.Key(), decodeErr.Error())}
	case err != nil:
		return exitError{exitFailed, fmt.Sprintf("%s: %v", path, err)}
	}
	return nil
}

// load reads an operation file and validates it without the fleet record.
func (f *operationFile) load(path string) error {
	if err := decodeStrict(path, f); err != nil {
		return err
	}
	invalid := func(format string, args ...any) error {
		return exitError{exitFailed, path + ": " + fmt.Sprintf(format, args...)}
	}
	if f.Kind == "" {
		f.Kind = "release"
	}
	released := f.Program + f.Config + f.Version // "" if the file names nothing to release
	switch {
	case !slices.Contains([]string{"drain", "undrain", "restart", "maintain", "release"}, f.Kind):
		return invalid("kind: got %q, want drain, undrain, restart, maintain or release", f.Kind)
	case f.Kind == "release" && released == "":
		return invalid("kind release needs program, config or version")
	case f.Kind != "release" && (released != "" || f.AutoRollback || f.WatchPeriod > 0):
		return invalid("program, config, version, watch and auto_back need kind release, got kind %s", f.Kind)
	case f.Pause > 0 && f.Kind != "maintain":
		return invalid("pause needs kind maintain, got kind %s", f.Kind)
	case len(f.Members) > 0 && f.SelectKind != "" || len(f.Members) == 0 && f.SelectKind == "":
		return invalid("exactly one of members and select is needed")
	case f.SelectKind != "" && f.SelectKind != "schedulers" && f.SelectKind != "workers":
		return invalid("select: got %q, want schedulers or workers", f.SelectKind)
	case f.MaxTogether < 0 || f.Gates.Settled < 0 || f.Gates.Settled > 1 || f.Gates.Declined < 0 || f.Gates.Declined > 1 || f.Gates.Reversed < 0 ||
		f.Gates.Reversed > 1 || f.Gates.MinTxns < 0 || f.Gates.MaxLost < 0:
		return invalid("together and gates must not be below 0, and the shares settled, declined and reversed not above 1")
	}
	return nil
}

// buildOperation loads the file and makes an operation of it, with the members that the record has now.
func (f *operationFile) buildOperation(path string, record *fleet.Record) (*fleet.Operation, error) {
	if err := f.load(path); err != nil {
		return nil, err
	}
	invalid := func(format string, args ...any) (*fleet.Operation, error) {
		return nil, exitError{exitFailed, path + ": " + fmt.Sprintf(format, args...)}
	}
	op := &fleet.Operation{Kind: f.Kind, Gates: f.Gates, MaxOut: f.MaxTogether, AutoRollBack: f.AutoRollback,
		WatchMs: milliseconds(f.WatchPeriod), PauseMs: milliseconds(f.Pause), MaxWaveMs: milliseconds(f.WaveTimeout),
		Version: fleet.Version{Program: f.Program, Digest: f.Digest, Config: f.Config, Name: f.Version}}
	if f.Program != "" && f.Digest == "" {
		raw, err := os.ReadFile(f.Program)
		if err != nil {
			return invalid("digest is not set, and cannot be computed from program: %v", err)
		}
		sum := sha256.Sum256(raw)
		op.Version.Digest = hex.EncodeToString(sum[:])
	}
	var members []fleet.Member
	for _, id := range f.Members {
		member, known := record.Members[id]
		if !known {
			return invalid("members: %s is not in the fleet record", id)
		}
		members = append(members, member)
	}
	key, value, _ := strings.Cut(f.Label, "=")
	for _, member := range record.MembersOfKind(strings.TrimSuffix(f.SelectKind, "s")) {
		if (f.Zone == "" || member.Zone == f.Zone) && (f.Label == "" || slices.Contains(strings.Split(member.Labels, ","), key+"="+value)) {
			members = append(members, member)
		}
	}
	if len(members) == 0 {
		return invalid("no member in the fleet record matches select, zone and label")
	}
	op.Waves = fleet.Waves(members)
	return op, nil
}

func milliseconds(span agent.Duration) float64 { return float64(time.Duration(span)) / 1e6 }

// defaultTimePerMember is what a dry run assumes; it equals the default of plan --each.
const defaultTimePerMember = 5 * time.Second

type planCmd struct {
	Path          string        `arg:"" help:"The operation file."`
	TimePerMember time.Duration `name:"each" default:"5s" help:"Time that one member is assumed to take."`
}

func (c *planCmd) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	op, err := (&operationFile{}).buildOperation(c.Path, record)
	if err != nil {
		return err
	}
	return g.printPlan(record, op, c.TimePerMember)
}

// printPlan prints an operation's waves, how many members would be out together in each zone, the estimated time, and what
// prevents it from beginning now.
func (g *globalFlags) printPlan(record *fleet.Record, op *fleet.Operation, timePerMember time.Duration) error {
	forecast := record.Forecast(op, timePerMember.Seconds())
	g.printResult(forecast, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "WAVE\tMEMBERS")
		for i, wave := range forecast.Waves {
			fmt.Fprintf(w, "%d\t%s\n", i+1, strings.Join(wave, " "))
		}
		for _, zone := range slices.Sorted(maps.Keys(forecast.MaxOutByZone)) {
			fmt.Fprintf(w, "zone %s\tat most %d out together\n", zone, forecast.MaxOutByZone[zone])
		}
		fmt.Fprintf(w, "time\tabout %v at %v a member\n", time.Duration(forecast.DurationSeconds*float64(time.Second)).Round(time.Second), timePerMember)
		for _, reason := range forecast.Blockers {
			fmt.Fprintf(w, "blocked\t%s\n", reason)
		}
	})
	if len(forecast.Blockers) > 0 {
		return exitError{exitFailed, fmt.Sprintf("the operation cannot begin now (blocking reasons: %d)", len(forecast.Blockers))}
	}
	return nil
}

// beginOperation puts an operation on record. With wait it returns when the operation has ended or is halted, or at the time
// limit of the command; without wait it prints the operation's id and returns.
func (g *globalFlags) beginOperation(ctx context.Context, op *fleet.Operation, reason string, wait bool) error {
	if g.DryRun {
		record, err := g.readRecord(ctx)
		if err != nil {
			return err
		}
		return g.printPlan(record, op, defaultTimePerMember)
	}
	answer, err := g.sendCommand(ctx, fleet.Command{Verb: "begin", Op: op, Reason: reason})
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-%d", op.Kind, answer.No) // as the record names it: the kind, and the number of the command that began it
	if !wait {
		fmt.Println(id)
		return nil
	}
	return g.waitForOperation(ctx, id, func(op *fleet.Operation, halted bool) bool { return op.Done || halted })
}

// waitForOperation reads the record until isOver holds for an operation or the time limit is reached, and prints the
// operation's table as last read.
func (g *globalFlags) waitForOperation(ctx context.Context, id string, isOver func(op *fleet.Operation, halted bool) bool) error {
	var record *fleet.Record // as last read; nil if it never was
	for {
		newer, err := g.readRecord(ctx)
		if err == nil {
			record = newer
			op := record.Ops[id]
			if op == nil {
				return exitError{exitFailed, "no operation " + id + " in the fleet record"}
			}
			if _, halted := record.Halts[id]; isOver(op, halted) {
				break
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
			continue
		}
		break
	}
	if record == nil {
		return exitError{exitUnknown, fmt.Sprintf("the command for %s is on record; its progress could not be read within --timeout (%v)", id, g.Timeout)}
	}
	return g.printOperation(record, id)
}

// printOperation prints where each member stands in an operation, and returns nil only if the operation has ended with all
// members at their last step.
func (g *globalFlags) printOperation(record *fleet.Record, id string) error {
	op := record.Ops[id]
	if op == nil {
		return exitError{exitFailed, "no operation " + id + " in the fleet record"}
	}
	halt, halted := record.Halts[id]
	arrived, total := 0, 0
	g.printResult(struct {
		*fleet.Operation
		Halt *fleet.Halt `json:"halt,omitempty"`
	}{op, map[bool]*fleet.Halt{true: &halt}[halted] /* nil unless halted */}, func(w *tabwriter.Writer) {
		fmt.Fprintf(w, "%s by %s: %s\n", op.ID, op.By, op.Reason)
		if halted {
			fmt.Fprintf(w, "HALTED by %s: %s\n", halt.By, halt.Reason)
		}
		fmt.Fprintln(w, "WAVE\tMEMBER\tSTATE\tSEEN\tWHY")
		for i, wave := range op.Waves {
			for _, id := range wave {
				step := op.Steps[id]
				reason := step.Reason
				if reason == "" && step.State == fleet.StepWaiting && i <= op.Wave { // its wave has begun, and it has no permit yet
					reason = record.GrantRefusal(op, id)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", i+1, id, step.State, record.Health[id].State, reason)
			}
		}
	})
	for _, step := range op.Steps {
		if total++; op.Arrived(step) {
			arrived++
		}
	}
	switch {
	case op.Done && arrived == total:
		return nil
	case halted:
		return exitError{exitPartial, fmt.Sprintf("%s is halted: %s; %d of %d members have completed it", id, halt.Reason, arrived, total)}
	case arrived > 0:
		return exitError{exitPartial, fmt.Sprintf("%s is not complete: %d of %d members have completed it", id, arrived, total)}
	}
	return exitError{exitFailed, fmt.Sprintf("%s is not complete: none of %d members has completed it", id, total)}
}

// memberArgs are the arguments of an operation on members that the command line names.
type memberArgs struct {
	IDs    []string `arg:"" name:"member" help:"Ids of schedulers or workers."`
	Reason string   `name:"why" help:"Reason, for the audit log."`
	Wait   bool     `default:"true" negatable:"" help:"Wait until the operation has ended or is halted."`
}

// begin begins an operation with all members in one wave.
func (c *memberArgs) begin(g *globalFlags, ctx context.Context, kind string, pause time.Duration) error {
	return g.beginOperation(ctx, &fleet.Operation{Kind: kind, Waves: [][]string{c.IDs}, PauseMs: float64(pause) / 1e6}, c.Reason, c.Wait)
}

type drainCmd struct{ memberArgs }
type undrainCmd struct{ memberArgs }
type restartCmd struct{ memberArgs }
type maintainCmd struct {
	memberArgs
	Pause time.Duration `help:"How long a member stays out before it is restarted."`
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
	Path string `arg:"" help:"The operation file."`
	Wait bool   `help:"Wait until the operation has ended or is halted."`
}

func (c *releaseStart) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	file := &operationFile{}
	op, err := file.buildOperation(c.Path, record)
	if err != nil {
		return err
	}
	return g.beginOperation(ctx, op, file.Reason, c.Wait)
}

// operationArgs are the arguments of a command on one operation.
type operationArgs struct {
	ID     string `arg:"" help:"The operation's id, such as release-17."`
	Reason string `name:"why" help:"Reason, for the audit log."`
}

type releaseStatus struct {
	ID string `arg:"" help:"The operation's id, such as release-17."`
}

func (c *releaseStatus) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	return g.printOperation(record, c.ID)
}

type releaseHalt struct {
	operationArgs
	OnHalt string `name:"then" enum:"finish,back" default:"finish" help:"finish: members that are out complete their steps; back: the operation is rolled back."`
}

func (c *releaseHalt) Run(g *globalFlags, ctx context.Context) error {
	return g.sendHalt(ctx, c.ID, c.Reason, c.OnHalt)
}

type releaseResume struct{ operationArgs }

func (c *releaseResume) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Verb: "lift", ID: c.ID, Reason: c.Reason})
}

type releaseBack struct {
	operationArgs
	Wait bool `help:"Wait until the rollback has ended."`
}

func (c *releaseBack) Run(g *globalFlags, ctx context.Context) error {
	if g.DryRun {
		fmt.Println(c.ID, "would be rolled back")
		return nil
	}
	if _, err := g.sendCommand(ctx, fleet.Command{Verb: "turn", Lease: fleet.OperationLease(c.ID), Reason: c.Reason}); err != nil {
		return err
	}
	if !c.Wait {
		fmt.Println(c.ID, "goes back")
		return nil
	}
	return g.waitForOperation(ctx, c.ID, func(op *fleet.Operation, _ bool) bool { return op.RollingBack && op.Done })
}

type releaseClose struct {
	operationArgs
	Force bool `help:"Close it even if it has not ended."`
}

func (c *releaseClose) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Verb: "close", Lease: fleet.OperationLease(c.ID), Reason: c.Reason, Force: c.Force})
}

type releaseList struct{}

func (releaseList) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(record.Ops, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "OPERATION\tBY\tWAVE\tARRIVED\tSTATE\tWHY")
		for _, id := range slices.Sorted(maps.Keys(record.Ops)) {
			op, arrived := record.Ops[id], 0
			for _, step := range op.Steps {
				if op.Arrived(step) {
					arrived++
				}
			}
			fmt.Fprintf(w, "%s\t%s\t%d/%d\t%d/%d\t%s\t%s\n", id, op.By, op.Wave+1, len(op.Waves), arrived, len(op.Steps), operationState(record, op), op.Reason)
		}
	})
	return nil
}

// operationState is the STATE column of an operation: closed (nothing is kept for a rollback), back (rolled back), done,
// going back (being rolled back), halted or going (in progress).
func operationState(record *fleet.Record, op *fleet.Operation) string {
	_, halted := record.Halts[op.ID]
	switch {
	case op.Closed:
		return "closed"
	case op.Done && op.RollingBack:
		return "back"
	case op.Done:
		return "done"
	case op.RollingBack:
		return "going back"
	case halted:
		return "halted"
	}
	return "going"
}

type haltCmd struct {
	Scope  string `arg:"" name:"of" help:"What to halt: an operation's id, zone/ZONE, or all."`
	Reason string `name:"why" help:"Reason, for the audit log."`
	OnHalt string `name:"then" enum:"finish,back" default:"finish" help:"For an operation: finish lets members that are out complete their steps, back rolls the operation back."`
}

func (c *haltCmd) Run(g *globalFlags, ctx context.Context) error {
	return g.sendHalt(ctx, c.Scope, c.Reason, c.OnHalt)
}

// sendHalt sends a halt to each agent directly, and then puts it on record. An agent that accepts it takes no further
// members out from then on, even while the voters have no majority and the record cannot be changed.
func (g *globalFlags) sendHalt(ctx context.Context, scope, reason, onHalt string) error {
	// agentAnswer is also the JSON form of one agent's answer.
	type agentAnswer struct {
		Agent string         `json:"agent"`
		State fleet.AckState `json:"state"`
		Why   string         `json:"why,omitempty"`
	}
	if g.DryRun {
		fmt.Println("would be halted:", scope)
		return nil
	}
	addrs := map[string]string{} // by agent id, or by address if the record cannot be read
	record, readErr := g.readRecord(ctx)
	if readErr == nil {
		for _, member := range record.MembersOfKind("agent") {
			addrs[member.ID] = member.Addr
		}
	} else {
		for _, addr := range g.Agents {
			addrs[addr] = addr // without the record only the agents of --agent are known
		}
	}
	body, _ := json.Marshal(fleet.Halt{Scope: scope, By: g.requesterName(), Reason: reason, Then: onHalt})
	answers, acknowledged := map[string]agentAnswer{}, 0
	received := make(chan agentAnswer)
	client := agent.NewHTTP(nil, haltTimeout)
	for id, addr := range addrs {
		go func() {
			response, err := client.Post("http://"+addr+"/v1/halt", "application/json", bytes.NewReader(body))
			if err != nil {
				// Such an agent may take members out until it learns of the halt from the record.
				received <- agentAnswer{id, fleet.AckNotReached, "its machine may go on until the record tells it"}
				return
			}
			defer response.Body.Close()
			var accepted agent.HaltAnswer
			var refusal agent.Refusal
			if response.StatusCode != http.StatusOK {
				_ = json.NewDecoder(response.Body).Decode(&refusal)
				received <- agentAnswer{id, fleet.AckRefused, refusal.Reason}
				return
			}
			_ = json.NewDecoder(response.Body).Decode(&accepted)
			text := ""
			if len(accepted.UnderWay) > 0 {
				text = "under way there already: " + strings.Join(accepted.UnderWay, " ")
			}
			received <- agentAnswer{id, fleet.AckDone, text}
		}()
	}
	for range addrs {
		answer := <-received
		if answers[answer.Agent] = answer; answer.State == fleet.AckDone {
			acknowledged++
		}
	}
	recorded, err := g.sendCommand(ctx, fleet.Command{Verb: "halt", ID: scope, Reason: reason, Then: onHalt})
	g.printResult(answers, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "AGENT\tSTATE\tWHY")
		for _, id := range slices.Sorted(maps.Keys(answers)) {
			fmt.Fprintf(w, "%s\t%s\t%s\n", id, answers[id].State, answers[id].Why)
		}
		if err == nil {
			fmt.Fprintf(w, "on record as %d\n", recorded.No)
		} else {
			fmt.Fprintf(w, "NOT on record: %v\n", err)
		}
	})
	switch {
	case err == nil && acknowledged == len(answers):
		return nil
	case acknowledged > 0 || err == nil:
		return exitError{exitPartial, fmt.Sprintf("%d of %d agents obey the halt", acknowledged, len(answers)) +
			map[bool]string{true: ", and it is on record", false: "; they put it on record as soon as they can"}[err == nil]}
	}
	return exitError{exitFailed, fmt.Sprintf("none of %d agents obeys the halt, and it is not on record", len(answers))}
}

type liftCmd struct {
	Scope  string `arg:"" name:"of" help:"What was halted: an operation's id, zone/ZONE, or all."`
	Reason string `name:"why" help:"Reason, for the audit log."`
}

func (c *liftCmd) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Verb: "lift", ID: c.Scope, Reason: c.Reason})
}

type limitsShow struct{}

func (limitsShow) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(record.Limits, func(w *tabwriter.Writer) {
		for _, limit := range record.Limits {
			fmt.Fprintln(w, limit)
		}
		if len(record.Limits) == 0 {
			fmt.Fprintln(w, "none: one scheduler and one worker at a time")
		}
	})
	return nil
}

type limitsSet struct {
	Path   string `arg:"" help:"A TOML file with [[limit]] tables."`
	Reason string `name:"why" help:"Reason, for the audit log."`
}

// readLimits reads and validates a limits file.
func readLimits(path string) ([]fleet.Limit, error) {
	var file struct {
		Limit []fleet.Limit `toml:"limit"`
	}
	if err := decodeStrict(path, &file); err != nil {
		return nil, err
	}
	if reason := fleet.CheckLimits(file.Limit); reason != "" {
		return nil, exitError{exitFailed, path + ": " + reason}
	}
	return file.Limit, nil
}

func (c *limitsSet) Run(g *globalFlags, ctx context.Context) error {
	limits, err := readLimits(c.Path)
	if err != nil {
		return err
	}
	return g.recordCommand(ctx, fleet.Command{Verb: "limits", Limits: limits, Reason: c.Reason})
}

type whyCmd struct {
	ID string `arg:"" help:"Id of a scheduler or worker."`
}

// Run prints whether a member may be taken out now: for each limit that covers it a row with its count, followed by the
// other members that count as out, and then the first reason that prevents it.
func (c *whyCmd) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	member, known := record.Members[c.ID]
	if !known || member.Kind == "agent" {
		return exitError{exitFailed, fmt.Sprintf("no scheduler or worker %s in the fleet record", c.ID)}
	}
	counts := record.LimitCounts(c.ID)
	reason := record.GrantRefusal(&fleet.Operation{ID: "-"}, c.ID) // for an operation with an id that no other has
	g.printResult(counts, func(w *tabwriter.Writer) {
		state, out := record.IsOut(c.ID)
		if !out {
			state = "in service"
		}
		fmt.Fprintf(w, "%s, %s in zone %s: %s\n", c.ID, member.Kind, member.Zone, state)
		for _, count := range counts {
			fmt.Fprintf(w, "limit\t%s\t%d of %d would be out, %d may be\n", count.Limit, len(count.Out), count.Members, count.Allowed)
			for _, id := range count.Out {
				if id != c.ID {
					state, _ := record.IsOut(id)
					fmt.Fprintf(w, "\t%s\t%s\n", id, state)
				}
			}
		}
		if reason == "" {
			fmt.Fprintln(w, "it may go out now")
		} else {
			fmt.Fprintln(w, "it may not go out now:", reason)
		}
	})
	if reason != "" {
		return exitError{exitFailed, reason}
	}
	return nil
}

// attentionLines lists what an operator has to attend to, the most urgent first: halts; members that cannot go on in an
// operation, and operations that have ended but are not closed; members that are out for no operation.
func attentionLines(record *fleet.Record) (lines []string) {
	for _, scope := range slices.Sorted(maps.Keys(record.Halts)) {
		halt := record.Halts[scope]
		lines = append(lines, fmt.Sprintf("HALTED %s by %s: %s", scope, halt.By, halt.Reason))
	}
	for _, id := range slices.Sorted(maps.Keys(record.Ops)) {
		op := record.Ops[id]
		if op.Closed {
			continue
		}
		for _, member := range slices.Sorted(maps.Keys(op.Steps)) {
			if step := op.Steps[member]; step.Reason != "" {
				lines = append(lines, fmt.Sprintf("STUCK %s in %s: %s", member, id, step.Reason))
			}
		}
		if op.Done {
			lines = append(lines, fmt.Sprintf("CLOSE %s: it is %s, and what it came from is still kept", id, operationState(record, op)))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(record.Members)) {
		// In a record below form 2 nobody observes whether members are in service, and all would count as out.
		if member := record.Members[id]; member.Kind == "agent" || record.FormatVersion < 2 {
			continue
		}
		if state, out := record.IsOut(id); out && record.Permits[id].Op == "" {
			lines = append(lines, fmt.Sprintf("OUT %s: %s", id, state))
		}
	}
	return lines
}
