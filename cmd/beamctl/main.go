// Command beamctl asks the fleet's agents: who is there, who owns what, who is out; and takes workers out and back at
// every scheduler. Each command ends with a table of who obeyed, refused and why, was not reached, is unknown.
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

// Exit codes, beside 0 where all obeyed: some did, none did or it was refused, nobody could say.
const (
	exitPartial = 1
	exitFailed  = 2
	exitUnknown = 3
)

// exitError ends the program with a code, after its output.
type exitError struct {
	code    int
	message string
}

func (e exitError) Error() string { return e.message }

type globalFlags struct {
	Agents            []string      `name:"agent" env:"BEAM_AGENT" default:"127.0.0.1:7001" placeholder:"ADDR" help:"Agents to ask, tried in turn."`
	Timeout           time.Duration `default:"10s" help:"How long to wait for all to obey."`
	JSON              bool          `help:"Write JSON to standard output."`
	DryRun            bool          `help:"Say what would be done, and change nothing."`
	Requester         string        `name:"by" env:"BEAM_BY" placeholder:"NAME" help:"Who asks; by default the user's name."`
	callerID          string
	lastCommandNumber uint64
}

func (g *globalFlags) newCaller(most time.Duration) *agent.Caller {
	return &agent.Caller{HTTP: agent.NewHTTP(nil, most), Addrs: g.Agents}
}

func (g *globalFlags) requesterName() string {
	if g.Requester != "" {
		return g.Requester
	}
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "somebody"
}

func (g *globalFlags) readRecord(ctx context.Context) (*fleet.Record, error) {
	var raw json.RawMessage
	if err := g.newCaller(2*time.Second).Get(ctx, "/v1/read", &raw); err != nil {
		return nil, exitError{exitUnknown, "the record can't be read: " + err.Error()}
	}
	r := fleet.NewRecord()
	return r, r.Restore(raw)
}

// sendCommand sends a command, the same one again where nobody says what came of it.
func (g *globalFlags) sendCommand(ctx context.Context, c fleet.Command) (fleet.Answer, error) {
	if g.callerID == "" {
		g.callerID = "beamctl/" + strconv.FormatUint(rand.Uint64(), 36)
	}
	g.lastCommandNumber++
	c.V, c.Caller, c.Number, c.By = fleet.FormOf(&c), g.callerID, g.lastCommandNumber, g.requesterName()
	if err := c.Check(); err != nil {
		return fleet.Answer{}, exitError{exitFailed, err.Error()}
	}
	a, err := g.newCaller(4*time.Second).Do(ctx, c)
	switch {
	case errors.Is(err, agent.ErrOpen):
		return a, exitError{exitUnknown, err.Error()}
	case err != nil:
		return a, exitError{exitFailed, "refused: " + err.Error()}
	case !a.Done:
		return a, exitError{exitFailed, "refused: " + a.Why}
	}
	return a, nil
}

func (g *globalFlags) printResult(x any, table func(w *tabwriter.Writer)) {
	if g.JSON {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", " ")
		_ = e.Encode(x)
		return
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	table(w)
	w.Flush()
}

type statusCmd struct {
	Watch bool `help:"Again each second, until Ctrl-C or --timeout."`
}

// Run shows what needs a person, then each agent as it answers itself.
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
		case <-time.After(time.Second):
		}
	}
	if c.Watch {
		return nil
	}
	return c.printOnce(g, ctx)
}

func (*statusCmd) printOnce(g *globalFlags, ctx context.Context) error {
	type row struct {
		agent.Status
		Addr string `json:"addr"`
		Err  string `json:"err,omitempty"`
	}
	rec, err := g.readRecord(ctx)
	addrs := map[string]string{}
	if err == nil {
		for _, m := range rec.Of("agent") {
			addrs[m.ID] = m.Addr
		}
	} else {
		for _, a := range g.Agents {
			addrs[a] = a
		}
	}
	var rows []row
	reached := 0
	for _, id := range slices.Sorted(maps.Keys(addrs)) {
		r := row{Addr: addrs[id]}
		c := &agent.Caller{HTTP: agent.NewHTTP(nil, time.Second), Addrs: []string{r.Addr}}
		if e := c.Get(ctx, "/v1/status", &r.Status); e != nil {
			r.Name, r.Err = id, "not reached"
		} else {
			reached++
		}
		rows = append(rows, r)
	}
	g.printResult(rows, func(w *tabwriter.Writer) {
		if err == nil {
			for _, text := range attentionLines(rec) {
				fmt.Fprintln(w, text)
			}
		}
		fmt.Fprintln(w, "AGENT\tZONE\tADDR\tVOTER\tRECORD\tOWNS")
		for _, r := range rows {
			voter := "-"
			switch {
			case r.Voter != 0 && r.Leads:
				voter = fmt.Sprint(r.Voter, " leads")
			case r.Behind:
				voter = fmt.Sprint(r.Voter, " REPLACE: its disk lacks what it acknowledged")
			case r.Voter != 0 && !r.Counts:
				voter = fmt.Sprint(r.Voter, " waits")
			case r.Voter != 0:
				voter = fmt.Sprint(r.Voter)
			}
			owns := strings.Join(slices.Sorted(maps.Keys(r.Holds)), " ")
			if r.Err != "" {
				owns = r.Err
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\n", r.Name, r.Zone, r.Addr, voter, r.No, owns)
			for _, x := range r.Runs {
				if !x.Run && x.State == "done" {
					x.State = "stopped"
				}
				fmt.Fprintf(w, "  %s\t%s\t%s\t%v\t%.12s\t%s\n", x.ID, x.State, x.Addr, x.Pids, x.Program, x.Why)
			}
			for _, h := range r.Halts {
				fmt.Fprintf(w, "  halted here: %s by %s: %s\n", h.Of, h.By, h.Why)
			}
		}
	})
	switch {
	case err != nil:
		return err
	case reached == len(rows):
		return nil
	case reached > 0:
		return exitError{exitPartial, fmt.Sprintf("%d of %d agents answer", reached, len(rows))}
	}
	return exitError{exitUnknown, "no agent answers"}
}

type workerDown struct {
	ID     string `arg:"" help:"The worker."`
	Zone   string `help:"Its zone, where it is not on record yet."`
	Reason string `name:"why" help:"For the audit."`
	Force  bool   `help:"Also where the limits have no room."`
}

type workerUp struct {
	ID     string `arg:"" help:"The worker."`
	Reason string `name:"why" help:"For the audit."`
	Force  bool   `help:"Also where another person took it out."`
}

func (c *workerDown) Run(g *globalFlags, ctx context.Context) error {
	return g.setWorkerIntent(ctx, fleet.Command{Do: "out", ID: c.ID, Zone: c.Zone, Why: c.Reason, Force: c.Force})
}

func (c *workerUp) Run(g *globalFlags, ctx context.Context) error {
	return g.setWorkerIntent(ctx, fleet.Command{Do: "in", ID: c.ID, Why: c.Reason, Force: c.Force})
}

// setWorkerIntent puts an intent on record and waits until every scheduler has said yes to it.
func (g *globalFlags) setWorkerIntent(ctx context.Context, c fleet.Command) error {
	if g.DryRun {
		r, err := g.readRecord(ctx)
		if err != nil {
			return err
		}
		g.printResult(r.Of("scheduler"), func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "worker %s: %s, now out: %t. These would be told:\n", c.ID, c.Do, r.Workers[c.ID].Out)
			for _, m := range r.Of("scheduler") {
				fmt.Fprintf(w, "%s\t%s\n", m.ID, m.Zone)
			}
		})
		return nil
	}
	a, err := g.sendCommand(ctx, c)
	if err != nil {
		return err
	}
	var t agent.Told
	obeyed := 0
	for {
		err = g.newCaller(2*time.Second).Get(ctx, "/v1/told?worker="+url.QueryEscape(c.ID), &t)
		obeyed = 0
		for _, r := range t.Rows {
			if r.State == fleet.Obeyed {
				obeyed++
			}
		}
		if err == nil && t.Intent.Out == (c.Do == "out") && obeyed == len(t.Rows) {
			break
		}
		select {
		case <-ctx.Done():
			if err != nil || t.Intent.Out != (c.Do == "out") {
				return exitError{exitUnknown, fmt.Sprintf("on record as %d; who obeys is not known: %v", a.No, err)}
			}
		case <-time.After(100 * time.Millisecond):
			continue
		}
		break
	}
	g.printResult(t, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "SCHEDULER\tSTATE\tWHY")
		for _, r := range t.Rows {
			fmt.Fprintf(w, "%s\t%s\t%s\n", r.ID, r.State, r.Why)
		}
		fmt.Fprintf(w, "%d of %d obeyed; told by %s as %s number %d\n", obeyed, len(t.Rows), fleet.AgentOf(t.Owner), t.Matter, t.Fence)
	})
	switch {
	case obeyed == len(t.Rows):
		return nil
	case obeyed > 0:
		return exitError{exitPartial, "on record; the others are told until they obey"}
	}
	return exitError{exitFailed, "on record; nobody has obeyed yet"}
}

type workerList struct {
	OutOnly bool `name:"out" help:"Those alone that are out."`
}

func (c *workerList) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(r.Workers, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "WORKER\tZONE\tSTATE\tSINCE\tBY\tWHY")
		for _, id := range slices.Sorted(maps.Keys(r.Workers)) {
			i, state := r.Workers[id], "in use"
			if i.Out {
				state = "out"
			} else if c.OutOnly {
				continue
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%s\n", id, i.Zone, state, i.Since, i.By, i.Why)
		}
	})
	return nil
}

type ownerList struct{}

func (ownerList) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	g.printResult(r.Matters, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "MATTER\tOWNER\tNUMBER\tWANTED BY")
		for _, name := range slices.Sorted(maps.Keys(r.Matters)) {
			m := r.Matters[name]
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", name, m.Owner, m.Fence, m.Wanted)
		}
	})
	return nil
}

type ownerMove struct {
	Matter   string `arg:"" help:"As zone/a."`
	NewOwner string `arg:"" name:"to" help:"The agent that is to have it."`
	Reason   string `name:"why" help:"For the audit."`
}

func (c *ownerMove) Run(g *globalFlags, ctx context.Context) error {
	if g.DryRun {
		fmt.Printf("%s would be asked to pass to %s\n", c.Matter, c.NewOwner)
		return nil
	}
	if _, err := g.sendCommand(ctx, fleet.Command{Do: "want", Matter: c.Matter, Owner: c.NewOwner, Why: c.Reason}); err != nil {
		return err
	}
	for {
		if r, err := g.readRecord(ctx); err == nil && fleet.AgentOf(r.Matters[c.Matter].Owner) == c.NewOwner {
			fmt.Printf("%s is %s's, number %d\n", c.Matter, c.NewOwner, r.Matters[c.Matter].Fence)
			return nil
		}
		select {
		case <-ctx.Done():
			return exitError{exitPartial, "on record; its owner has not passed it on yet"}
		case <-time.After(100 * time.Millisecond):
		}
	}
}

type eventsCmd struct {
	Count int `name:"last" default:"20" help:"How many."`
}

func (c *eventsCmd) Run(g *globalFlags, ctx context.Context) error {
	r, err := g.readRecord(ctx)
	if err != nil {
		return err
	}
	rows := r.Rows[max(0, len(r.Rows)-c.Count):]
	g.printResult(rows, func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "NO\tWHAT\tOF\tBY\tWHY")
		for _, e := range rows {
			fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.No, e.What, e.Of, e.By, e.Why)
		}
	})
	return nil
}

type memberAdd struct {
	ID   string `arg:""`
	Zone string `required:""`
	Addr string `required:"" help:"Of a scheduler its second address."`
	Kind string `default:"scheduler" enum:"scheduler,agent"`
}

func (c *memberAdd) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Do: "member", Member: &fleet.Member{ID: c.ID, Kind: c.Kind, Zone: c.Zone, Addr: c.Addr}})
}

type memberRemove struct {
	ID     string `arg:""`
	Reason string `name:"why" help:"For the audit: a scheduler that is removed counts as known to be gone."`
	Force  bool   `help:"Also where it is out for an operation."`
}

func (c *memberRemove) Run(g *globalFlags, ctx context.Context) error {
	return g.recordCommand(ctx, fleet.Command{Do: "unmember", ID: c.ID, Why: c.Reason, Force: c.Force})
}

func (g *globalFlags) recordCommand(ctx context.Context, c fleet.Command) error {
	if g.DryRun {
		fmt.Println("would be put on record:", c.Do, c.ID)
		return nil
	}
	a, err := g.sendCommand(ctx, c)
	if err == nil {
		fmt.Println("on record as", a.No)
	}
	return err
}

type memberReplace struct {
	OldVoter uint64 `arg:"" name:"old" help:"The number of the voter that is gone for good."`
	NewVoter uint64 `arg:"" name:"new" help:"A number that no voter ever had."`
	Addr     string `required:"" help:"Where the new one listens; it is started with joins = true."`
}

func (c *memberReplace) Run(g *globalFlags, ctx context.Context) error {
	if g.DryRun {
		fmt.Printf("voter %d would go, and %d at %s come\n", c.OldVoter, c.NewVoter, c.Addr)
		return nil
	}
	raw, _ := json.Marshal(map[string]any{"add": c.NewVoter, "addr": c.Addr, "remove": c.OldVoter})
	var last error
	for _, a := range g.Agents {
		q, _ := http.NewRequestWithContext(ctx, "POST", "http://"+a+"/v1/voters", strings.NewReader(string(raw)))
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			last = err
			continue
		}
		var no agent.Refusal
		_ = json.NewDecoder(r.Body).Decode(&no)
		r.Body.Close()
		if r.StatusCode != 200 {
			last = errors.New(no.Why)
			continue
		}
		for ctx.Err() == nil {
			if rec, err := g.readRecord(ctx); err == nil && rec.Voters[c.NewVoter] == c.Addr && rec.Voters[c.OldVoter] == "" {
				fmt.Printf("voter %d at %s is in, %d is out\n", c.NewVoter, c.Addr, c.OldVoter)
				return nil
			}
			time.Sleep(100 * time.Millisecond)
		}
		return exitError{exitUnknown, "asked for; not on record in time"}
	}
	return exitError{exitFailed, fmt.Sprint("refused: ", last)}
}

type checkCmd struct {
	Path string `arg:"" help:"An agent's configuration, limits, or an operation's file."`
}

// Run takes a file for what its keys say it is.
func (c *checkCmd) Run() error {
	raw, err := os.ReadFile(c.Path)
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	var keys map[string]any
	_ = toml.Unmarshal(raw, &keys) // what is wrong with it is said below
	switch {
	case keys["limit"] != nil:
		all, err := readLimits(c.Path)
		if err == nil {
			fmt.Printf("%s: ok, limits=%d\n", c.Path, len(all))
		}
		return err
	case keys["members"] != nil || keys["select"] != nil || keys["kind"] != nil:
		f := &operationFile{}
		if err := f.load(c.Path); err != nil {
			return err
		}
		fmt.Printf("%s: ok, kind=%s\n", c.Path, f.Kind)
		return nil
	}
	f, err := agent.Load(c.Path)
	if err != nil {
		return exitError{exitFailed, err.Error()}
	}
	fmt.Printf("%s: ok, name=%s voters=%d schedulers=%d workers=%d\n", c.Path, f.Name, len(f.Voter), len(f.Scheduler), len(f.Worker))
	return nil
}

// commandLine is everything that beamctl accepts. kong derives commands and flags from the field names and tags.
type commandLine struct {
	globalFlags
	Status statusCmd `cmd:"" help:"The agents, and what each owns."`
	Worker struct {
		Down workerDown `cmd:"" help:"Take a worker out at every scheduler."`
		Up   workerUp   `cmd:"" help:"Put it back."`
		List workerList `cmd:"" help:"The workers on record."`
	} `cmd:"" help:"Workers."`
	Owner struct {
		List ownerList `cmd:"" help:"Who acts for which zone."`
		Move ownerMove `cmd:"" help:"Have another agent act for it."`
	} `cmd:"" help:"Who acts for the fleet."`
	Events eventsCmd `cmd:"" help:"The audit's last rows."`
	Member struct {
		Add     memberAdd     `cmd:"" help:"Put a scheduler or an agent on record."`
		Remove  memberRemove  `cmd:"" help:"Take one off."`
		Replace memberReplace `cmd:"" help:"Replace a voter that is gone for good."`
	} `cmd:"" help:"Members and voters."`
	Plan    planCmd `cmd:"" help:"What an operation's file would do, and what would keep it."`
	Release struct {
		Start  releaseStart  `cmd:"" help:"Begin the operation of a file."`
		Status releaseStatus `cmd:"" help:"How far it is."`
		Halt   releaseHalt   `cmd:"" help:"Nothing new goes out for it."`
		Resume releaseResume `cmd:"" help:"Lift its halt."`
		Back   releaseBack   `cmd:"" help:"Go back to what ran before."`
		Close  releaseClose  `cmd:"" help:"End it for good: what ran before is not kept any more."`
		List   releaseList   `cmd:"" help:"All operations."`
	} `cmd:"" help:"Releases and other operations."`
	Drain    drainCmd    `cmd:"" help:"Take schedulers or workers out, within the limits."`
	Undrain  undrainCmd  `cmd:"" help:"Bring back what was drained."`
	Restart  restartCmd  `cmd:"" help:"Restart schedulers, or run workers' own command, within the limits."`
	Maintain maintainCmd `cmd:"" help:"Out, wait, restart, back, warm."`
	Halt     haltCmd     `cmd:"" help:"Nothing new is taken out: of one operation, a zone or all."`
	Lift     liftCmd     `cmd:"" help:"End a halt."`
	Limits   struct {
		Show limitsShow `cmd:"" default:"1" help:"Those in force."`
		Set  limitsSet  `cmd:"" help:"Put others in their place."`
	} `cmd:"" help:"How many may be out together."`
	Why   whyCmd   `cmd:"" help:"Why a member may not go out now."`
	Check checkCmd `cmd:"" help:"Check a file: an agent's configuration, limits, an operation."`
}

func main() {
	var cli commandLine
	k := kong.Parse(&cli, kong.Name("beamctl"), kong.Description("The fleet's command line."))
	ctx, stop := context.WithTimeout(context.Background(), cli.Timeout)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	err := k.Run(&cli.globalFlags)
	var exitErr exitError
	if errors.As(err, &exitErr) {
		fmt.Fprintln(os.Stderr, "beamctl:", exitErr.message)
		os.Exit(exitErr.code)
	}
	k.FatalIfErrorf(err)
}
