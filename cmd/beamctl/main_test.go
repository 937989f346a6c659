package main

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
)

// outerNames lists each command with its positional arguments, and each flag with its environment variable, default and
// enum values, as scripts use them.
const outerNames = `
beamctl
  --agent type=[]string env=BEAM_AGENT default=127.0.0.1:7001
  --by type=string env=BEAM_BY
  --dry-run type=bool
  --help type=kong.helpFlag
  --json type=bool
  --timeout type=time.Duration default=10s
status
  --watch type=bool
worker down
  <id> type=string required
  --force type=bool
  --why type=string
  --zone type=string
worker up
  <id> type=string required
  --force type=bool
  --why type=string
worker list
  --out type=bool
owner list
owner move
  <matter> type=string required
  <to> type=string required
  --why type=string
events
  --last type=int default=20
member add
  <id> type=string required
  --addr type=string required
  --kind type=string default=scheduler enum=scheduler,agent
  --zone type=string required
member remove
  <id> type=string required
  --force type=bool
  --why type=string
member replace
  <old> type=uint64 required
  <new> type=uint64 required
  --addr type=string required
plan
  <path> type=string required
  --each type=time.Duration default=5s
release start
  <path> type=string required
  --wait type=bool
release status
  <id> type=string required
release halt
  <id> type=string required
  --then type=string default=finish enum=finish,back
  --why type=string
release resume
  <id> type=string required
  --why type=string
release back
  <id> type=string required
  --wait type=bool
  --why type=string
release close
  <id> type=string required
  --force type=bool
  --why type=string
release list
drain
  <member> type=[]string required
  --[no-]wait type=bool default=true
  --why type=string
undrain
  <member> type=[]string required
  --[no-]wait type=bool default=true
  --why type=string
restart
  <member> type=[]string required
  --[no-]wait type=bool default=true
  --why type=string
maintain
  <member> type=[]string required
  --[no-]wait type=bool default=true
  --pause type=time.Duration
  --why type=string
halt
  <of> type=string required
  --then type=string default=finish enum=finish,back
  --why type=string
lift
  <of> type=string required
  --why type=string
limits show
limits set
  <path> type=string required
  --why type=string
why
  <id> type=string required
check
  <path> type=string required
`

// Commands and flags are derived from struct fields: a renamed field without a name tag would change the command line.
func TestCommandsAndFlagsKeepTheirNames(t *testing.T) {
	parser, err := kong.New(&commandLine{}, kong.Name("beamctl"))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	describe := func(name string, value *kong.Value, envs []string) string {
		text := name + " type=" + value.Target.Type().String()
		if len(envs) > 0 {
			text += " env=" + strings.Join(envs, ",")
		}
		if value.HasDefault {
			text += " default=" + value.Default
		}
		if value.Enum != "" {
			text += " enum=" + value.Enum
		}
		if value.Required {
			text += " required"
		}
		return text
	}
	writeFlags := func(flags []*kong.Flag) {
		var lines []string
		for _, flag := range flags {
			name := "--" + flag.Name
			if flag.Tag.Negatable != "" {
				name = "--[no-]" + flag.Name
			}
			lines = append(lines, describe(name, flag.Value, flag.Envs))
		}
		slices.Sort(lines)
		for _, line := range lines {
			fmt.Fprintln(&got, "  "+line)
		}
	}
	fmt.Fprintln(&got, "beamctl")
	writeFlags(parser.Model.Flags)
	for _, leaf := range parser.Model.Leaves(false) {
		fmt.Fprintln(&got, leaf.Path())
		for _, positional := range leaf.Positional {
			fmt.Fprintln(&got, "  "+describe("<"+positional.Name+">", positional, nil))
		}
		writeFlags(leaf.Flags)
	}
	if want := strings.TrimPrefix(outerNames, "\n"); got.String() != want {
		t.Errorf("the command line is\n%swant\n%s", got.String(), want)
	}
	parsed, err := parser.Parse([]string{"limits"})
	if err != nil || parsed.Command() != "limits show" {
		t.Errorf("limits: %v, %v, want the command limits show", parsed, err)
	}
}
