// Package fleet holds the replicated state of the fleet (the record) and the decision logic that works on it: which
// members exist, which workers are in service, which agent holds which lease, how far each operation (drain, restart,
// release, ...) is, and which scheduler still has to be told of a change. Package quorum replicates the record; package
// agent carries out the decisions.
//
// The package has no I/O, no clock and no goroutine. Its host reports each event together with the time at which it
// happened, then asks for the next decision. Unless a comment says otherwise, times are float64 milliseconds of the
// host's monotonic clock, and durations are float64 milliseconds.
package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// FormatVersion is the newest format version of commands and snapshots that this program reads. A program that meets a newer
// version stops applying commands: if it skipped one, its record would differ from that of newer programs. Each command
// carries the version that introduced it, so programs of both versions keep equal records until the first command of the
// newer version is committed.
const FormatVersion = 2

// FormatVersionOf returns the format version that introduced the verb and the fields that the command uses.
func FormatVersionOf(command *Command) int {
	if command.Op != nil || command.Health != nil || command.Limits != nil ||
		command.Member != nil && (command.Member.Kind == "worker" || command.Member.Agent+command.Member.Labels != "") ||
		slices.Contains([]string{"limits", "begin", "step", "wave", "turn", "halt", "lift", "close"}, command.Verb) {
		return 2
	}
	return 1
}

// Bounds on the size of the record, so that no caller can fill the memory of every voter.
const (
	maxAuditEntries = 1000
	maxSessions     = 4096  // callers whose last command is remembered; a retry after as many other callers is not recognized
	maxMembers      = 10000 // schedulers, agents and registered workers together
	maxWorkers      = 50000 // workers that have an Intent
	maxLeases       = 1000  // also bounds the halts
	maxNameBytes    = 200   // of one id, zone, address, owner or set of labels
	maxReasonBytes  = 500   // of Command.Reason
)

// Member is a scheduler, an agent or a worker that is registered in the record.
type Member struct {
	ID       string  `json:"id"`
	Kind     string  `json:"kind"` // scheduler, agent or worker
	Zone     string  `json:"zone"`
	Addr     string  `json:"addr"`               // of a scheduler its management address, of an agent its own; of a worker its name to operators
	Agent    string  `json:"agent,omitempty"`    // the id of the agent that runs a scheduler's processes or the site's command for a worker
	Labels   string  `json:"labels,omitempty"`   // key=value,key=value
	Capacity float64 `json:"capacity,omitempty"` // of a worker, in any unit that all workers share
}

// Lease is the exclusive right of one agent to act for a zone ("zone/ZONE") or an operation ("op/ID"). On the wire and in
// stored data a lease is called a matter.
type Lease struct {
	Owner      string  `json:"owner,omitempty"`  // see OwnerName; "" while nobody holds the lease
	Fence      uint64  `json:"fence"`            // the fencing token: grows at each change of owner and is never reused
	TermMs     float64 `json:"term"`             // how long a claim or renewal holds
	Renewed    uint64  `json:"renewed"`          // number of the last command that claimed, renewed or released the lease
	HandoverTo string  `json:"wanted,omitempty"` // the agent to which the owner is asked to hand the lease over, "" for none
}

// Intent is the desired state of a worker: out of service or in service.
type Intent struct {
	Zone   string `json:"zone"`
	Out    bool   `json:"out"`
	Since  uint64 `json:"since"` // number of the command that last changed it
	By     string `json:"by"`    // a person, or the lease of the operation ("op/ID") that changed it
	Reason string `json:"why,omitempty"`
}

// AuditEntry describes one applied change.
type AuditEntry struct {
	No     uint64 `json:"no"`   // number of the command
	Change string `json:"what"` // the kind of change, such as "member", "owner" or "out"
	Object string `json:"of"`   // the object that was changed
	By     string `json:"by"`
	Reason string `json:"why,omitempty"`
}

// CommandResult is the result of a command.
type CommandResult struct {
	No      uint64 `json:"no"`            // number of the command: its position in the replicated log
	Applied bool   `json:"done"`          // false: the command was refused
	Reason  string `json:"why,omitempty"` // the reason of a refusal
	Fence   uint64 `json:"fence,omitempty"`
}

// session is the last command of one caller with its answer, kept so that a retry is answered and not carried out again.
type session struct {
	Last   uint64        `json:"last"` // Command.Number
	Result CommandResult `json:"answer"`
	At     uint64        `json:"at"` // number of the command in the log; the session with the lowest one is evicted first
}

// Command asks for one change of the record. Caller and Number together are its idempotency key: they stay the same when
// the command is sent again.
type Command struct {
	FormatVersion int     `json:"v"` // format version, see FormatVersionOf
	Caller        string  `json:"caller"`
	Number        uint64  `json:"number"` // grows with each new command of the caller
	Verb          string  `json:"do"`     // the verb, a key of commandHandlers
	By            string  `json:"by,omitempty"`
	Reason        string  `json:"why,omitempty"`
	Member        *Member `json:"member,omitempty"`
	ID            string  `json:"id,omitempty"` // of a member or a worker; of a halt or a lift its scope, see Halt.Scope
	Zone          string  `json:"zone,omitempty"`
	Lease         string  `json:"matter,omitempty"`  // name of the lease that the command is about, or under which it is sent
	Owner         string  `json:"owner,omitempty"`   // the sender as owner of that lease; with "want" the id of the agent that should get it
	Fence         uint64  `json:"fence,omitempty"`   // the fencing token as the sender knows it
	Expected      uint64  `json:"renewed,omitempty"` // expected value for compare-and-set: of Lease.Renewed (claim), Step.No (step) or Operation.Wave (wave)
	TermMs        float64 `json:"term,omitempty"`    // ms, of a claim
	Force         bool    `json:"force,omitempty"`
	// The fields below were introduced by format version 2.
	Health     map[string]Health `json:"seen,omitempty"` // with a renewal of a zone's lease: changed health by member id
	Op         *Operation        `json:"op,omitempty"`
	To         string            `json:"to,omitempty"`    // of a step the next state, "undo", or "" if it can't go on; of a renewal AllReported or ""
	AgentStart string            `json:"start,omitempty"` // of a step: see Step.AgentStart
	Then       string            `json:"then,omitempty"`  // of a halt: see Halt.Then; of a step: downByAgent or ""
	Limits     []Limit           `json:"limits,omitempty"`
}

// Record is the replicated state of the fleet after a prefix of the command log. Applying equal commands in equal order
// gives equal snapshots, byte for byte.
type Record struct {
	FormatVersion  int                   `json:"v"`         // the highest format version of any applied command
	No             uint64                `json:"no"`        // number of the last applied log entry
	Voters         map[uint64]string     `json:"voters"`    // addresses of the replicas that vote, by their ids
	VotersChangeNo uint64                `json:"voters_no"` // number of the last change of the voters
	HighestVoterID uint64                `json:"voter_max"` // the highest id that any voter ever had
	Members        map[string]Member     `json:"members"`   // by id
	Leases         map[string]Lease      `json:"matters"`   // leases by name
	Intents        map[string]Intent     `json:"workers"`   // by worker id
	Audit          []AuditEntry          `json:"rows"`      // the audit log, oldest first
	Sessions       map[string]session    `json:"sessions"`  // by caller
	Limits         []Limit               `json:"limits,omitempty"`
	Health         map[string]Health     `json:"health,omitempty"`  // by member id
	Permits        map[string]Permit     `json:"permits,omitempty"` // by member id
	Ops            map[string]*Operation `json:"ops,omitempty"`     // operations by id
	Halts          map[string]Halt       `json:"halts,omitempty"`   // by Halt.Scope
	// Retries counts commands that were recognized as retries and not carried out again.
	Retries uint64 `json:"retries"`
	// InjectedFault names a fault that a test injects to check that its invariant checks find it; "" otherwise.
	InjectedFault string `json:"-"`
}

// NewRecord returns the record before any command.
func NewRecord() *Record {
	return &Record{FormatVersion: 1, Health: map[string]Health{}, Permits: map[string]Permit{}, Ops: map[string]*Operation{}, Halts: map[string]Halt{},
		Voters: map[uint64]string{}, Members: map[string]Member{}, Leases: map[string]Lease{}, Intents: map[string]Intent{},
		Sessions: map[string]session{}}
}

// ErrNewerFormat reports a command or snapshot of a newer format version than this program reads. Nothing was changed.
var ErrNewerFormat = errors.New("newer than the format version that this program reads")

// commandHandlers has the function that carries out each verb. It returns why the command is refused, "" if it was
// carried out, and the number for CommandResult.Fence: the fencing token of the lease, or of a command about an operation the
// command number that a later step has to name.
//
// A refusal's text is stored in the caller's session and is thus part of the replicated state. To reword one is a change
// of format: voters that run the former and the new program would keep different records.
var commandHandlers = map[string]func(r *Record, no uint64, c *Command) (why string, fence uint64){
	"member": (*Record).putMember, "unmember": (*Record).removeMember,
	"claim": (*Record).claimLease, "renew": (*Record).renewLease, "leave": (*Record).releaseLease, "want": (*Record).requestHandover,
	"out": (*Record).takeWorkerOut, "in": (*Record).putWorkerBack,
	"limits": (*Record).setLimits, "begin": (*Record).beginOperation, "step": (*Record).advanceMember,
	"wave": (*Record).advanceWave, "turn": (*Record).turnBack,
	"halt": (*Record).addHalt, "lift": (*Record).liftHalt, "close": (*Record).closeOperation,
}

// Check validates a command without regard to the record.
func (c *Command) Check() error {
	switch {
	case c.FormatVersion > FormatVersion:
		return fmt.Errorf("command of format version %d: %w", c.FormatVersion, ErrNewerFormat)
	case commandHandlers[c.Verb] == nil:
		return fmt.Errorf("do: %q is not a command", c.Verb)
	case c.Caller == "" || c.Number == 0:
		return fmt.Errorf("caller is empty or number is 0")
	case len(c.Reason) > maxReasonBytes:
		return fmt.Errorf("why: longer than %d bytes", maxReasonBytes)
	}
	names := []string{c.Caller, c.By, c.ID, c.Zone, c.Lease, c.Owner, c.AgentStart, c.To, c.Then}
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

// Apply carries out the command that has this number in the log. Its only error is ErrNewerFormat: then the command was not
// applied, and no later one may be. A command that can't be decoded or is invalid is refused, by every voter alike.
func (r *Record) Apply(no uint64, raw []byte) (CommandResult, error) {
	var command Command
	err := json.Unmarshal(raw, &command)
	if command.FormatVersion > FormatVersion || r.InjectedFault == "form-1" && command.FormatVersion > 1 { // the second condition lets a test simulate an older program
		return CommandResult{}, fmt.Errorf("command %d of format version %d: %w", no, command.FormatVersion, ErrNewerFormat)
	}
	r.No = no
	if err == nil {
		err = command.Check()
	}
	if err != nil {
		return CommandResult{No: no, Reason: err.Error()}, nil
	}
	if last, ok := r.Sessions[command.Caller]; ok && command.Number <= last.Last && r.InjectedFault != "retry-twice" {
		r.Retries++
		if command.Number < last.Last {
			return CommandResult{No: no, Reason: "the number is lower than that of this caller's last command"}, nil
		}
		return last.Result, nil
	}
	r.FormatVersion = max(r.FormatVersion, FormatVersionOf(&command))
	why, fence := commandHandlers[command.Verb](r, no, &command)
	answer := CommandResult{No: no, Applied: why == "", Reason: why, Fence: fence}
	r.storeSession(command.Caller, session{command.Number, answer, no})
	return answer, nil
}

// storeSession keeps the last answer to a caller. If there are too many callers, the one that has sent no command for the
// longest time is evicted.
func (r *Record) storeSession(caller string, latest session) {
	if _, ok := r.Sessions[caller]; !ok && len(r.Sessions) >= maxSessions {
		oldest, oldestNo := "", uint64(0)
		for name, other := range r.Sessions { // At is unique, so the minimum does not depend on the iteration order
			if oldest == "" || other.At < oldestNo {
				oldest, oldestNo = name, other.At
			}
		}
		delete(r.Sessions, oldest)
	}
	r.Sessions[caller] = latest
}

// appendAudit appends an entry to the audit log, which keeps the last maxAuditEntries.
func (r *Record) appendAudit(no uint64, what, of string, c *Command) {
	r.Audit = append(r.Audit, AuditEntry{no, what, of, c.By, c.Reason})
	r.Audit = r.Audit[max(0, len(r.Audit)-maxAuditEntries):]
}

// putMember registers a member, or with Force changes one.
func (r *Record) putMember(no uint64, c *Command) (string, uint64) {
	member := c.Member
	if member == nil || member.ID == "" || member.Zone == "" || member.Addr == "" || !slices.Contains([]string{"scheduler", "agent", "worker"}, member.Kind) {
		return "a member has an id, a kind (scheduler, agent or worker), a zone and an address", 0
	}
	for id, other := range r.Members {
		// One process registered under two ids would be told of each change twice, and count as two members under the limits.
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
		// Two agents were configured with the same member. If each could take it over, it would alternate between them.
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

// removeMember removes a member from the record, with Force also one that has a permit to be out.
func (r *Record) removeMember(no uint64, c *Command) (string, uint64) {
	if _, ok := r.Members[c.ID]; !ok {
		return "no such member", 0
	}
	if permit, ok := r.Permits[c.ID]; ok && !c.Force {
		return "it is out for " + permit.Op + ": one that is gone for good is removed by force", 0
	}
	delete(r.Members, c.ID)
	delete(r.Health, c.ID)
	delete(r.Permits, c.ID) // by Force a person has stated that it doesn't count as out any more
	r.appendAudit(no, "unmember", c.ID, c)
	return "", 0
}

// claimLease gives a lease to a new owner, provided that the lease hasn't changed since the claimant read it. Whether the
// term of an owner that is still on record has expired is not decided here but by the leader's clock: see LeaseTerms.
func (r *Record) claimLease(no uint64, c *Command) (string, uint64) {
	lease, known := r.Leases[c.Lease]
	switch {
	case c.Lease == "" || c.Owner == "" || c.TermMs <= 0:
		return "a claim names a matter, an owner and a term", 0
	case lease.Fence != c.Fence || lease.Renewed != c.Expected:
		return "the matter has changed", lease.Fence
	case !known && len(r.Leases) >= maxLeases:
		return "the record holds no more matters", 0
	}
	if r.InjectedFault == "permit-dies" {
		maps.DeleteFunc(r.Permits, func(_ string, permit Permit) bool { return OperationLease(permit.Op) == c.Lease && known })
	}
	lease.Owner, lease.Fence, lease.TermMs, lease.Renewed = c.Owner, lease.Fence+1, c.TermMs, no
	if lease.HandoverTo == AgentOfOwner(c.Owner) {
		lease.HandoverTo = ""
	}
	r.Leases[c.Lease] = lease
	r.appendAudit(no, "owner", c.Lease+" "+c.Owner, c)
	return "", lease.Fence
}

// renewLease extends the owner's term. A renewal of a zone's lease also carries the health of the zone's members.
func (r *Record) renewLease(no uint64, c *Command) (string, uint64) {
	lease := r.Leases[c.Lease]
	if c.Owner == "" || lease.Owner != c.Owner || lease.Fence != c.Fence {
		return "another owner has it", lease.Fence
	}
	lease.Renewed = no
	r.Leases[c.Lease] = lease
	if zone, ok := strings.CutPrefix(c.Lease, "zone/"); ok {
		r.recordHealth(zone, c.Health)
	}
	return "", lease.Fence
}

// releaseLease ends an ownership at its owner's own request.
func (r *Record) releaseLease(no uint64, c *Command) (string, uint64) {
	lease := r.Leases[c.Lease]
	if c.Owner == "" || lease.Owner != c.Owner || lease.Fence != c.Fence {
		return "another owner has it", lease.Fence
	}
	lease.Owner, lease.Renewed = "", no
	r.Leases[c.Lease] = lease
	r.appendAudit(no, "left", c.Lease+" "+c.Owner, c)
	return "", lease.Fence
}

// requestHandover asks the owner of a lease to hand it over to another agent. The owner releases the lease itself: if it
// were taken away, the owner would continue to act until it learned of that.
func (r *Record) requestHandover(no uint64, c *Command) (string, uint64) {
	lease, known := r.Leases[c.Lease]
	switch agent := r.Members[c.Owner]; {
	case !known:
		return "no such matter", 0
	case agent.Kind != "agent":
		return "no such agent", lease.Fence
	case AgentOfOwner(lease.Owner) == c.Owner:
		return "", lease.Fence
	}
	lease.HandoverTo = c.Owner
	r.Leases[c.Lease] = lease
	r.appendAudit(no, "wanted", c.Lease+" "+c.Owner, c)
	return "", lease.Fence
}

// takeWorkerOut sets a worker's intent to out, at a person's request.
func (r *Record) takeWorkerOut(no uint64, c *Command) (string, uint64) {
	intent, known := r.Intents[c.ID]
	switch {
	case c.ID == "" || c.Zone == "" && !known || c.By == "":
		return "taking a worker out names it, its zone and who does", 0
	case !known && len(r.Intents) >= maxWorkers:
		return "the record holds no more workers", 0
	case known && c.Zone != "" && c.Zone != intent.Zone && intent.Out:
		return "it is out, in zone " + intent.Zone, 0
	case intent.Out:
		return "", 0
	case r.Members[c.ID].Kind == "worker" && !c.Force:
		// A worker that a person takes out counts under the same limits. Force overrides them, as for a worker that does harm.
		if why := r.limitRefusal(c.ID, nil); why != "" {
			return why, 0
		}
	}
	if c.Zone != "" {
		intent.Zone = c.Zone
	}
	r.Intents[c.ID] = Intent{Zone: intent.Zone, Out: true, Since: no, By: c.By, Reason: c.Reason}
	r.appendAudit(no, "out", c.ID, c)
	return "", 0
}

// putWorkerBack sets a worker's intent to in service. A worker that one person took out is put back by another only with
// Force, so that this doesn't happen by mistake.
func (r *Record) putWorkerBack(no uint64, c *Command) (string, uint64) {
	intent, known := r.Intents[c.ID]
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
	intent.Out, intent.Since, intent.By, intent.Reason = false, no, c.By, c.Reason
	r.Intents[c.ID] = intent
	r.appendAudit(no, "in", c.ID, c)
	return "", 0
}

// SetVoter applies a change of the voters, which is log entry no. It removes the voter with the id remove and adds the one
// with the id add; 0 means none.
func (r *Record) SetVoter(no, add uint64, addr string, remove uint64) {
	r.No, r.VotersChangeNo = no, no
	if remove != 0 {
		delete(r.Voters, remove)
		r.appendAudit(no, "voter", fmt.Sprintf("-%d", remove), &Command{})
	}
	if add != 0 {
		r.Voters[add], r.HighestVoterID = addr, max(r.HighestVoterID, add)
		r.appendAudit(no, "voter", fmt.Sprintf("+%d %s", add, addr), &Command{})
	}
}

// Snapshot encodes the record. Equal records give equal bytes.
func (r *Record) Snapshot() []byte {
	raw, err := json.Marshal(r) // encoding/json sorts map keys
	if err != nil {
		panic(err) // can't happen: the record has strings, bools and finite numbers alone
	}
	return raw
}

// Clone returns a copy that doesn't change with the record.
func (r *Record) Clone() *Record {
	copied := *r
	copied.Voters, copied.Members, copied.Leases, copied.Intents = maps.Clone(r.Voters), maps.Clone(r.Members), maps.Clone(r.Leases), maps.Clone(r.Intents)
	copied.Health, copied.Permits, copied.Halts, copied.Sessions = maps.Clone(r.Health), maps.Clone(r.Permits), maps.Clone(r.Halts), maps.Clone(r.Sessions)
	copied.Audit, copied.Ops = slices.Clone(r.Audit), make(map[string]*Operation, len(r.Ops))
	for id, op := range r.Ops {
		opCopy := *op
		opCopy.Steps = maps.Clone(op.Steps)
		copied.Ops[id] = &opCopy
	}
	return &copied
}

// SnapshotForAgents encodes the record without its sessions and audit log, for agents that act on the record but don't
// store it. Each agent is sent this snapshot at every change; without the omission each lease renewal would send thousands
// of sessions and the whole audit log to every agent.
func (r *Record) SnapshotForAgents() []byte {
	lean := *r
	lean.Sessions, lean.Audit = nil, nil
	return lean.Snapshot()
}

// Restore replaces the record by a snapshot. If it returns an error, the record is unchanged.
func (r *Record) Restore(raw []byte) error {
	restored := NewRecord()
	if err := json.Unmarshal(raw, restored); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if restored.FormatVersion > FormatVersion {
		return fmt.Errorf("snapshot of format version %d: %w", restored.FormatVersion, ErrNewerFormat)
	}
	restored.InjectedFault = r.InjectedFault
	*r = *restored
	return nil
}

// WorkersOut returns the sorted ids of the workers whose intent is out, of one zone or of all zones ("").
func (r *Record) WorkersOut(zone string) (ids []string) {
	for id, intent := range r.Intents {
		if intent.Out && (zone == "" || intent.Zone == zone) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// MembersOfKind returns the members of one kind, sorted by id.
func (r *Record) MembersOfKind(kind string) (all []Member) {
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

// OwnerName returns the owner name of one start of an agent. An agent that was restarted doesn't know which leases it held,
// so each of its starts counts as a different owner.
func OwnerName(agent, start string) string { return agent + "#" + start }

// AgentOfOwner returns the id of the agent in an owner name.
func AgentOfOwner(owner string) string {
	agent, _, _ := strings.Cut(owner, "#")
	return agent
}

// ZoneLease returns the name of a zone's lease. Its owner tells schedulers of the zone's workers and reports the health of
// the zone's members.
func ZoneLease(zone string) string { return "zone/" + zone }
