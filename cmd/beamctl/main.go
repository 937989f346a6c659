// Command beamctl is the command-line client of the fleet's agents, which it calls over HTTP. It reads the fleet record,
// the replicated state that the voters among the agents keep: members, owners, operations, halts, limits and the audit
// log. It takes workers out of service and back at every scheduler, and runs drains, restarts, maintenance and releases.
// A command that schedulers or agents have to follow ends with a table of which applied it, which refused and why, which
// were not reached, and which have not answered yet.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pelletier/go-toml/v2"

	"shalebeam/agent"
	"shalebeam/fleet"
)

// Exit codes; 0 means that everything that was asked for is done.
const (
	exitPartial = 1 // some schedulers, agents or members have followed the command, others have not
	exitFailed  = 2 // none has followed it, the command was refused, or the input is invalid
	exitUnknown = 3 // no agent could tell the outcome; a change may be on record nevertheless
)

const (
	readTimeout    = 2 * time.Second        // for one agent to return the record or a worker's acknowledgements
	commandTimeout = 4 * time.Second        // for one agent to answer a command; an agent itself waits 3 s for the outcome
	haltTimeout    = 2 * time.Second        // for one agent to accept a halt
	statusTimeout  = time.Second            // for one agent to report its own status
	pollInterval   = 100 * time.Millisecond // between two reads while waiting for a change to take effect
	watchInterval  = time.Second            // between two screens of status --watch
)

// exitError ends the program with an exit code; its message goes to standard error after the command's output.
type exitError struct {
	code    int
	message string
}

func (e exitError) Error() string { return e.message }

// globalFlags are the flags that all commands share, with the idempotency key of the commands that this process sends.
type globalFlags struct {
	Agents    []string      `name:"agent" env:"BEAM_AGENT" default:"127.0.0.1:7001" placeholder:"ADDR" help:"Addresses of the agents to ask, tried in order until one answers."`
	Timeout   time.Duration `default:"10s" help:"Time limit of the whole command, with its wait for schedulers, agents or members."`
	JSON      bool          `help:"Write JSON to standard output instead of a table."`
	DryRun    bool          `help:"Show what would be done, and change nothing."`
	Requester string        `name:"by" env:"BEAM_BY" placeholder:"NAME" help:"Who requests the change, for the audit log; by default the current user's name."`

	callerID          string // random, one for each run of beamctl; "" until the first command is sent
	lastCommandNumber uint64 // of the commands sent under callerID
}

// newCaller returns a client that tries the agents in turn, and gives each call callTimeout.
func (g *globalFlags) newCaller(callTimeout time.Duration) *agent.Caller {
	return &agent.Caller{HTTP: agent.NewHTTP(nil, callTimeout), Addrs: g.Agents}
}

// requesterName is --by, or else the name of the user who runs the program.
func (g *globalFlags) requesterName() string {
	if g.Requester != "" {
		return g.Requester
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "somebody"
}

// readRecord returns the fleet record, at least as new as every change that was acknowledged before the call.
func (g *globalFlags) readRecord(ctx context.Context) (*fleet.Record, error) {
	var raw json.RawMessage
	if err := g.newCaller(readTimeout).Get(ctx, "/v1/read", &raw); err != nil {
		return nil, exitError{exitUnknown, "cannot read the fleet record: " + err.Error()}
	}
	record := fleet.NewRecord()
	return record, record.Restore(raw)
}

// sendCommand sends a command to the agents until one reports its outcome. A retry carries the same caller id and number,
// which are the command's idempotency key: the record applies the command once.
func (g *globalFlags) sendCommand(ctx context.Context, command fleet.Command) (fleet.CommandResult, error) {
	if g.callerID == "" {
		g.callerID = "beamctl/" + strconv.FormatUint(rand.Uint64(), 36)
	}
	g.lastCommandNumber++
	command.FormatVersion, command.Caller, command.Number, command.By = fleet.FormatVersionOf(&command), g.callerID, g.lastCommandNumber, g.requesterName()
	if err := command.Check(); err != nil {
		return fleet.CommandResult{}, exitError{exitFailed, err.Error()}
	}
	answer, err := g.newCaller(commandTimeout).Do(ctx, command)
	switch {
	case errors.Is(err, agent.ErrOutcomeUnknown):
		return answer, exitError{exitUnknown, err.Error()}
	case err != nil:
		return answer, exitError{exitFailed, "refused: " + err.Error()}
	case !answer.Applied:
		return answer, exitError{exitFailed, "refused: " + answer.Reason}
	}
	return answer, nil
}

// printResult writes result as JSON with --json, and else the table.
func (g *globalFlags) printResult(result any, table func(w *tabwriter.Writer)) {
	if g.JSON {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", " ")
		_ = encoder.Encode(result)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w)
	w.Flush()
}

type statusCmd struct {
	Watch bool `help:"Repeat every second, until Ctrl-C or --timeout."`
}

// Run prints what an operator has to attend to, then the status that each agent reports of itself.
func (c *statusCmd) Run(g *globalFlags, ctx context.Context) error {
	for c.Watch && ctx.Err() == nil {
		fmt.Print("\033[H\033[2J", time.Now().Format(time.TimeOnly), "\n")
		err := c.printOnce(g, ctx)
		var exitErr exitError
		if errors.As(err, &exitErr) {
			fmt.Println(exitErr.message)
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchInterval):
		}
	}
	if c.Watch {
		return nil
	}
	return c.printOnce(g, ctx)
}

// printOnce asks each agent on record for its status, or the agents of --agent if the record cannot be read.
func (*statusCmd) printOnce(g *globalFlags, ctx context.Context) error {
	// agentRow is also the JSON form of one agent.
	type agentRow struct {
		agent.Status
		Addr string `json:"addr"`
		Err  string `json:"err,omitempty"`
	}
	record, err := g.readRecord(ctx)
	addrs := map[string]string{} // by agent id, or by address if the record cannot be read
	if err == nil {
		for _, member := range record.MembersOfKind("agent") {
			addrs[member.ID] = member.Addr
		}
	} else {
		for _, addr := range g.Agents {
			addrs[addr] = addr
		}
	}
	var rows []agentRow
	reached := 0
	for _, id := range slices.Sorted(maps.Keys(addrs)) {
		row := agentRow{Addr: addrs[id]}
		caller := &agent.Caller{HTTP: agent.NewHTTP(nil, statusTimeout), Addrs: []string{row.Addr}}
		if e := caller.Get(ctx, "/v1/status", &row.Status); e != nil {
			row.Name, row.Err = id, "not reached"
		} else {
			reached++
		}
		rows = append(rows, row)
	}
	g.printResult(rows, func(w *tabwriter.Writer) {
		if err == nil {
			for _, text := range attentionLines(record) {
				fmt.Fprintln(w, text)
			}
		}
		fmt.Fprintln(w, "AGENT\tZONE\tADDR\tVOTER\tRECORD\tOWNS")
		for _, row := range rows {
			voter := "-"
			switch {
			case row.Voter != 0 && row.IsLeader:
				voter = fmt.Sprint(row.Voter, " leads")
			case row.DiskBehind:
				voter = fmt.Sprint(row.Voter, " REPLACE: its disk lacks what it acknowledged")
			case row.Voter != 0 && !row.Participating:
				voter = fmt.Sprint(row.Voter, " waits")
			case row.Voter != 0:
				voter = fmt.Sprint(row.Voter)
			}
			owns := strings.Join(slices.Sorted(maps.Keys(row.Leases)), " ")
			if row.Err != "" {
				owns = row.Err
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", row.Name, row.Zone, row.Addr, voter, row.LastCommand, owns)
			for _, process := range row.Schedulers {
				// The agent reports "done" for every process that is as it is meant to be, also for one meant to be stopped.
				if !process.ShouldRun && process.State == "done" {
					process.State = "stopped"
				}
				fmt.Fprintf(w, "  %s\t%s\t%s\t%v\t%.12s\t%s\n", process.ID, process.State, process.Addr, process.PIDs, process.Program, process.Reason)
			}
			for _, halt := range row.Halts {
				fmt.Fprintf(w, "  halted here: %s by %s: %s\n", halt.Scope, halt.By, halt.Reason)
			}
		}
	})
	switch {
	case err != nil:
		return err
	case reached == len(rows):
		return nil
	case reached > 0:
		return exitError{exitPartial, fmt.Sprintf("%d of %d agents answered", reached, len(rows))}
	}
	return exitError{exitUnknown, fmt.Sprintf("none of %d agents answered", len(rows))}
}

type workerDown struct {
	ID     string `arg:"" help:"The worker's id."`
	Zone   string `help:"The worker's zone; needed if the worker is not on record yet."`
	Reason string `name:"why" help:"Reason, for the audit log."`
	Force  bool   `help:"Take it out even if that exceeds the limits."`
}

type workerUp struct {
	ID     string `arg:"" help:"The worker's id."`
	Reason string `name:"why" help:"Reason, for the audit log."`
	Force  bool   `help:"Return it to service even if another person took it out."`
}

func (c *workerDown) Run(g *globalFlags, ctx context.Context) error {
	return g.setWorkerIntent(ctx, fleet.Command{Verb: "out", ID: c.ID, Zone: c.Zone, Reason: c.Reason, Force: c.Force})
}

func (c *workerUp) Run(g *globalFlags, ctx context.Context) error {
	return g.setWorkerIntent(ctx, fleet.Command{Verb: "in", ID: c.ID, Reason: c.Reason, Force: c.Force})
}

// setWorkerIntent puts on record whether a worker is to be in or out of service (command.Verb is "in" or "out"), and waits
// until every scheduler has applied it or the time limit is reached.
func (g *globalFlags) setWorkerIntent(ctx context.Context, command fleet.Command) error {
	if g.DryRun {
		record, err := g.readRecord(ctx)
		if err != nil {
			return err
		}
		g.printResult(record.MembersOfKind("scheduler"), func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "worker %s: %s, now out: %t. These would be told:\n", command.ID, command.Verb, record.Intents[command.ID].Out)
			for _, member := range record.MembersOfKind("scheduler") {
				fmt.Fprintf(w, "%s\t%s\n", member.ID, member.Zone)
			}
		})
		return nil
	}
	answer, err := g.sendCommand(ctx, command)
	if err != nil {
		return err
	}
	var confirmations agent.Confirmations // each scheduler's acknowledgement, as the owner of the worker's zone knows it
	acknowledged := 0
	for {
		err = g.newCaller(readTimeout).Get(ctx, "/v1/told?worker="+url.QueryEscape(command.ID), &confirmations)
		acknowledged = 0
		for _, ack := range confirmations.Schedulers {
			if ack.State == fleet.AckDone {
				acknowledged++
			}
		}
		// The zone's owner may still report the intent before this command.
		if err == nil && confirmations.Intent.Out == (command.Verb == "out") && acknowledged == len(confirmations.Schedulers) {
			break
		}
		select {
		case <-ctx.Done():
			if err != nil || confirmations.Intent.Out != (command.Verb == "out") {
				return exitError{exitUnknown, fmt.Sprintf("on record as command %d; which schedulers obey is not known: %v", answer.No, err)}
			}
		case <-time.After(pollInterval):
			continue
		}
		break
	}
	g.printResult(confirmations, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SCHEDULER\tSTATE\tWHY")
		for _, ack := range confirmations.Schedulers {
			fmt.Fprintf(w, "%s\t%s\t%s\n", ack.ID, ack.State, ack.Reason)
		}
		fmt.Fprintf(w, "%d of %d obeyed; told by %s as %s number %d\n", acknowledged, len(confirmations.Schedulers), fleet.AgentOfOwner(confirmations.Owner), confirmations.Lease, confirmations.Fence)
	})
	switch {
	case acknowledged == len(confirmations.Schedulers):
		return nil
	case acknowledged > 0:
		return exitError{exitPartial, fmt.Sprintf("on record; %d of %d schedulers have obeyed, the others are told again until they obey", acknowledged, len(confirmations.Schedulers))}
	}
	return exitError{exitFailed, fmt.Sprintf("on record; none of %d schedulers has obeyed yet", len(confirmations.Schedulers))}
}

type workerList struct {
	OutOnly bool `name:"out" help:"Only the workers that are out now."`
}

// Run lists the workers for which the record has an intent: those that were taken out of service at least once.
func (c *workerList) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(record.Intents, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "WORKER\tZONE\tSTATE\tSINCE\tBY\tWHY")
		for _, id := range slices.Sorted(maps.Keys(record.Intents)) {
			intent, state := record.Intents[id], "in use"
			if intent.Out {
				state = "out"
			} else if c.OutOnly {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", id, intent.Zone, state, intent.Since, intent.By, intent.Reason)
		}
	})
	return nil
}

type ownerList struct{}

// Run lists every lease, on a zone (zone/ZONE) or an operation (op/ID), which one agent at a time owns, with its
// owner, the fencing token of that ownership, and the agent that has been asked for as the next owner.
func (ownerList) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(record.Leases, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "MATTER\tOWNER\tNUMBER\tWANTED BY")
		for _, name := range slices.Sorted(maps.Keys(record.Leases)) {
			lease := record.Leases[name]
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", name, lease.Owner, lease.Fence, lease.HandoverTo)
		}
	})
	return nil
}

type ownerMove struct {
	Matter   string `arg:"" help:"What to hand over: zone/ZONE or op/OPERATION."`
	NewOwner string `arg:"" name:"to" help:"The agent that is to own it."`
	Reason   string `name:"why" help:"Reason, for the audit log."`
}

// Run asks the present owner to hand a lease over, and waits until the record shows the new owner.
func (c *ownerMove) Run(g *globalFlags, ctx context.Context) error {
	if g.DryRun {
		fmt.Printf("the owner of %s would be asked to hand it over to %s\n", c.Matter, c.NewOwner)
		return nil
	}
	if _, err := g.sendCommand(ctx, fleet.Command{Verb: "want", Lease: c.Matter, Owner: c.NewOwner, Reason: c.Reason}); err != nil {
		return err
	}
	for {
		if record, err := g.readRecord(ctx); err == nil && fleet.AgentOfOwner(record.Leases[c.Matter].Owner) == c.NewOwner {
			fmt.Printf("%s is owned by %s, number %d\n", c.Matter, c.NewOwner, record.Leases[c.Matter].Fence)
			return nil
		}
		select {
		case <-ctx.Done():
			return exitError{exitPartial, fmt.Sprintf("on record; the owner of %s has not handed it over to %s yet", c.Matter, c.NewOwner)}
		case <-time.After(pollInterval):
		}
	}
}

type eventsCmd struct {
	Count int `name:"last" default:"20" help:"How many of the newest entries to show."`
}

func (c *eventsCmd) Run(g *globalFlags, ctx context.Context) error {
	record, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	rows := record.Audit[max(0, len(record.Audit)-c.Count):]
	g.printResult(rows, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NO\tWHAT\tOF\tBY\tWHY")
		for _, row := range rows {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", row.No, row.Change, row.Object, row.By, row.Reason)
		}
	})
	return nil
}

type memberAdd struct {
	ID   string `arg:"" help:"The member's id."`
	Zone string `required:"" help:"The member's zone."`
	Addr string `required:"" help:"The member's address; of a scheduler, its management address (setting mgmt)."`
	Kind string `default:"scheduler" enum:"scheduler,agent" help:"What the member is: scheduler or agent."`
}

func (c *memberAdd) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Verb: "member", Member: &fleet.Member{ID: c.ID, Kind: c.Kind, Zone: c.Zone, Addr: c.Addr}})
}

type memberRemove struct {
	ID     string `arg:"" help:"The member's id."`
	Reason string `name:"why" help:"Reason, for the audit log; a scheduler that is removed counts as known to be gone."`
	Force  bool   `help:"Remove it even if it is out of service for an operation."`
}

func (c *memberRemove) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Verb: "unmember", ID: c.ID, Reason: c.Reason, Force: c.Force})
}

// recordCommand puts a command on record and prints its number there, without waiting for members to follow it.
func (g *globalFlags) recordCommand(ctx context.Context, command fleet.Command) error {
	if g.DryRun {
		fmt.Println("would be put on record:", command.Verb, command.ID)
		return nil
	}
	answer, err := g.sendCommand(ctx, command)
	if err == nil {
		fmt.Println("on record as", answer.No)
	}
	return err
}

type memberReplace struct {
	OldVoter uint64 `arg:"" name:"old" help:"Number of the voter that is gone for good."`
	NewVoter uint64 `arg:"" name:"new" help:"Number of the new voter, which no voter had before."`
	Addr     string `required:"" help:"Listen address of the new voter, which is started with joins = true."`
}

// Run asks the agents in turn until one accepts the change of voters, and waits until the record shows it.
func (c *memberReplace) Run(g *globalFlags, ctx context.Context) error {
	if g.DryRun {
		fmt.Printf("voter %d would be removed, and voter %d at %s added\n", c.OldVoter, c.NewVoter, c.Addr)
		return nil
	}
	body, _ := json.Marshal(map[string]any{"add": c.NewVoter, "addr": c.Addr, "remove": c.OldVoter})
	var lastErr error
	for _, addr := range g.Agents {
		request, _ := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/v1/voters", strings.NewReader(string(body)))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			lastErr = err
			continue
		}
		var refusal agent.Refusal
		_ = json.NewDecoder(response.Body).Decode(&refusal)
		response.Body.Close()
		if response.StatusCode != 200 {
			lastErr = errors.New(refusal.Reason)
			continue
		}
		for ctx.Err() == nil {
			if record, err := g.readRecord(ctx); err == nil && record.Voters[c.NewVoter] == c.Addr && record.Voters[c.OldVoter] == "" {
				fmt.Printf("voter %d at %s is in, %d is out\n", c.NewVoter, c.Addr, c.OldVoter)
				return nil
			}
			time.Sleep(pollInterval)
		}
		return exitError{exitUnknown, fmt.Sprintf("%s accepted the change of voters; it is not on record within --timeout (%v)", addr, g.Timeout)}
	}
	return exitError{exitFailed, fmt.Sprint("refused: ", lastErr)}
}

type checkCmd struct {
	Path string `arg:"" help:"An agent configuration, a limits file or an operation file."`
}

// Run tells from a file's top-level keys whether it holds limits, an operation or else an agent configuration, and checks
// it as such.
func (c *checkCmd) Run() error {
	raw, err := os.ReadFile(c.Path)
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	var keys map[string]any
	_ = toml.Unmarshal(raw, &keys) // the checks below report a syntax error
	switch {
	case keys["limit"] != nil:
		limits, err := readLimits(c.Path)
		if err == nil {
			fmt.Printf("%s: ok, limits=%d\n", c.Path, len(limits))
		}
		return err
	case keys["members"] != nil || keys["select"] != nil || keys["kind"] != nil:
		operation := &operationFile{}
		if err := operation.load(c.Path); err != nil {
			return err
		}
		fmt.Printf("%s: ok, kind=%s\n", c.Path, operation.Kind)
		return nil
	}
	config, err := agent.Load(c.Path)
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	fmt.Printf("%s: ok, name=%s voters=%d schedulers=%d workers=%d\n", c.Path, config.Name, len(config.Voters), len(config.Schedulers), len(config.Workers))
	return nil
}

// commandLine is everything that beamctl accepts. kong derives commands and flags from the field names and tags.
type commandLine struct {
	globalFlags
	Status statusCmd `cmd:"" help:"Show what needs attention, then each agent with what it owns and runs."`
	Worker struct {
		Down workerDown `cmd:"" help:"Take a worker out of service at every scheduler."`
		Up   workerUp   `cmd:"" help:"Return a worker to service at every scheduler."`
		List workerList `cmd:"" help:"List the workers that were ever taken out, and whether they are out now."`
	} `cmd:"" help:"Workers."`
	Owner struct {
		List ownerList `cmd:"" help:"List the agent that owns each zone and operation."`
		Move ownerMove `cmd:"" help:"Have a zone or operation handed over to another agent."`
	} `cmd:"" help:"Owners of zones and operations."`
	Events eventsCmd `cmd:"" help:"Show the newest entries of the audit log."`
	Member struct {
		Add     memberAdd     `cmd:"" help:"Add a scheduler or an agent to the fleet record."`
		Remove  memberRemove  `cmd:"" help:"Remove a member from the fleet record."`
		Replace memberReplace `cmd:"" help:"Replace a voter that is gone for good."`
	} `cmd:"" help:"Members and voters."`
	Plan    planCmd `cmd:"" help:"Show what an operation file would do, and what prevents it from beginning now."`
	Release struct {
		Start  releaseStart  `cmd:"" help:"Begin the operation that a file describes."`
		Status releaseStatus `cmd:"" help:"Show how far an operation is."`
		Halt   releaseHalt   `cmd:"" help:"Halt an operation: it takes no further members out."`
		Resume releaseResume `cmd:"" help:"Lift the halt of an operation."`
		Back   releaseBack   `cmd:"" help:"Roll an operation back to what ran before."`
		Close  releaseClose  `cmd:"" help:"Close an operation for good: what ran before is no longer kept for a rollback."`
		List   releaseList   `cmd:"" help:"List all operations."`
	} `cmd:"" help:"Releases and other operations."`
	Drain    drainCmd    `cmd:"" help:"Take schedulers or workers out of service, within the limits."`
	Undrain  undrainCmd  `cmd:"" help:"Return drained members to service."`
	Restart  restartCmd  `cmd:"" help:"Restart schedulers, or run the site's own command for workers, within the limits."`
	Maintain maintainCmd `cmd:"" help:"Take members out, wait for --pause, restart them (workers: the site's own command), and return them to service once warm."`
	Halt     haltCmd     `cmd:"" help:"Halt one operation, a zone or everything: no further members are taken out."`
	Lift     liftCmd     `cmd:"" help:"Lift a halt."`
	Limits   struct {
		Show limitsShow `cmd:"" default:"1" help:"Show the limits in force."`
		Set  limitsSet  `cmd:"" help:"Replace the limits in force by those of a file."`
	} `cmd:"" help:"How many members may be out of service together."`
	Why   whyCmd   `cmd:"" help:"Show why a member may not be taken out now."`
	Check checkCmd `cmd:"" help:"Check a file: an agent configuration, limits or an operation."`
}

func main() {
	var cli commandLine
	parsed := kong.Parse(&cli, kong.Name("beamctl"), kong.Description("Command-line client of the fleet's agents."))
	ctx, cancel := context.WithTimeout(context.Background(), cli.Timeout)
	defer cancel()
	parsed.BindTo(ctx, (*context.Context)(nil))
	err := parsed.Run(&cli.globalFlags)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		fmt.Fprintln(os.Stderr, "beamctl:", exitErr.message)
		os.Exit(exitErr.code)
	}
	parsed.FatalIfErrorf(err)
}
