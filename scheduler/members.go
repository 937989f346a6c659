package scheduler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"shalebeam/balance"
)

// Discovery's answers are decoded as they stand. A decoder that makes do with a name that comes twice, half a surrogate pair or bytes
// that are not UTF-8 would choose one of two values or put another character there, and a worker could be taken for another one or
// a drain be missed.

// lenient lets a scan pass over text that is not valid, so that it is judged where it is used.
var lenient = []jsontext.Options{jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true)}

// decodeList decodes an answer of discovery. Its members are decoded one by one, in decodeMembers: one that is malformed does not
// spoil the others.
func decodeList(raw []byte) (list memberList, err error) {
	decoder := jsontext.NewDecoder(bytes.NewReader(raw), lenient...)
	seen := map[string]bool{}
	err = eachField(decoder, func(name string) error {
		if seen[name] {
			return fmt.Errorf("list has %q twice", name)
		}
		seen[name] = true
		switch name {
		case "seq":
			return json.UnmarshalDecode(decoder, &list.Seq)
		case "whole":
			return json.UnmarshalDecode(decoder, &list.Whole)
		case "hosts":
			list.Hosts, err = readArray(decoder)
			return err
		}
		return decoder.SkipValue()
	})
	if err == nil {
		err = expectEnd(decoder)
	}
	if err == nil && list.Seq == nil {
		err = fmt.Errorf("list has no seq")
	}
	return list, err
}

// eachField calls read for each name of an object, to read its value.
func eachField(decoder *jsontext.Decoder, read func(name string) error) error {
	if kind := decoder.PeekKind(); kind != '{' {
		if _, err := decoder.ReadToken(); err != nil {
			return err
		}
		return fmt.Errorf("not a JSON object")
	}
	if _, err := decoder.ReadToken(); err != nil {
		return err
	}
	for decoder.PeekKind() == '"' {
		name, err := decoder.ReadToken()
		if err != nil {
			return err
		}
		if err := read(name.String()); err != nil {
			return err
		}
	}
	_, err := decoder.ReadToken() // the end of the object
	return err
}

// readArray returns the elements of an array, or none of null.
func readArray(decoder *jsontext.Decoder) (all []jsontext.Value, err error) {
	begin, err := decoder.ReadToken()
	if err != nil || begin.Kind() == 'n' {
		return nil, err
	}
	if begin.Kind() != '[' {
		return nil, fmt.Errorf("hosts is not an array")
	}
	for decoder.PeekKind() != ']' {
		element, err := decoder.ReadValue()
		if err != nil {
			return nil, err
		}
		all = append(all, element.Clone())
	}
	_, err = decoder.ReadToken()
	return all, err
}

// expectEnd returns an error if anything but space is left.
func expectEnd(decoder *jsontext.Decoder) error {
	_, err := decoder.ReadToken()
	switch {
	case err == nil:
		return fmt.Errorf("something follows the list")
	case errors.Is(err, io.EOF):
		return nil
	}
	return err
}

// decodedMember is one entry of discovery's list. If it is malformed, err says why, and member has no more than the host.
type decodedMember struct {
	member member
	err    error
}

// decodeMembers decodes and checks the entries of a list. A malformed one that names several hosts counts for each of them.
func decodeMembers(hosts []jsontext.Value) []decodedMember {
	all := make([]decodedMember, 0, len(hosts))
	for _, raw := range hosts {
		m, err := decodeMember(raw)
		if err == nil || m.Host != "" {
			all = append(all, decodedMember{m, err})
			continue
		}
		unknown := member{Block: balance.UnknownPlace} // its zone has no name, and so is not known either
		names := hostsNamedIn(raw)
		for _, unknown.Host = range names {
			all = append(all, decodedMember{unknown, err})
		}
		if len(names) == 0 {
			all = append(all, decodedMember{unknown, err})
		}
	}
	return all
}

// decodeMember decodes and checks one entry. If it can't be decoded, the member has no host.
func decodeMember(raw jsontext.Value) (m member, err error) {
	if err = json.Unmarshal(raw, &m); err != nil {
		return member{}, err
	}
	if m.Host == "" {
		return m, fmt.Errorf("member has no host")
	}
	if _, badAddr := netip.ParseAddrPort(m.Dial); badAddr != nil && m.Health != "terminated" {
		return m, fmt.Errorf("dial: %w", badAddr)
	}
	return m, nil
}

// hostsNamedIn returns the hosts that an entry names, which could not be decoded.
func hostsNamedIn(raw jsontext.Value) (hosts []string) {
	decoder := jsontext.NewDecoder(bytes.NewReader(raw), lenient...)
	// After an error in the entry the hosts that were read before it are known all the same.
	_ = eachField(decoder, func(name string) error {
		if name != "host" || decoder.PeekKind() != '"' {
			return decoder.SkipValue()
		}
		host, err := decoder.ReadToken()
		if err == nil && host.String() != "" && !slices.Contains(hosts, host.String()) {
			hosts = append(hosts, host.String())
		}
		return err
	})
	return hosts
}
