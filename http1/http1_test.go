package http1

import (
	"errors"
	"fmt"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"testing/quick"
)

var limits = Limits{Head: 200, Body: 64}

// whole is all that a parser says of a message, to compare.
type whole struct {
	Line   string
	Fields Fields
	Body   string
	Done   bool
	Close  bool
	Status int // of the refusal
	Left   string
}

// request feeds text cut at the given places, keeping unused bytes as a connection's buffer does.
func request(text string, cuts ...int) (w whole) {
	var r Request
	r.Reset(limits)
	err := feed(text, cuts, r.Feed, &w)
	w.Line, w.Fields, w.Body = r.Method+" "+r.Target, r.Fields(), string(r.Body())
	w.finish(r.Done(), r.Close(), err)
	return w
}

func response(text string, cuts ...int) (w whole) {
	var r Response
	r.Reset(limits)
	err := feed(text, cuts, r.Feed, &w)
	w.Line, w.Fields, w.Body = fmt.Sprint(r.Status), r.Fields(), string(r.Body())
	w.finish(r.Done(), !r.Reusable(), err)
	return w
}

func feed(text string, cuts []int, f func([]byte) (int, error), w *whole) (err error) {
	var buf []byte
	at := 0
	for _, cut := range append(cuts, len(text)) {
		buf = append(buf, text[at:cut]...)
		at = cut
		n := 0
		if n, err = f(buf); err != nil {
			return err
		}
		buf = buf[n:]
	}
	w.Left = string(buf)
	return nil
}

func (w *whole) finish(done, ends bool, err error) {
	w.Done, w.Close = done, done && ends
	var e *Error
	if errors.As(err, &e) {
		*w = whole{Status: e.Status}
	}
}

const (
	host    = "Host: a\r\n"
	get     = "GET / HTTP/1.1\r\n" + host
	post    = "POST / HTTP/1.1\r\n" + host
	chunked = "Transfer-Encoding: chunked\r\n"
)

var requests = []struct {
	text   string
	status int // 0 where it is taken
	body   string
}{
	{"POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\nabc", 0, "abc"},
	{"GET /a?b=c HTTP/1.1\r\n" + host + "\r\n", 0, ""},
	{"\r\nGET / HTTP/1.1\r\n" + host + "\r\n", 0, ""},
	{"GET / HTTP/1.0\r\n\r\n", 0, ""},
	{post + chunked + "\r\n2;x=y\r\nab\r\n1 \r\nc\r\n0\r\nT: u\r\n\r\n", 0, "abc"},
	{post + "Content-Length: 0\r\n\r\n", 0, ""},

	{"GET / HTTP/1.1\r\n\r\n", 400, ""},
	{"GET / HTTP/1.1\r\n" + host + host + "\r\n", 400, ""},
	{"GET / HTTP/1.1\n" + host + "\r\n", 400, ""},
	{"GET / HTTP/1.1\r\nHost: a\rb\r\n\r\n", 400, ""},
	{"GET  / HTTP/1.1\r\n" + host + "\r\n", 400, ""},
	{"GET a HTTP/1.1\r\n" + host + "\r\n", 400, ""},
	{"G@T / HTTP/1.1\r\n" + host + "\r\n", 400, ""},
	{get + "A : b\r\n\r\n", 400, ""},
	{get + "A: b\r\n c\r\n\r\n", 400, ""},
	{get + ": b\r\n\r\n", 400, ""},
	{get + "A: \x00\r\n\r\n", 400, ""},
	{"GET / XTTP/1.1\r\n" + host + "\r\n", 400, ""},
	{"GET / HTTP/2.0\r\n" + host + "\r\n", 505, ""},
	{post + "Content-Length: +1\r\n\r\na", 400, ""},
	{post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400, ""},
	{post + "Content-Length: 1, 1\r\n\r\na", 400, ""},
	{post + "Content-Length: 1\r\n" + chunked + "\r\n0\r\n\r\n", 400, ""},
	{"POST / HTTP/1.0\r\n" + host + chunked + "\r\n0\r\n\r\n", 400, ""},
	{post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501, ""},
	{post + chunked + "\r\n0x1\r\na\r\n0\r\n\r\n", 400, ""},
	{post + chunked + "\r\n1\r\nab\r\n0\r\n\r\n", 400, ""},
	{post + "Content-Length: 65\r\n\r\n", 413, ""},
	{post + "Content-Length: 99999999999999999999\r\n\r\n", 413, ""},
	{post + chunked + "\r\n20\r\n" + strings.Repeat("a", 32) + "\r\n21\r\n", 413, ""},
	{"GET /" + strings.Repeat("a", 200), 431, ""},
	{"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 40), 431, ""},
	{post + chunked + "\r\n0\r\n" + strings.Repeat("A: b\r\n", 40), 431, ""},
}

var responses = []struct {
	text, line, body string
	done, ends       bool
	status           int
}{
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "200", "ab", true, false, 0},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: Close\r\n\r\nab", "200", "ab", true, true, 0},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204\r\n\r\n", "204", "", true, false, 0},
	{"HTTP/1.1 200 OK\r\n" + chunked + "\r\n1\r\na\r\n2\r\nbc\r\n", "200", "abc", false, false, 0},
	{"HTTP/1.1 503 No\r\n\r\nabc", "503", "abc", false, false, 0}, // until the connection ends
	{"HTTP/1.0 500 No\r\nContent-Length: 0\r\n\r\n", "500", "", true, true, 0},
	{"HTTP/1.1 20 OK\r\n\r\n", "", "", false, false, 400},
	{"junk\r\n", "", "", false, false, 400},
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n", "", "", false, false, 400},
	{"HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("a", 65), "", "", false, false, 413},
}

func TestRequests(t *testing.T) {
	for _, c := range requests {
		w := request(c.text)
		if w.Status != c.status || w.Done != (c.status == 0) || w.Body != c.body {
			t.Errorf("%q: %+v", c.text, w)
		}
	}
}

func TestResponses(t *testing.T) {
	for _, c := range responses {
		w := response(c.text)
		if w.Status != c.status || c.status == 0 && (w.Line != c.line || w.Body != c.body || w.Done != c.done ||
			w.Close != c.ends) {
			t.Errorf("%q: %+v", c.text, w)
		}
	}
}

func TestNextRequestIsLeft(t *testing.T) {
	next := "GET /b HTTP/1.1\r\n"
	if w := request(requests[0].text + next); !w.Done || w.Left != next {
		t.Errorf("%+v", w)
	}
}

func TestBodyThatEndsWithTheConnection(t *testing.T) {
	var r Response
	r.Reset(limits)
	if _, err := r.Feed([]byte("HTTP/1.1 503 No\r\nNot-Started: 1\r\n\r\nabc")); err != nil || r.Done() {
		t.Fatal(err)
	}
	if r.Take(2); string(r.Body()) != "c" || !r.End() || r.Reusable() {
		t.Errorf("left %q", r.Body())
	}
	r.Reset(limits)
	if _, err := r.Feed([]byte("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc")); err != nil || r.End() {
		t.Error("a body cut short counts as whole", err)
	}
}

// Any split gives the same result: a byte at a time, and cut at random.
func TestSplits(t *testing.T) {
	same := func(text string, parse func(string, ...int) whole, cuts []int) bool {
		if a, b := parse(text), parse(text, cuts...); !reflect.DeepEqual(a, b) {
			t.Errorf("%q cut at %v: %+v, whole: %+v", text, cuts, b, a)
			return false
		}
		return true
	}
	every := func(text string) (cuts []int) {
		for i := range text {
			cuts = append(cuts, i)
		}
		return cuts
	}
	for _, c := range requests {
		same(c.text, request, every(c.text))
	}
	for _, c := range responses {
		same(c.text, response, every(c.text))
	}
	random := func(seed int64) bool {
		r := rand.New(rand.NewSource(seed))
		text := []byte(requests[r.Intn(len(requests))].text + requests[r.Intn(len(requests))].text)
		for range r.Intn(3) {
			text[r.Intn(len(text))] = "\r\n\t :,0aZ\x00\xff"[r.Intn(11)]
		}
		cuts := []int{r.Intn(len(text) + 1), r.Intn(len(text) + 1)}
		if cuts[0] > cuts[1] {
			cuts[0], cuts[1] = cuts[1], cuts[0]
		}
		return same(string(text), request, cuts) && same(string(text), response, cuts)
	}
	if err := quick.Check(random, &quick.Config{MaxCount: 5000}); err != nil {
		t.Error(err)
	}
}

func FuzzSplits(f *testing.F) {
	for _, c := range requests {
		f.Add(c.text, uint16(len(c.text)/2))
	}
	for _, c := range responses {
		f.Add(c.text, uint16(len(c.text)/3))
	}
	f.Fuzz(func(t *testing.T, text string, at uint16) {
		cut := min(int(at), len(text))
		if a, b := request(text), request(text, cut); !reflect.DeepEqual(a, b) {
			t.Errorf("request: %+v, cut: %+v", a, b)
		}
		if a, b := response(text), response(text, cut); !reflect.DeepEqual(a, b) {
			t.Errorf("response: %+v, cut: %+v", a, b)
		}
	})
}

// However a response is cut, another process goes on with it as if it had read all.
func TestSaveAndRestore(t *testing.T) {
	const text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n8;x=y\r\n, world!\r\n0\r\nT: u\r\n\r\n"
	for cut := range len(text) {
		var a, b Response
		a.Reset(Limits{1000, 1000})
		n, err := a.Feed([]byte(text[:cut]))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := a.Save()
		if err != nil {
			t.Fatal(err)
		}
		if err := b.Restore(raw, Limits{1000, 1000}); err != nil {
			t.Fatal(err)
		}
		if _, err := b.Feed([]byte(text[n:])); err != nil || !b.Done() || string(b.Body()) != "hello, world!" ||
			b.Status != 200 || !b.Reusable() {
			t.Errorf("cut at %d: %v, done %t, body %q, status %d", cut, err, b.Done(), b.Body(), b.Status)
		}
	}
	for _, raw := range []string{"", "7", `{"State":99}`, `{"State":3,"Left":-1}`} {
		var r Response
		if err := r.Restore([]byte(raw), Limits{1000, 1000}); err == nil {
			t.Errorf("%q was taken", raw)
		}
	}
}
