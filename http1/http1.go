// Package http1 parses HTTP/1.1 messages from bytes as they come. It does no I/O. A parser takes what it can
// use of the bytes that a connection has buffered and leaves an unfinished line where it is, so however the
// bytes are split the result is the same. What two readers could frame differently is refused, since behind a
// front that reads it the other way a second request could hide in the first.
package http1

import (
	"bytes"
	"encoding/json"
	"strings"
)

// Limits bounds one message.
type Limits struct {
	Head int // of all lines before the body, and of all trailers
	Body int
}

// Error is why a message is refused, with the status that tells a client so.
type Error struct {
	Status int
	Reason string
}

func (e *Error) Error() string { return e.Reason }

func bad(reason string) error { return &Error{400, reason} }

// Field is one header field, its name in lower case.
type Field struct{ Name, Value string }

// Fields are those of one message, in order.
type Fields []Field

// Get returns the first value of a field, by its name in lower case.
func (f Fields) Get(name string) (string, bool) {
	for _, x := range f {
		if x.Name == name {
			return x.Value, true
		}
	}
	return "", false
}

// Has tells whether a field that is a list of words holds this one.
func (f Fields) Has(name, word string) bool {
	for _, x := range f {
		if x.Name != name {
			continue
		}
		for v := range strings.SplitSeq(x.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(v), word) {
				return true
			}
		}
	}
	return false
}

type state int

const (
	start     state = iota // the first line
	head                   // header fields
	sized                  // a body of known length
	chunkSize              // the line before a chunk
	chunk
	chunkEnd // the line end after a chunk
	trailer
	untilEnd // a body that ends with the connection
	done
)

// message is what requests and responses have in common.
type message struct {
	limits Limits
	state  state
	seen   int // bytes of the unfinished line that were looked at before
	lines  int // bytes of lines so far
	left   int // bytes of the body or chunk still to come
	size   int // of the body so far
	minor  int // HTTP/1.minor
	fields Fields
	body   []byte
}

// Fields returns the header fields.
func (m *message) Fields() Fields { return m.fields }

// Body returns what has come of the body and was not taken.
func (m *message) Body() []byte { return m.body }

// HeadDone tells whether all header fields have come.
func (m *message) HeadDone() bool { return m.state > head }

// Done tells whether the message is whole.
func (m *message) Done() bool { return m.state == done }

// Begun tells whether anything of the message has come.
func (m *message) Begun() bool { return m.state != start || m.seen > 0 }

func (m *message) reset(l Limits) { *m = message{limits: l} }

// close tells whether the connection ends after this message.
func (m *message) close() bool {
	return m.fields.Has("connection", "close") || m.minor == 0
}

// line takes one line, ended by CRLF. A bare LF or CR is refused: readers differ on whether it ends a line.
func (m *message) line(buf []byte) (text []byte, n int, err error) {
	i := bytes.IndexByte(buf[min(m.seen, len(buf)):], '\n')
	if i < 0 {
		if m.seen = len(buf); m.lines+m.seen > m.limits.Head {
			return nil, 0, &Error{431, "head too large"}
		}
		return nil, 0, nil
	}
	n = m.seen + i + 1
	m.seen = 0
	if m.lines += n; m.lines > m.limits.Head {
		return nil, 0, &Error{431, "head too large"}
	}
	if n < 2 || buf[n-2] != '\r' {
		return nil, 0, bad("line ended by a bare LF")
	}
	text = buf[:n-2]
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, 0, bad("control character in the head")
		}
	}
	return text, n, nil
}

// feed takes what it can of buf and returns how much. first reads the first line, framing what the head says
// of the body.
func (m *message) feed(buf []byte, first func(string) error, framing func() error) (used int, err error) {
	for m.state != done {
		rest := buf[used:]
		switch m.state {
		case sized, chunk, untilEnd:
			k := len(rest)
			if m.state != untilEnd {
				k = min(k, m.left)
			}
			if m.size += k; m.size > m.limits.Body {
				return used, &Error{413, "body too large"}
			}
			m.body = append(m.body, rest[:k]...)
			used += k
			m.left -= k
			if m.state == untilEnd || m.left > 0 {
				return used, nil
			}
			if m.state == chunk {
				m.state = chunkEnd
			} else {
				m.state = done
			}
		default:
			text, n, err := m.line(rest)
			if err != nil || n == 0 {
				return used, err
			}
			used += n
			if err := m.take(string(text), first, framing); err != nil {
				return used, err
			}
		}
	}
	return used, nil
}

func (m *message) take(text string, first func(string) error, framing func() error) error {
	switch m.state {
	case start:
		if text == "" && m.lines <= 4 {
			return nil // some clients end a body with a line end too many
		}
		m.state = head
		return first(text)
	case head:
		if text == "" {
			return framing()
		}
		return m.field(text)
	case chunkSize:
		size, _, _ := strings.Cut(text, ";")
		n, ok := number(strings.TrimRight(size, " \t"), 16)
		if !ok {
			return bad("bad chunk size")
		}
		if n > m.limits.Body-m.size {
			return &Error{413, "body too large"}
		}
		// Chunks of any number are fine as long as the body is, so their lines do not add up.
		m.lines = 0
		if m.left, m.state = n, chunk; n == 0 {
			m.state = trailer
		}
	case chunkEnd:
		if text != "" {
			return bad("chunk longer than its size")
		}
		m.state = chunkSize
	case trailer:
		if text == "" {
			m.state = done
		}
	}
	return nil
}

const tokenMarks = "!#$%&'*+-.^_`|~"

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			strings.IndexByte(tokenMarks, c) >= 0) {
			return false
		}
	}
	return s != ""
}

// number reads digits alone: no sign and no space, which strconv's readers take. One beyond all limits stays
// there.
func number(s string, base int) (n int, ok bool) {
	for i := range len(s) {
		d := strings.IndexByte("0123456789abcdef", s[i]|0x20)
		if d < 0 || d >= base || s[i] < '0' {
			return 0, false
		}
		n = min(n*base+d, 1<<40)
	}
	return n, s != ""
}

func (m *message) field(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok || !token(name) { // so a folded line and a space before the colon are refused too
		return bad("bad header field")
	}
	m.fields = append(m.fields, Field{strings.ToLower(name), strings.Trim(value, " \t")})
	return nil
}

// length works out how the body is framed: 0 or more bytes, or in chunks, or (-1) not told.
func (m *message) length() (n int, chunked bool, err error) {
	n = -1
	coded := false
	for _, f := range m.fields {
		switch f.Name {
		case "content-length":
			v, ok := number(f.Value, 10)
			if !ok || n >= 0 {
				return 0, false, bad("bad or repeated Content-Length")
			}
			n = v
		case "transfer-encoding":
			if coded {
				return 0, false, bad("repeated Transfer-Encoding")
			}
			if coded = true; !strings.EqualFold(f.Value, "chunked") {
				return 0, false, &Error{501, "transfer coding is not known"}
			}
		}
	}
	if coded && (n >= 0 || m.minor == 0) {
		return 0, false, bad("both Content-Length and Transfer-Encoding, or chunks in HTTP/1.0")
	}
	return n, coded, nil
}

// expect sets the state for a body framed so.
func (m *message) expect(n int, chunked bool, none state) error {
	switch {
	case chunked:
		m.state, m.lines = chunkSize, 0
	case n > m.limits.Body:
		return &Error{413, "body too large"}
	case n > 0:
		m.state, m.left = sized, n
	case n == 0:
		m.state = done
	default:
		m.state = none
	}
	return nil
}

func (m *message) version(v string) error {
	switch v {
	case "HTTP/1.1":
		m.minor = 1
	case "HTTP/1.0":
		m.minor = 0
	default:
		if strings.HasPrefix(v, "HTTP/") && len(v) == len("HTTP/1.1") {
			return &Error{505, "version is not spoken here"}
		}
		return bad("bad version")
	}
	return nil
}

// Request is a request as it comes in.
type Request struct {
	message
	Method, Target string
}

// Reset makes the parser ready for the next request.
func (r *Request) Reset(l Limits) {
	r.reset(l)
	r.Method, r.Target = "", ""
}

// Feed takes what it can of buf and returns how much; the rest is to be given again, with more behind it.
func (r *Request) Feed(buf []byte) (int, error) { return r.feed(buf, r.first, r.framing) }

// Close tells whether the client wants the connection closed after the answer.
func (r *Request) Close() bool { return r.close() }

func (r *Request) first(text string) error {
	part := strings.Split(text, " ")
	if len(part) != 3 || !token(part[0]) || part[1] == "" || part[1][0] != '/' && part[1] != "*" ||
		strings.ContainsFunc(part[1], func(c rune) bool { return c <= ' ' || c > '~' }) {
		return bad("bad request line") // a target of other bytes is one that workers can't read
	}
	r.Method, r.Target = part[0], part[1]
	return r.version(part[2])
}

func (r *Request) framing() error {
	hosts := 0
	for _, f := range r.fields {
		if f.Name == "host" {
			hosts++
		}
	}
	if hosts > 1 || hosts == 0 && r.minor == 1 {
		return bad("Host is missing or repeated")
	}
	n, chunked, err := r.length()
	if err != nil {
		return err
	}
	return r.expect(n, chunked, done)
}

// Response is a response as it comes in. Its body may be taken piece by piece.
type Response struct {
	message
	Status int
}

// Reset makes the parser ready for the next response.
func (r *Response) Reset(l Limits) {
	r.reset(l)
	r.Status = 0
}

// Feed takes what it can of buf and returns how much.
func (r *Response) Feed(buf []byte) (int, error) { return r.feed(buf, r.first, r.framing) }

// Take drops the first n bytes of the body that has come.
func (r *Response) Take(n int) { r.body = append(r.body[:0], r.body[n:]...) }

// End tells that the connection has ended, and returns whether the response is whole.
func (r *Response) End() bool {
	if r.state == untilEnd {
		r.state = done
	}
	return r.state == done
}

// Reusable tells whether another request may follow on the connection.
func (r *Response) Reusable() bool { return r.Done() && !r.close() }

// saved is what a parser has taken in, but for an unfinished line: that is still where it came from.
type saved struct {
	State, Lines, Left, Size, Minor, Status int
	Fields                                  Fields
	Body                                    []byte
}

// Save gives all that the parser has taken in, for another process to go on with.
func (r *Response) Save() ([]byte, error) {
	return json.Marshal(saved{int(r.state), r.lines, r.left, r.size, r.minor, r.Status, r.fields, r.body})
}

// Restore makes the parser go on from there.
func (r *Response) Restore(raw []byte, l Limits) error {
	var in saved
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	if in.State < int(start) || in.State > int(done) || in.Lines < 0 || in.Left < 0 || in.Size < 0 {
		return bad("no parser was in such a state")
	}
	r.Reset(l)
	r.state, r.lines, r.left, r.size, r.minor = state(in.State), in.Lines, in.Left, in.Size, in.Minor
	r.Status, r.fields, r.body = in.Status, in.Fields, in.Body
	return nil
}

func (r *Response) first(text string) error {
	version, rest, _ := strings.Cut(text, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, ok := number(code, 10)
	if !ok || len(code) != 3 || n < 100 {
		return bad("bad status line")
	}
	r.Status = n
	return r.version(version)
}

func (r *Response) framing() error {
	n, chunked, err := r.length()
	if err != nil {
		return err
	}
	if r.Status < 200 {
		r.Reset(r.limits) // an interim response: the real one follows
		return nil
	}
	if r.Status == 204 || r.Status == 304 {
		r.state = done
		return nil
	}
	if n < 0 && !chunked {
		r.fields = append(r.fields, Field{"connection", "close"})
	}
	return r.expect(n, chunked, untilEnd)
}
