// Package http1 parses HTTP/1.1 messages incrementally. It does no I/O. A parser consumes what it can of the
// bytes that a connection has buffered and leaves an unfinished line in that buffer, so that the result is the
// same however the bytes are split. A message that two parsers could frame differently is refused: behind a
// proxy that frames it the other way, a second request could be smuggled in the first.
package http1

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Limits bounds one message, in bytes where it does not say otherwise.
type Limits struct {
	Head   int // of all lines before the body; also of all trailers
	Body   int // of the body without chunk framing
	Fields int // header fields, a number; 0: as many as Head allows
}

// Error says why a message is refused.
type Error struct {
	Status int    // the HTTP status to answer a client with
	Reason string // goes out as the body of that answer
}

func (e *Error) Error() string { return e.Reason }

// malformed is the error of a message that breaks HTTP's syntax.
func malformed(reason string) error { return &Error{400, reason} }

// Field is one header field, its name in lower case.
type Field struct {
	Name  string `json:"Name"` // the tags keep the stored form of a response
	Value string `json:"Value"`
}

// Fields are the header fields of one message, in order.
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

// Has reports whether a field whose value is a comma-separated list contains this word, in any case.
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

// state is the part of a message that the parser expects next. Its numbers go into the saved form of a
// response, so they must not change.
type state int

const (
	firstLine state = iota // the request line or status line
	headerFields
	sizedBody // a body with a Content-Length
	chunkSize // the line with a chunk's size
	chunkData
	chunkEnd // the CRLF after a chunk's data
	trailers
	bodyUntilClose // a body that ends where the connection does
	done
)

// message is what requests and responses have in common.
type message struct {
	limits       Limits
	state        state
	scanned      int // bytes of the unfinished line in which no LF was found yet
	headBytes    int // bytes of lines since the start of the message, or of the last chunk size
	remaining    int // bytes of the sized body or chunk still to come
	bodyBytes    int // bytes of the body so far
	minorVersion int // the x of HTTP/1.x
	fields       Fields
	textBytes    int // memory of the strings of the first line and of fields
	body         []byte
}

const (
	fieldBytes  = 32 // memory of a Field without its strings' bytes
	stringBytes = 16 // what an allocation takes on top of a string's bytes, at the most on the mean
)

// HeldBytes is about how much memory the parsed part of the message takes, in bytes.
func (m *message) HeldBytes() int { return m.textBytes + cap(m.fields)*fieldBytes + cap(m.body) }

// Fields returns the header fields.
func (m *message) Fields() Fields { return m.fields }

// Body returns the bytes of the body that were parsed and not dropped by Response.DiscardBody.
func (m *message) Body() []byte { return m.body }

// HeadComplete reports whether all header fields were parsed.
func (m *message) HeadComplete() bool { return m.state > headerFields }

// Complete reports whether the message is complete.
func (m *message) Complete() bool { return m.state == done }

// Started reports whether any byte of the message was seen.
func (m *message) Started() bool { return m.state != firstLine || m.scanned > 0 }

func (m *message) reset(l Limits) { *m = message{limits: l} }

// closesConnection reports whether the connection is to be closed after this message: it says so, or it is
// HTTP/1.0.
func (m *message) closesConnection() bool {
	return m.fields.Has("connection", "close") || m.minorVersion == 0
}

// readLine returns the first line of buf without its CRLF and the number of bytes it takes with it, or n = 0 if
// the line is not complete. A bare LF or CR is refused: parsers differ on whether it ends a line.
func (m *message) readLine(buf []byte) (text []byte, n int, err error) {
	i := bytes.IndexByte(buf[min(m.scanned, len(buf)):], '\n')
	if i < 0 {
		if m.scanned = len(buf); m.headBytes+m.scanned > m.limits.Head {
			return nil, 0, &Error{431, "head too large"}
		}
		return nil, 0, nil
	}
	n = m.scanned + i + 1
	m.scanned = 0
	if m.headBytes += n; m.headBytes > m.limits.Head {
		return nil, 0, &Error{431, "head too large"}
	}
	if n < 2 || buf[n-2] != '\r' {
		return nil, 0, malformed("line ended by a bare LF")
	}
	text = buf[:n-2]
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return nil, 0, malformed("control character in the head")
		}
	}
	return text, n, nil
}

// feed parses what it can of buf and returns how many bytes it used. parseFirstLine handles the first line;
// startBody is called at the end of the header fields and sets the state for the body that they announce.
func (m *message) feed(buf []byte, parseFirstLine func(string) error, startBody func() error) (used int, err error) {
	for m.state != done {
		rest := buf[used:]
		switch m.state {
		case sizedBody, chunkData, bodyUntilClose:
			k := len(rest)
			if m.state != bodyUntilClose {
				k = min(k, m.remaining)
			}
			if m.bodyBytes += k; m.bodyBytes > m.limits.Body {
				return used, &Error{413, "body too large"}
			}
			m.appendBody(rest[:k])
			used += k
			m.remaining -= k
			if m.state == bodyUntilClose || m.remaining > 0 {
				return used, nil
			}
			if m.state == chunkData {
				m.state = chunkEnd
			} else {
				m.state = done
			}
		default:
			text, n, err := m.readLine(rest)
			if err != nil || n == 0 {
				return used, err
			}
			used += n
			if err := m.parseLine(string(text), parseFirstLine, startBody); err != nil {
				return used, err
			}
		}
	}
	return used, nil
}

// appendBody adds bytes to the body. They are part of what is still to come by m.remaining.
func (m *message) appendBody(b []byte) {
	if need := len(m.body) + len(b); need > cap(m.body) {
		// Twofold growth leaves less garbage than the body has bytes, however small its pieces are. It ends where the body does.
		most := max(m.limits.Body, need)
		if m.state == sizedBody {
			most = len(m.body) + m.remaining
		}
		grown := slices.Grow([]byte(nil), min(max(need, 2*cap(m.body)), most)) // with the capacity that the allocator gives in any case
		m.body = append(grown, m.body...)
	}
	m.body = append(m.body, b...)
}

// parseLine handles one line outside of body data.
func (m *message) parseLine(text string, parseFirstLine func(string) error, startBody func() error) error {
	switch m.state {
	case firstLine:
		if text == "" && m.headBytes <= 4 {
			return nil // some clients send an extra CRLF after a body
		}
		m.state = headerFields
		m.textBytes += len(text) + stringBytes
		return parseFirstLine(text)
	case headerFields:
		if text == "" {
			return startBody()
		}
		return m.parseField(text)
	case chunkSize:
		size, _, _ := strings.Cut(text, ";")
		n, ok := parseDigits(strings.TrimRight(size, " \t"), 16)
		if !ok {
			return malformed("bad chunk size")
		}
		if n > m.limits.Body-m.bodyBytes {
			return &Error{413, "body too large"}
		}
		// The number of chunks is bounded by the body limit alone: their size lines don't add up towards the head limit.
		m.headBytes = 0
		if m.remaining, m.state = n, chunkData; n == 0 {
			m.state = trailers
		}
	case chunkEnd:
		if text != "" {
			return malformed("chunk longer than its size")
		}
		m.state = chunkSize
	case trailers:
		if text == "" {
			m.state = done
		}
	}
	return nil
}

// tokenPunctuation are the characters other than letters and digits that a token may have (RFC 9110, 5.6.2).
const tokenPunctuation = "!#$%&'*+-.^_`|~"

// isToken reports whether s is a token, as methods and field names must be.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			strings.IndexByte(tokenPunctuation, c) >= 0) {
			return false
		}
	}
	return s != ""
}

// parseDigits parses a number of base 10 or 16 made of digits alone: a sign, which strconv accepts, and spaces
// are refused. The result is capped at 1<<40, above all limits, instead of overflowing.
func parseDigits(s string, base int) (n int, ok bool) {
	for i := range len(s) {
		d := strings.IndexByte("0123456789abcdef", s[i]|0x20)
		if d < 0 || d >= base || s[i] < '0' {
			return 0, false
		}
		n = min(n*base+d, 1<<40)
	}
	return n, s != ""
}

// parseField adds one header field.
func (m *message) parseField(text string) error {
	name, value, ok := strings.Cut(text, ":")
	if !ok || !isToken(name) { // this also refuses a folded line, and a space before the colon
		return malformed("bad header field")
	}
	if m.limits.Fields > 0 && len(m.fields) >= m.limits.Fields {
		return &Error{431, "too many header fields"}
	}
	m.textBytes += len(text) + len(name) + 2*stringBytes // the name in lower case is a string of its own
	m.fields = append(m.fields, Field{strings.ToLower(name), strings.Trim(value, " \t")})
	return nil
}

// bodyLength returns how the header fields frame the body: its length in bytes, or chunked, or n = -1 if they
// don't say.
func (m *message) bodyLength() (n int, chunked bool, err error) {
	n = -1
	hasTransferEncoding := false
	for _, f := range m.fields {
		switch f.Name {
		case "content-length":
			v, ok := parseDigits(f.Value, 10)
			if !ok || n >= 0 {
				return 0, false, malformed("bad or repeated Content-Length")
			}
			n = v
		case "transfer-encoding":
			if hasTransferEncoding {
				return 0, false, malformed("repeated Transfer-Encoding")
			}
			if hasTransferEncoding = true; !strings.EqualFold(f.Value, "chunked") {
				return 0, false, &Error{501, "transfer coding is not known"}
			}
		}
	}
	if hasTransferEncoding && (n >= 0 || m.minorVersion == 0) {
		return 0, false, malformed("both Content-Length and Transfer-Encoding, or chunks in HTTP/1.0")
	}
	return n, hasTransferEncoding, nil
}

// expectBody sets the state for a body of n bytes or in chunks; for n = -1 the state becomes unframed.
func (m *message) expectBody(n int, chunked bool, unframed state) error {
	switch {
	case chunked:
		m.state, m.headBytes = chunkSize, 0
	case n > m.limits.Body:
		return &Error{413, "body too large"}
	case n > 0:
		m.state, m.remaining = sizedBody, n
	case n == 0:
		m.state = done
	default:
		m.state = unframed
	}
	return nil
}

// parseVersion parses the HTTP version of a request line or status line.
func (m *message) parseVersion(v string) error {
	switch v {
	case "HTTP/1.1":
		m.minorVersion = 1
	case "HTTP/1.0":
		m.minorVersion = 0
	default:
		if strings.HasPrefix(v, "HTTP/") && len(v) == len("HTTP/1.1") {
			return &Error{505, "version is not spoken here"}
		}
		return malformed("bad version")
	}
	return nil
}

// Request is the incremental parser of a request, and the part of it that was parsed.
type Request struct {
	message
	Method, Target string
}

// Reset prepares the parser for the next request.
func (r *Request) Reset(l Limits) {
	r.reset(l)
	r.Method, r.Target = "", ""
}

// Feed parses what it can of buf and returns how many bytes it used. The caller passes the rest again, followed
// by the bytes that came since.
func (r *Request) Feed(buf []byte) (int, error) { return r.feed(buf, r.parseFirstLine, r.startBody) }

// Close reports whether the connection is to be closed after the answer: the client asked for it, or speaks
// HTTP/1.0.
func (r *Request) Close() bool { return r.closesConnection() }

func (r *Request) parseFirstLine(text string) error {
	parts := strings.Split(text, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || parts[1][0] != '/' && parts[1] != "*" ||
		strings.ContainsFunc(parts[1], func(c rune) bool { return c <= ' ' || c > '~' }) {
		return malformed("bad request line") // workers can't parse a target with bytes other than printable ASCII
	}
	r.Method, r.Target = parts[0], parts[1]
	return r.parseVersion(parts[2])
}

func (r *Request) startBody() error {
	hosts := 0
	for _, f := range r.fields {
		if f.Name == "host" {
			hosts++
		}
	}
	if hosts > 1 || hosts == 0 && r.minorVersion == 1 {
		return malformed("Host is missing or repeated")
	}
	n, chunked, err := r.bodyLength()
	if err != nil {
		return err
	}
	return r.expectBody(n, chunked, done)
}

// Response is the incremental parser of a response, and the part of it that was parsed. Its body may be consumed
// piece by piece.
type Response struct {
	message
	Status int
}

// Reset prepares the parser for the next response.
func (r *Response) Reset(l Limits) {
	r.reset(l)
	r.Status = 0
}

// Feed parses what it can of buf and returns how many bytes it used, as Request.Feed does.
func (r *Response) Feed(buf []byte) (int, error) { return r.feed(buf, r.parseFirstLine, r.startBody) }

// DiscardBody drops the first n bytes of Body.
func (r *Response) DiscardBody(n int) { r.body = append(r.body[:0], r.body[n:]...) }

// ConnectionEnded is called when the connection has ended, and reports whether the response is complete.
func (r *Response) ConnectionEnded() bool {
	if r.state == bodyUntilClose {
		r.state = done
	}
	return r.state == done
}

// Reusable reports whether another request may be sent on the connection.
func (r *Response) Reusable() bool { return r.Complete() && !r.closesConnection() }

// savedResponse is the stored form of a Response, read by another process, possibly of another build. An
// unfinished line is not part of it: that is still in the connection's buffer.
type savedResponse struct {
	State        int    `json:"State"` // a state
	HeadBytes    int    `json:"Lines"`
	Remaining    int    `json:"Left"`
	BodyBytes    int    `json:"Size"`
	MinorVersion int    `json:"Minor"`
	Status       int    `json:"Status"`
	Fields       Fields `json:"Fields"`
	Body         []byte `json:"Body"`
}

// Save encodes the parser's state as JSON, so that another process can parse the rest of the response.
func (r *Response) Save() ([]byte, error) {
	return json.Marshal(savedResponse{int(r.state), r.headBytes, r.remaining, r.bodyBytes, r.minorVersion, r.Status,
		r.fields, r.body})
}

// Restore sets the parser to a state that Save encoded.
func (r *Response) Restore(raw []byte, l Limits) error {
	var saved savedResponse
	if err := json.Unmarshal(raw, &saved); err != nil {
		return err
	}
	if saved.State < int(firstLine) || saved.State > int(done) || saved.HeadBytes < 0 || saved.Remaining < 0 ||
		saved.BodyBytes < 0 {
		return malformed(fmt.Sprintf("saved response: state %d, want %d to %d; Lines, Left and Size %d, %d and %d bytes, want at least 0",
			saved.State, firstLine, done, saved.HeadBytes, saved.Remaining, saved.BodyBytes))
	}
	r.Reset(l)
	r.state, r.headBytes, r.remaining, r.bodyBytes, r.minorVersion =
		state(saved.State), saved.HeadBytes, saved.Remaining, saved.BodyBytes, saved.MinorVersion
	r.Status, r.fields, r.body = saved.Status, saved.Fields, saved.Body
	return nil
}

func (r *Response) parseFirstLine(text string) error {
	version, rest, _ := strings.Cut(text, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, ok := parseDigits(code, 10)
	if !ok || len(code) != 3 || n < 100 {
		return malformed("bad status line")
	}
	r.Status = n
	return r.parseVersion(version)
}

func (r *Response) startBody() error {
	n, chunked, err := r.bodyLength()
	if err != nil {
		return err
	}
	if r.Status < 200 {
		r.Reset(r.limits) // an interim response: the final one follows
		return nil
	}
	if r.Status == 204 || r.Status == 304 {
		r.state = done
		return nil
	}
	if n < 0 && !chunked {
		r.fields = append(r.fields, Field{"connection", "close"})
	}
	return r.expectBody(n, chunked, bodyUntilClose)
}
