package scheduler

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"

	"github.com/go-json-experiment/json/jsontext"

	"shalebeam/startup"
)

// Node is the configuration of one scheduler: its machine and its deployment. It is made by Load or Parse, which check it.
type Node struct {
	Name       string   `json:"name"`
	Listen     string   `json:"listen"`
	Discovery  string   `json:"discovery"`
	Mgmt       string   `json:"mgmt"`  // the management address; "": there is none
	Agent      string   `json:"agent"` // address of this machine's agent, asked at the start for workers out of service; "": none
	Seed       string   `json:"seed"`
	Limits     Limits   `json:"limits"`
	PeerListen string   `json:"peer_listen"`
	Peers      []string `json:"peers"`     // the peer address of each scheduler, by its number
	PeersAll   string   `json:"peers_all"` // an address on which a datagram reaches all peers
	// Known is discovery's list of workers as this scheduler last had it, to begin with.
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`

	decoded startup.Settings // Settings, decoded, with defaults for what they do not give
	raw     []byte           // the whole configuration as it was read
}

// Limits is how much of its machine the program may use. 0 is no limit on cores and memory, and defaultSockets for sockets.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Load reads and checks a configuration file. mgmt is the management address if the file names none.
func Load(path, mgmt string) (*Node, error) {
	if path == "" {
		return nil, fmt.Errorf("no configuration file is named")
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	n, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if n.Mgmt = cmp.Or(n.Mgmt, mgmt); n.Mgmt == "" {
		return n, nil
	}
	if _, err := netip.ParseAddrPort(n.Mgmt); err != nil || n.Mgmt == n.Listen {
		return nil, fmt.Errorf("%s: mgmt: %q is not an address with a port of its own", path, n.Mgmt)
	}
	return n, nil
}

// Parse decodes and checks the contents of a configuration file.
func Parse(raw []byte) (*Node, error) {
	n := &Node{raw: raw}
	// Of a key that stands twice encoding/json takes the last one, and it changes text that is not valid.
	if _, err := jsontext.NewDecoder(bytes.NewReader(raw)).ReadValue(); err != nil {
		return nil, err
	}
	if err := json.Unmarshal(raw, n); err != nil {
		return nil, err
	}
	if err := n.check(); err != nil {
		return nil, err
	}
	return n, nil
}

// reloaded returns n with all settings of another configuration that may change while a scheduler runs, and the keys of those
// that differ and need a restart. Differences of the seed, which is new with each start, and of the known list, which is only
// used at a start, are ignored.
func (n *Node) reloaded(other *Node) (result *Node, kept []string, err error) {
	if key := startup.MissingKey(n.raw, other.raw); key != "" {
		return nil, nil, fmt.Errorf("%s is missing, and the settings in force have it", key)
	}
	for _, field := range []struct {
		name string
		same bool
	}{{"name", n.Name == other.Name}, {"listen", n.Listen == other.Listen}, {"limits", n.Limits == other.Limits},
		{"mgmt", n.Mgmt == other.Mgmt}, {"peer_listen", n.PeerListen == other.PeerListen},
		{"peers", slices.Equal(n.Peers, other.Peers)}, {"peers_all", n.PeersAll == other.PeersAll}} {
		if !field.same {
			kept = append(kept, field.name)
		}
	}
	merged := *n
	merged.Discovery, merged.raw = other.Discovery, other.raw
	decoded, moreKept, err := n.decoded.MergeReload(other.decoded)
	merged.decoded = decoded
	return &merged, append(kept, moreKept...), err
}

// check validates the configuration, decodes its settings, and sets defaults.
func (n *Node) check() error {
	if n.Name == "" {
		return fmt.Errorf("name is missing")
	}
	for _, a := range []struct {
		name, addr string
		required   bool
	}{{"listen", n.Listen, true}, {"discovery", n.Discovery, true}, {"peer_listen", n.PeerListen, false},
		{"peers_all", n.PeersAll, false}, {"agent", n.Agent, false}} {
		if a.addr == "" && !a.required {
			continue
		}
		if _, err := netip.ParseAddrPort(a.addr); err != nil {
			return fmt.Errorf("%s: %q is not an address with a port", a.name, a.addr)
		}
	}
	for i, a := range n.Peers {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return fmt.Errorf("peers[%d]: %q is not an address with a port", i, a)
		}
	}
	seed, err := strconv.ParseUint(n.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %q is not a number of up to 16 hex digits", n.Seed)
	}
	if n.Limits.Cores < 0 || n.Limits.MemoryMB < 0 || n.Limits.Sockets < 0 {
		return fmt.Errorf("limits: got cores %v, memory_mb %d, sockets %d, expected none below 0", n.Limits.Cores,
			n.Limits.MemoryMB, n.Limits.Sockets)
	}
	if n.Limits.Sockets > 0 && n.Limits.Sockets < minSockets {
		return fmt.Errorf("limits: sockets is %d, expected at least %d", n.Limits.Sockets, minSockets)
	}
	if len(n.Settings) == 0 {
		return fmt.Errorf("settings is missing")
	}
	if n.decoded, err = startup.Decode(n.Settings, seed); err != nil {
		return err
	}
	if t := &n.decoded.Terms; t.Messages && n.PeerListen != "" && (len(n.Peers) != t.Schedulers || t.Index >= t.Schedulers) {
		return fmt.Errorf("peers: there are %d addresses, but the settings have my_number %d and peers_total %d",
			len(n.Peers), t.Index, t.Schedulers)
	}
	seen := map[string]bool{}
	for i, name := range n.decoded.Schemes {
		if name == "" || seen[name] {
			return fmt.Errorf("settings: schemes[%d]: name is missing or repeated", i)
		}
		seen[name] = true
	}
	if n.decoded.DialTimeoutMs <= 0 {
		n.decoded.DialTimeoutMs = defaultDialMs
	}
	if n.decoded.WorkerIdleTimeoutMs <= 0 {
		n.decoded.WorkerIdleTimeoutMs = defaultIdleMs
	}
	// This program gets discovery's list only by asking for it; nothing pushes it.
	n.decoded.Terms.PollsList = true
	if n.decoded.Terms.ListPollIntervalMs <= 0 {
		n.decoded.Terms.ListPollIntervalMs = defaultAskMs
	}
	if n.PeerListen == "" || n.PeersAll == "" {
		n.decoded.Terms.Messages = false
	}
	return nil
}

const (
	minSockets = 64 // the fewest descriptors with which a scheduler serves

	// Defaults for what the configuration does not give.
	defaultSockets = 1024
	defaultDialMs  = 1000.0  // time for a connection to be made
	defaultIdleMs  = 10000.0 // after which a worker closes an idle connection
	defaultAskMs   = 10000.0 // within which discovery has to be asked again, else its list is not relied on
)
