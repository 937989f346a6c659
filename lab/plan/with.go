package plan

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// WithKeys returns an experiment file's text with some keys changed. A change is written as "clients.load=0.9",
// "workers.w.count=40" or "fault.0.at=5s": members of a list are given by name or by index. The value is read as TOML
// and, if it is not valid TOML, as plain text. Only Parse checks the keys and their values.
func WithKeys(raw []byte, sets ...string) ([]byte, error) {
	var tree map[string]any
	if err := toml.Unmarshal(raw, &tree); err != nil {
		return nil, tomlError(err)
	}
	for _, set := range sets {
		key, value, ok := strings.Cut(set, "=")
		if !ok {
			return nil, fmt.Errorf("%q is not KEY=VALUE", set)
		}
		if err := setKey(tree, strings.Split(strings.TrimSpace(key), "."), parseValue(strings.TrimSpace(value))); err != nil {
			return nil, fmt.Errorf("%s: %w", key, err)
		}
	}
	return toml.Marshal(tree)
}

// parseValue reads a value as TOML and, if it is not valid TOML, as plain text.
func parseValue(text string) any {
	var doc struct{ V any }
	if toml.Unmarshal([]byte("V = "+text), &doc) == nil {
		return doc.V
	}
	return text
}

// setKey sets the key at a path below a TOML node.
func setKey(node any, path []string, value any) error {
	last := len(path) == 1
	switch node := node.(type) {
	case map[string]any:
		if last {
			node[path[0]] = value
			return nil
		}
		if node[path[0]] == nil {
			node[path[0]] = map[string]any{}
		}
		return setKey(node[path[0]], path[1:], value)
	case []any:
		i := slices.IndexFunc(node, func(x any) bool {
			m, ok := x.(map[string]any)
			return ok && m["name"] == path[0]
		})
		if n, err := strconv.Atoi(path[0]); i < 0 && err == nil {
			i = n
		}
		if i < 0 || i >= len(node) {
			return fmt.Errorf("%q is neither the name nor the index of a member of the list", path[0])
		}
		if last {
			node[i] = value
			return nil
		}
		return setKey(node[i], path[1:], value)
	}
	return fmt.Errorf("%q is below a plain value, expected a table or a list", path[0])
}

// Text returns the plan as an experiment file that Parse reads.
func (p *Plan) Text() ([]byte, error) { return toml.Marshal(p) }
