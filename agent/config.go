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

// Config is an agent's configuration file. Unknown keys, durations without a unit and contradictions are rejected with the
// file's path and the key.
type Config struct {
	Name   string   `toml:"name"`   // of this agent, the same after a restart
	Zone   string   `toml:"zone"`   // of this agent's machine
	Listen string   `toml:"listen"` // address for calls of agents, beamctl and this machine's schedulers; on 127.0.0.1 where only a port is given
	Data   string   `toml:"data"`   // directory of a voter's log and of the state of the processes that the agent runs
	Term   Duration `toml:"term"`   // how long a claim of a lease holds, 1s to 1m; 3s by default
	// Joins says that this voter is a new one, which another's "member replace" has added or is about to.
	Joins bool `toml:"joins"`
	// Replaces is the number of the voter whose place this one takes, 0 for none.
	Replaces uint64        `toml:"replaces"`
	Voters   []VoterConfig `toml:"voter"`
	// Schedulers has the schedulers of this machine. The agent enters them in the record, and runs those with a Program.
	Schedulers []SchedulerConfig `toml:"scheduler"`
	// Workers has the workers of this machine. The agent enters them in the record, and runs the site's command to renew them.
	Workers []WorkerConfig `toml:"worker"`
	// ReadyTimeout is how long a new process of a scheduler may take to become ready, 1s to 10m; 15s by default.
	ReadyTimeout Duration `toml:"ready_most"`
	// Via maps an address to the one that is dialled in its place, as where a machine is reached through a forwarder.
	Via map[string]string `toml:"via"`
}

// VoterConfig is an agent that keeps a replica of the record.
type VoterConfig struct {
	ID   uint64 `toml:"id"` // its number, never used again for another disk
	Name string `toml:"name"`
	Addr string `toml:"addr"`
}

// SchedulerConfig is a scheduler of this machine. With a Program the agent starts and stops its processes; without one they are
// managed elsewhere, and the agent leaves them alone.
type SchedulerConfig struct {
	ID          string `toml:"id"`
	Zone        string `toml:"zone"`
	Addr        string `toml:"addr"` // of its management interface, for calls of the fleet and of staff
	Labels      string `toml:"labels,omitempty"`
	Program     string `toml:"program,omitempty"` // path of shalebeam
	Config      string `toml:"config,omitempty"`  // path of its configuration, which must not set mgmt
	UpgradeAddr string `toml:"beside,omitempty"`  // management address of the second process, which takes over from the first in an upgrade
	TempDir     string `toml:"tmp,omitempty"`     // $TMPDIR of its processes; the agent's data directory by default
}

// WorkerConfig is a worker of this machine. Command is the site's own command that renews the worker while it is out of service;
// {worker}, {version} and {step} in its arguments are replaced.
type WorkerConfig struct {
	ID       string   `toml:"id"`
	Zone     string   `toml:"zone"`
	Labels   string   `toml:"labels,omitempty"`
	Capacity float64  `toml:"capacity,omitempty"` // in any unit that all workers share
	Command  []string `toml:"command,omitempty"`
}

// Duration is a duration, written with its unit, such as 500ms or 3s.
type Duration time.Duration

// UnmarshalText parses a duration with its unit.
func (s *Duration) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	*s = Duration(d)
	return err
}

// Load reads and validates the configuration file at path.
func Load(path string) (*Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f := &Config{}
	d := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := d.Decode(f); err != nil {
		var strict *toml.StrictMissingError
		var decodeErr *toml.DecodeError
		switch {
		case errors.As(err, &strict):
			first := strict.Errors[0]
			line, _ := first.Position()
			return nil, fmt.Errorf("%s: line %d: unknown key %v", path, line, first.Key())
		case errors.As(err, &decodeErr):
			line, _ := decodeErr.Position()
			return nil, fmt.Errorf("%s: line %d: %v: %s", path, line, decodeErr.Key(), decodeErr.Error())
		}
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := f.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// isAddrPort reports whether s is an IP address with a port.
func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

// validate fills in the defaults, and returns the first fault that it finds.
func (f *Config) validate() error {
	if f.Term == 0 {
		f.Term = Duration(3 * time.Second)
	}
	if len(f.Listen) > 0 && f.Listen[0] == ':' {
		f.Listen = "127.0.0.1" + f.Listen
	}
	if f.ReadyTimeout == 0 {
		f.ReadyTimeout = Duration(15 * time.Second)
	}
	switch {
	case f.Name == "":
		return errors.New("name is missing")
	case f.Zone == "":
		return errors.New("zone is missing")
	case !isAddrPort(f.Listen):
		return fmt.Errorf("listen: %q is not an IP address with a port", f.Listen)
	case f.Term < Duration(time.Second) || f.Term > Duration(time.Minute):
		return fmt.Errorf("term: %v is not between 1s and 1m", time.Duration(f.Term))
	case len(f.Voters) == 0:
		return errors.New("voter: missing; each agent needs the list of the voters that keep the record")
	case len(f.Voters) == 2 || len(f.Voters) == 4:
		return fmt.Errorf("voter: %d voters tolerate no more failures than %d, and one more can fail; use an odd number", len(f.Voters), len(f.Voters)-1)
	}
	ids, names, addrs := map[uint64]bool{}, map[string]bool{}, map[string]bool{}
	for i, v := range f.Voters {
		switch {
		case v.ID == 0:
			return fmt.Errorf("voter[%d].id is missing", i)
		case !isAddrPort(v.Addr):
			return fmt.Errorf("voter[%d].addr: %q is not an IP address with a port", i, v.Addr)
		case ids[v.ID] || names[v.Name] || addrs[v.Addr]:
			return fmt.Errorf("voter[%d]: id, name or addr is used by another voter", i)
		case v.Name == f.Name && v.Addr != f.Listen:
			return fmt.Errorf("voter[%d].addr is %s, but this agent listens at %s", i, v.Addr, f.Listen)
		}
		ids[v.ID], names[v.Name], addrs[v.Addr] = true, true, true
	}
	if f.ownVoter() != nil && f.Data == "" {
		return errors.New("data is missing; a voter needs it")
	}
	if f.Joins && f.ownVoter() == nil {
		return errors.New("joins is set, but no voter has the name of this agent")
	}
	if f.Replaces != 0 && (!f.Joins || ids[f.Replaces]) {
		return errors.New("replaces: needs joins = true, and the number of a voter that is not listed here")
	}
	used := map[string]bool{}
	for i, s := range f.Schedulers {
		switch {
		case s.ID == "" || s.Zone == "":
			return fmt.Errorf("scheduler[%d]: id and zone are needed", i)
		case !isAddrPort(s.Addr):
			return fmt.Errorf("scheduler[%d].addr: %q is not an IP address with a port", i, s.Addr)
		case used[s.ID] || used[s.Addr]:
			return fmt.Errorf("scheduler[%d]: id or addr is used by another scheduler", i)
		}
		used[s.ID], used[s.Addr] = true, true
		switch {
		case s.Program == "" && s.Config+s.UpgradeAddr+s.TempDir != "":
			return fmt.Errorf("scheduler[%d]: config, beside and tmp need program, which is missing", i)
		case s.Program == "":
			continue
		case s.Config == "" || !isAddrPort(s.UpgradeAddr) || used[s.UpgradeAddr]:
			return fmt.Errorf("scheduler[%d]: program needs config, and in beside an IP address with a port that nothing else uses", i)
		case f.Data == "":
			return fmt.Errorf("data is missing; scheduler[%d] has a program, which needs it", i)
		}
		used[s.UpgradeAddr] = true
	}
	for i, w := range f.Workers {
		switch {
		case w.ID == "" || w.Zone == "" || w.Capacity < 0:
			return fmt.Errorf("worker[%d]: id and zone are needed, and capacity must not be below 0", i)
		case used[w.ID]:
			return fmt.Errorf("worker[%d]: id is used by another scheduler or worker", i)
		case len(w.Command) > 0 && f.Data == "":
			return fmt.Errorf("data is missing; worker[%d] has a command, which needs it", i)
		}
		used[w.ID] = true
	}
	if f.ReadyTimeout < Duration(time.Second) || f.ReadyTimeout > Duration(10*time.Minute) {
		return fmt.Errorf("ready_most: %v is not between 1s and 10m", time.Duration(f.ReadyTimeout))
	}
	for from, to := range f.Via {
		if !isAddrPort(from) || !isAddrPort(to) {
			return fmt.Errorf("via: %q = %q: both must be IP addresses with a port", from, to)
		}
	}
	return nil
}

// ownVoter returns the entry of this agent among the voters, nil where it is not a voter.
func (f *Config) ownVoter() *VoterConfig {
	for i := range f.Voters {
		if f.Voters[i].Name == f.Name {
			return &f.Voters[i]
		}
	}
	return nil
}
