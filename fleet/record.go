// Package fleet decides for the fleet as a whole: what is on record, who acts for all, and what is still to be told to
// whom. It has no I/O, no clock and no goroutine: its host tells it what happened and when, then pulls decisions. The
// record is kept by package quorum; agents act on it.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Form is the newest form of commands and snapshots that this program reads. One that meets a newer form stays as it
// is: passed over, a command would make two records of one. A command names the form that first had it, so programs of both
// forms keep one record until the first command of the newer one.
const Form = 2

// FormOf is the form that first had a command.
func FormOf(command *Command) int {
	if command.Op != nil || command.Seen != nil || command.Limits != nil || command.Member != nil && (command.Member.Kind == "worker" || command.Member.Agent+command.Member.Labels != "") ||
		slices.Contains([]string{"limits", "begin", "step", "wave", "turn", "halt", "lift", "close"}, command.Do) {
		return 2
	}
	return 1
}

// Bounds of the record: a caller that sends without end must not fill every voter's memory.
const (
	maxAuditEntries = 1000  // of the audit
	maxSessions     = 4096  // a command sent again after as many other callers is not known any more
	maxMembers      = 10000 // schedulers and agents
	maxWorkers      = 50000
	maxLeases       = 1000
	maxNameBytes    = 200 // bytes of an id, a zone, a name
	maxReasonBytes  = 500
)

// Member is a scheduler, an agent or a worker of the fleet.
type Member struct {
	ID       string  `json:"id"`
	Kind     string  `json:"kind"` // scheduler, agent or worker
	Zone     string  `json:"zone"`
	Addr     string  `json:"addr"`               // of a scheduler its second address, of an agent its own; of a worker what staff call it by
	Agent    string  `json:"agent,omitempty"`    // who runs its processes, or the site's own command for it
	Labels   string  `json:"labels,omitempty"`   // key=value,key=value
	Capacity float64 `json:"capacity,omitempty"` // of a worker, in any unit that all share
}

// Matter is what one owner at a time does for all.
type Lease struct {
	Owner   string  `json:"owner,omitempty"` // an agent's id and which start of it, "" for none
	Fence   uint64  `json:"fence"`           // rises at each change of owner and never comes again
	TermMs  float64 `json:"term"`            // ms that a claim or renewal holds
	Renewed uint64  `json:"renewed"`         // the command that last claimed or renewed it
	Wanted  string  `json:"wanted,omitempty"`
}

// Intent is what the fleet means to do with a worker.
type Intent struct {
	Zone  string `json:"zone"`
	Out   bool   `json:"out"`
	Since uint64 `json:"since"` // the command that last changed it
	By    string `json:"by"`
	Why   string `json:"why,omitempty"`
}

// Row is a change, as the audit keeps it.
type AuditEntry struct {
	No   uint64 `json:"no"`
	What string `json:"what"`
	Of   string `json:"of"`
	By   string `json:"by"`
	Why  string `json:"why,omitempty"`
}

// Answer is what came of a command.
type Answer struct {
	No    uint64 `json:"no"`   // of the command, in the record's order
	Done  bool   `json:"done"` // else it was refused, and changed nothing
	Why   string `json:"why,omitempty"`
	Fence uint64 `json:"fence,omitempty"`
}

type session struct {
	Last   uint64 `json:"last"` // the caller's own number
	Answer Answer `json:"answer"`
	At     uint64 `json:"at"`
}

// Command is one change that is asked for. Caller and Number make it the same one when it is sent again.
type Command struct {
	V       int     `json:"v"`
	Caller  string  `json:"caller"`
	Number  uint64  `json:"number"`
	Do      string  `json:"do"` // a key of verbs
	By      string  `json:"by,omitempty"`
	Why     string  `json:"why,omitempty"`
	Member  *Member `json:"member,omitempty"`
	ID      string  `json:"id,omitempty"` // of a member or a worker
	Zone    string  `json:"zone,omitempty"`
	Matter  string  `json:"matter,omitempty"`
	Owner   string  `json:"owner,omitempty"`
	Fence   uint64  `json:"fence,omitempty"`
	Renewed uint64  `json:"renewed,omitempty"`
	Term    float64 `json:"term,omitempty"`
	Force   bool    `json:"force,omitempty"`
	// Of form 2.
	Seen       map[string]Seen `json:"seen,omitempty"` // with a renewal
	Op         *Op             `json:"op,omitempty"`
	To         string          `json:"to,omitempty"`
	AgentStart string          `json:"start,omitempty"`
	Then       string          `json:"then,omitempty"`
	Limits     []Limit         `json:"limits,omitempty"`
}

// Record is the fleet's state after the commands so far. Equal commands in equal order give equal bytes.
type Record struct {
	V        int                `json:"v"`
	No       uint64             `json:"no"`        // of the last command
	Voters   map[uint64]string  `json:"voters"`    // who keeps the record, and where
	VotersNo uint64             `json:"voters_no"` // the change that made them so
	VoterMax uint64             `json:"voter_max"` // the highest number that any ever had
	Members  map[string]Member  `json:"members"`
	Matters  map[string]Lease   `json:"matters"`
	Workers  map[string]Intent  `json:"workers"`
	Rows     []AuditEntry       `json:"rows"`
	Sessions map[string]session `json:"sessions"`
	Limits   []Limit            `json:"limits,omitempty"`
	Health   map[string]Seen    `json:"health,omitempty"`
	Permits  map[string]Permit  `json:"permits,omitempty"`
	Ops      map[string]*Op     `json:"ops,omitempty"`
	Halts    map[string]Halt    `json:"halts,omitempty"`
	// Retries counts commands that were sent again and not carried out again.
	Retries uint64 `json:"retries"`
	// Bug is one planted by a test of what finds it, "" in any other use.
	Bug string `json:"-"`
}

// NewRecord is the record before any command.
func NewRecord() *Record {
	return &Record{V: 1, Health: map[string]Seen{}, Permits: map[string]Permit{}, Ops: map[string]*Op{}, Halts: map[string]Halt{}, Voters: map[uint64]string{}, Members: map[string]Member{}, Matters: map[string]Lease{}, Workers: map[string]Intent{},
		Sessions: map[string]session{}}
}

// ErrNewer says that a command or snapshot is of a form that this program does not read. Nothing was changed.
var ErrNewer = errors.New("of a newer form than this program reads")

// verbs has what each command does. It returns why the command is refused, "" where it was carried out, and the fence
// number that the caller is to know.
var commandHandlers = map[string]func(r *Record, no uint64, c *Command) (why string, fence uint64){
	"member": (*Record).putMember, "unmember": (*Record).removeMember,
	"claim": (*Record).claimLease, "renew": (*Record).renewLease, "leave": (*Record).releaseLease, "want": (*Record).requestHandover,
	"out": (*Record).takeWorkerOut, "in": (*Record).putWorkerBack,
	"limits": (*Record).setLimits, "begin": (*Record).beginOperation, "step": (*Record).advanceMember, "wave": (*Record).advanceWave, "turn": (*Record).turnBack,
	"halt": (*Record).addHalt, "lift": (*Record).liftHalt, "close": (*Record).closeOperation,
}

// Check tells what is wrong with a command before it is sent, nil where nothing is.
func (c *Command) Check() error {
	switch {
	case c.V > Form:
		return fmt.Errorf("command of form %d: %w", c.V, ErrNewer)
	case commandHandlers[c.Do] == nil:
		return fmt.Errorf("do: %q is no command", c.Do)
	case c.Caller == "" || c.Number == 0:
		return fmt.Errorf("caller and number are missing")
	case len(c.Why) > maxReasonBytes:
		return fmt.Errorf("why: longer than %d bytes", maxReasonBytes)
	}
	names := []string{c.Caller, c.By, c.ID, c.Zone, c.Matter, c.Owner, c.AgentStart, c.To, c.Then}
	if c.Member != nil {
		names = append(names, c.Member.ID, c.Member.Kind, c.Member.Zone, c.Member.Addr, c.Member.Agent, c.Member.Labels)
	}
	if c.Op != nil {
		version := c.Op.Version
		if len(version.Program)+len(version.Config)+len(version.Digest)+len(version.Name) > maxVersionBytes {
			return fmt.Errorf("version: longer than %d bytes", maxVersionBytes)
		}
	}
	if slices.ContainsFunc(names, func(s string) bool { return len(s) > maxNameBytes }) {
		return fmt.Errorf("a name is longer than %d bytes", maxNameBytes)
	}
	return nil
}

// Apply carries out the command with this number. Only ErrNewer is an error: then nothing was applied, nor may anything
// that follows. What can't be read at all is refused by every voter alike.
func (r *Record) Apply(no uint64, raw []byte) (Answer, error) {
	var command Command
	err := json.Unmarshal(raw, &command)
	if command.V > Form || r.Bug == "form-1" && command.V > 1 { // the second is an older program, as a test plays it
		return Answer{}, fmt.Errorf("command %d of form %d: %w", no, command.V, ErrNewer)
	}
	r.No = no
	if err == nil {
		err = command.Check()
	}
	if err != nil {
		return Answer{No: no, Why: err.Error()}, nil
	}
	if last, ok := r.Sessions[command.Caller]; ok && command.Number <= last.Last && r.Bug != "retry-twice" {
		r.Retries++
		if command.Number < last.Last {
			return Answer{No: no, Why: "an older command than the last one of this caller"}, nil
		}
		return last.Answer, nil
	}
	r.V = max(r.V, FormOf(&command))
	why, fence := commandHandlers[command.Do](r, no, &command)
	answer := Answer{No: no, Done: why == "", Why: why, Fence: fence}
	r.storeSession(command.Caller, session{command.Number, answer, no})
	return answer, nil
}

// remember keeps a caller's last answer. Of too many callers the one that was silent for longest goes.
func (r *Record) storeSession(caller string, latest session) {
	if _, ok := r.Sessions[caller]; !ok && len(r.Sessions) >= maxSessions {
		oldest, oldestNo := "", uint64(0)
		for name, other := range r.Sessions { // the least of all is the same one in any order
			if oldest == "" || other.At < oldestNo {
				oldest, oldestNo = name, other.At
			}
		}
		delete(r.Sessions, oldest)
	}
	r.Sessions[caller] = latest
}

func (r *Record) appendAudit(no uint64, what, of string, c *Command) {
	r.Rows = append(r.Rows, AuditEntry{no, what, of, c.By, c.Why})
	r.Rows = r.Rows[max(0, len(r.Rows)-maxAuditEntries):]
}

func (r *Record) putMember(no uint64, c *Command) (string, uint64) {
	member := c.Member
	if member == nil || member.ID == "" || member.Zone == "" || member.Addr == "" || !slices.Contains([]string{"scheduler", "agent", "worker"}, member.Kind) {
		return "a member has an id, a kind (scheduler, agent or worker), a zone and an address", 0
	}
	for id, other := range r.Members {
		// Counted under two names it would be told twice, and be two of those that may be out.
		if other.Addr == member.Addr && id != member.ID {
			return "another member has this address", 0
		}
	}
	former, known := r.Members[member.ID]
	switch {
	case former == *member:
		return "", 0
	case known && !c.Force:
		return "there is a member of this id", 0
	case known && former.Agent != "" && former.Agent != member.Agent && r.Members[former.Agent].ID != "":
		// A name that was started twice: taken by turns, nobody would know which is meant.
		return "it is " + former.Agent + "'s", 0
	case len(r.Members) >= maxMembers:
		return "the record holds no more members", 0
	}
	if known && former.Kind != member.Kind {
		return "there is a member of this id and another kind", 0
	}
	r.Members[member.ID] = *member
	r.appendAudit(no, "member", member.ID, c)
	return "", 0
}

func (r *Record) removeMember(no uint64, c *Command) (string, uint64) {
	if _, ok := r.Members[c.ID]; !ok {
		return "no such member", 0
	}
	if permit, ok := r.Permits[c.ID]; ok && !c.Force {
		return "it is out for " + permit.Op + ": one that is gone for good is removed by force", 0
	}
	delete(r.Members, c.ID)
	delete(r.Health, c.ID)
	delete(r.Permits, c.ID) // a person says that it does not count any more
	r.appendAudit(no, "unmember", c.ID, c)
	return "", 0
}

// claim gives a matter to a new owner, where nothing has happened to it since the claimant looked. Whether the term of
// an owner that is still named is over only the leader's clock can tell: see Keeper.
func (r *Record) claimLease(no uint64, c *Command) (string, uint64) {
	lease, known := r.Matters[c.Matter]
	switch {
	case c.Matter == "" || c.Owner == "" || c.Term <= 0:
		return "a claim names a matter, an owner and a term", 0
	case lease.Fence != c.Fence || lease.Renewed != c.Renewed:
		return "the matter has changed", lease.Fence
	case !known && len(r.Matters) >= maxLeases:
		return "the record holds no more matters", 0
	}
	if r.Bug == "permit-dies" {
		maps.DeleteFunc(r.Permits, func(_ string, permit Permit) bool { return OpOf(permit.Op) == c.Matter && known })
	}
	lease.Owner, lease.Fence, lease.TermMs, lease.Renewed = c.Owner, lease.Fence+1, c.Term, no
	if lease.Wanted == AgentOf(c.Owner) {
		lease.Wanted = ""
	}
	r.Matters[c.Matter] = lease
	r.appendAudit(no, "owner", c.Matter+" "+c.Owner, c)
	return "", lease.Fence
}

func (r *Record) renewLease(no uint64, c *Command) (string, uint64) {
	lease := r.Matters[c.Matter]
	if c.Owner == "" || lease.Owner != c.Owner || lease.Fence != c.Fence {
		return "another owner has it", lease.Fence
	}
	lease.Renewed = no
	r.Matters[c.Matter] = lease
	if zone, ok := strings.CutPrefix(c.Matter, "zone/"); ok {
		r.recordHealth(zone, c.Seen)
	}
	return "", lease.Fence
}

func (r *Record) releaseLease(no uint64, c *Command) (string, uint64) {
	lease := r.Matters[c.Matter]
	if c.Owner == "" || lease.Owner != c.Owner || lease.Fence != c.Fence {
		return "another owner has it", lease.Fence
	}
	lease.Owner, lease.Renewed = "", no
	r.Matters[c.Matter] = lease
	r.appendAudit(no, "left", c.Matter+" "+c.Owner, c)
	return "", lease.Fence
}

// want asks an owner to pass a matter on. Its owner does so itself: taken from it, it would act on meanwhile.
func (r *Record) requestHandover(no uint64, c *Command) (string, uint64) {
	lease, known := r.Matters[c.Matter]
	switch agent := r.Members[c.Owner]; {
	case !known:
		return "no such matter", 0
	case agent.Kind != "agent":
		return "no such agent", lease.Fence
	case AgentOf(lease.Owner) == c.Owner:
		return "", lease.Fence
	}
	lease.Wanted = c.Owner
	r.Matters[c.Matter] = lease
	r.appendAudit(no, "wanted", c.Matter+" "+c.Owner, c)
	return "", lease.Fence
}

func (r *Record) takeWorkerOut(no uint64, c *Command) (string, uint64) {
	intent, known := r.Workers[c.ID]
	switch {
	case c.ID == "" || c.Zone == "" && !known || c.By == "":
		return "taking a worker out names it, its zone and who does", 0
	case !known && len(r.Workers) >= maxWorkers:
		return "the record holds no more workers", 0
	case known && c.Zone != "" && c.Zone != intent.Zone && intent.Out:
		return "it is out, in zone " + intent.Zone, 0
	case intent.Out:
		return "", 0
	case r.Members[c.ID].Kind == "worker" && !c.Force:
		// A person's own 'down' uses up the same room. One who must, as where a worker does harm, says so.
		if why := r.limitRefusal(c.ID, nil); why != "" {
			return why, 0
		}
	}
	if c.Zone != "" {
		intent.Zone = c.Zone
	}
	r.Workers[c.ID] = Intent{Zone: intent.Zone, Out: true, Since: no, By: c.By, Why: c.Why}
	r.appendAudit(no, "out", c.ID, c)
	return "", 0
}

// in puts a worker back. What one person took out another does not put back by mistake.
func (r *Record) putWorkerBack(no uint64, c *Command) (string, uint64) {
	intent, known := r.Workers[c.ID]
	switch {
	case !known:
		return "this worker was never out", 0
	case !intent.Out:
		return "", 0
	case intent.By != c.By && !c.Force:
		return "it was taken out by " + intent.By, 0
	case r.Permits[c.ID].Op != "":
		return "it is out for " + r.Permits[c.ID].Op, 0
	}
	intent.Out, intent.Since, intent.By, intent.Why = false, no, c.By, c.Why
	r.Workers[c.ID] = intent
	r.appendAudit(no, "in", c.ID, c)
	return "", 0
}

// SetVoter takes a change of who keeps the record.
func (r *Record) SetVoter(no, add uint64, addr string, remove uint64) {
	r.No, r.VotersNo = no, no
	if remove != 0 {
		delete(r.Voters, remove)
		r.appendAudit(no, "voter", fmt.Sprintf("-%d", remove), &Command{})
	}
	if add != 0 {
		r.Voters[add], r.VoterMax = addr, max(r.VoterMax, add)
		r.appendAudit(no, "voter", fmt.Sprintf("+%d %s", add, addr), &Command{})
	}
}

// Snapshot is the record as bytes: the same ones for equal records.
func (r *Record) Snapshot() []byte {
	raw, err := json.Marshal(r) // maps in the order of their keys
	if err != nil {
		panic(err) // strings and numbers alone: there is nothing in it that can't be written
	}
	return raw
}

// Clone is a copy that does not change with the record.
func (r *Record) Clone() *Record {
	copied := *r
	copied.Voters, copied.Members, copied.Matters, copied.Workers = maps.Clone(r.Voters), maps.Clone(r.Members), maps.Clone(r.Matters), maps.Clone(r.Workers)
	copied.Health, copied.Permits, copied.Halts, copied.Sessions = maps.Clone(r.Health), maps.Clone(r.Permits), maps.Clone(r.Halts), maps.Clone(r.Sessions)
	copied.Rows, copied.Ops = slices.Clone(r.Rows), make(map[string]*Op, len(r.Ops))
	for id, op := range r.Ops {
		opCopy := *op
		opCopy.Steps = maps.Clone(op.Steps)
		copied.Ops[id] = &opCopy
	}
	return &copied
}

// Lean is a snapshot for those who act on the record and don't keep it: every agent is sent it at each change, and a renewal
// would else carry thousands of sessions and the whole audit.
func (r *Record) Lean() []byte {
	lean := *r
	lean.Sessions, lean.Rows = nil, nil
	return lean.Snapshot()
}

// Restore reads a snapshot. Where that fails the record is as it was.
func (r *Record) Restore(raw []byte) error {
	restored := NewRecord()
	if err := json.Unmarshal(raw, restored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if restored.V > Form {
		return fmt.Errorf("snapshot of form %d: %w", restored.V, ErrNewer)
	}
	restored.Bug = r.Bug
	*r = *restored
	return nil
}

// OutIn lists the workers that are out, of one zone or of all ("").
func (r *Record) OutIn(zone string) (ids []string) {
	for id, intent := range r.Workers {
		if intent.Out && (zone == "" || intent.Zone == zone) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Of lists the members of a kind, by id.
func (r *Record) Of(kind string) (all []Member) {
	for _, m := range r.Members {
		if m.Kind == kind {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b Member) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return all
}

// OwnerOf names one start of an agent: one that was started again knows nothing of what it held, and is another owner.
func OwnerOf(agent, start string) string { return agent + "#" + start }

// AgentOf is the agent of an owner.
func AgentOf(owner string) string {
	agent, _, _ := strings.Cut(owner, "#")
	return agent
}

// MatterOf names the matter of a zone's workers.
func MatterOf(zone string) string { return "zone/" + zone }
