package agent

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// File is what an agent is told. Unknown keys, spans without a unit and contradictions are refused with file and key.
type File struct {
	Name   string `toml:"name"`   // of this agent, the same after a restart
	Zone   string `toml:"zone"`   //
	Listen string `toml:"listen"` // where agents, beamctl and this machine's schedulers call; loopback where only a port is named
	Data   string `toml:"data"`   // the folder of a voter's log
	Term   Span   `toml:"term"`   // how long a claim holds, 1s to 1m; 3s where none is named
	// Joins says that this voter is a new one, which another's "member replace" has added or is about to.
	Joins bool `toml:"joins"`
	// Replaces is the number of the voter in whose place it is put.
	Replaces uint64  `toml:"replaces"`
	Voter    []Voter `toml:"voter"`
	// Scheduler are those of this machine, which the agent puts on record, and runs where a program is named.
	Scheduler []Local `toml:"scheduler"`
	// Worker are those of this machine, which the agent puts on record, with the site's own command to renew them.
	Worker []Site `toml:"worker"`
	// ReadyMost is how long a new process of a scheduler may take to be ready; 15s where none is named.
	ReadyMost Span `toml:"ready_most"`
	// Via has calls to an address go to another one, as where a machine is reached through a forwarder.
	Via map[string]string `toml:"via"`
}

// Voter is an agent that keeps the record.
type Voter struct {
	ID   uint64 `toml:"id"` // its number, never used again for another disk
	Name string `toml:"name"`
	Addr string `toml:"addr"`
}

// Local is a scheduler of this machine. With Program its processes are the agent's; without it they are another's, and
// the agent touches none.
type Local struct {
	ID      string `toml:"id"`
	Zone    string `toml:"zone"`
	Addr    string `toml:"addr"` // its second address
	Labels  string `toml:"labels,omitempty"`
	Program string `toml:"program,omitempty"` // path of shalebeam
	Config  string `toml:"config,omitempty"`  // path of its configuration, which names no mgmt
	Beside  string `toml:"beside,omitempty"`  // second address of the process that takes over in an upgrade
	Tmp     string `toml:"tmp,omitempty"`     // $TMPDIR of its processes; data where none is named
}

// Site is a worker of this machine. Command is the site's own, run to renew it while it is out; {worker} and {version} in it
// are replaced.
type Site struct {
	ID       string   `toml:"id"`
	Zone     string   `toml:"zone"`
	Labels   string   `toml:"labels,omitempty"`
	Capacity float64  `toml:"capacity,omitempty"`
	Command  []string `toml:"command,omitempty"`
}

// Span is a time with its unit, as 500ms or 3s.
type Span time.Duration

func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	*s = Span(d)
	return err
}

// Load reads and checks a file.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &File{}
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		var strict *toml.StrictMissingError
		var at *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			e := strict.Errors[0]
			row, _ := e.Position()
			return nil, fmt.Errorf("%s: line %d: %v is no key", path, row, e.Key())
		case errors.As(err, &at):
			row, _ := at.Position()
			return nil, fmt.Errorf("%s: line %d: %v: %s", path, row, at.Key(), at.Error())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

func address(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func (f *File) check() error {
	if f.Term == 0 {
		f.Term = Span(3 * time.Second)
	}
	if len(f.Listen) > 0 && f.Listen[0] == ':' {
		f.Listen = "127.0.0.1" + f.Listen
	}
	if f.ReadyMost == 0 {
		f.ReadyMost = Span(15 * time.Second)
	}
	switch {
	case f.Name == "":
		return errors.New("name is missing")
	case f.Zone == "":
		return errors.New("zone is missing")
	case !address(f.Listen):
		return fmt.Errorf("listen: %q is not an address with a port", f.Listen)
	case f.Term < Span(time.Second) || f.Term > Span(time.Minute):
		return fmt.Errorf("term: %v is not from 1s to 1m", time.Duration(f.Term))
	case len(f.Voter) == 0:
		return errors.New("voter: there is none; each agent is told of those that keep the record")
	case len(f.Voter) == 2 || len(f.Voter) == 4:
		return fmt.Errorf("voter: %d bear no more failures than %d, and are more that may fail", len(f.Voter), len(f.Voter)-1)
	}
	ids, names, addrs := map[uint64]bool{}, map[string]bool{}, map[string]bool{}
	for i, v := range f.Voter {
		switch {
		case v.ID == 0:
			return fmt.Errorf("voter[%d].id is missing", i)
		case !address(v.Addr):
			return fmt.Errorf("voter[%d].addr: %q is not an address with a port", i, v.Addr)
		case ids[v.ID] || names[v.Name] || addrs[v.Addr]:
			return fmt.Errorf("voter[%d]: id, name or addr is another's too", i)
		case v.Name == f.Name && v.Addr != f.Listen:
			return fmt.Errorf("voter[%d].addr: %s, and this agent listens at %s", i, v.Addr, f.Listen)
		}
		ids[v.ID], names[v.Name], addrs[v.Addr] = true, true, true
	}
	if f.voter() != nil && f.Data == "" {
		return errors.New("data is missing, and this agent is a voter")
	}
	if f.Joins && f.voter() == nil {
		return errors.New("joins: this agent is no voter")
	}
	if f.Replaces != 0 && (!f.Joins || ids[f.Replaces]) {
		return errors.New("replaces: a number that no voter here has, of one that joins")
	}
	seen := map[string]bool{}
	for i, s := range f.Scheduler {
		switch {
		case s.ID == "" || s.Zone == "":
			return fmt.Errorf("scheduler[%d]: id and zone are needed", i)
		case !address(s.Addr):
			return fmt.Errorf("scheduler[%d].addr: %q is not an address with a port", i, s.Addr)
		case seen[s.ID] || seen[s.Addr]:
			return fmt.Errorf("scheduler[%d]: id or addr is another's too", i)
		}
		seen[s.ID], seen[s.Addr] = true, true
		switch {
		case s.Program == "" && s.Config+s.Beside+s.Tmp != "":
			return fmt.Errorf("scheduler[%d].program is missing, and config, beside or tmp is there", i)
		case s.Program == "":
			continue
		case s.Config == "" || !address(s.Beside) || seen[s.Beside]:
			return fmt.Errorf("scheduler[%d]: a program wants config, and beside: an address of its own", i)
		case f.Data == "":
			return fmt.Errorf("data is missing, and scheduler[%d] is run by this agent", i)
		}
		seen[s.Beside] = true
	}
	for i, w := range f.Worker {
		switch {
		case w.ID == "" || w.Zone == "" || w.Capacity < 0:
			return fmt.Errorf("worker[%d]: id and zone are needed, and capacity is not below 0", i)
		case seen[w.ID]:
			return fmt.Errorf("worker[%d]: id is another's too", i)
		case len(w.Command) > 0 && f.Data == "":
			return fmt.Errorf("data is missing, and worker[%d] has a command", i)
		}
		seen[w.ID] = true
	}
	if f.ReadyMost < Span(time.Second) || f.ReadyMost > Span(10*time.Minute) {
		return fmt.Errorf("ready_most: %v is not from 1s to 10m", time.Duration(f.ReadyMost))
	}
	for from, to := range f.Via {
		if !address(from) || !address(to) {
			return fmt.Errorf("via: %q = %q: both are to be addresses with a port", from, to)
		}
	}
	return nil
}

// voter is this agent's own row, nil where it is none.
func (f *File) voter() *Voter {
	for i := range f.Voter {
		if f.Voter[i].Name == f.Name {
			return &f.Voter[i]
		}
	}
	return nil
}
