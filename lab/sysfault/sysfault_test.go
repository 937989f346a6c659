//go:build linux

package sysfault

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const echoVariable = "SYSFAULT_TEST_ECHO"

func TestMain(m *testing.M) {
	Launch()
	if addr := os.Getenv(echoVariable); addr != "" {
		if err := echo(addr); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// echo is the program under test: on several connections it sends back what it reads, while the garbage collector runs all the
// time, so that the runtime's signals interrupt system calls.
func echo(addr string) error {
	go func() {
		for {
			runtime.GC()
		}
	}()
	ended := make(chan error)
	for range echoConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		go func() {
			_, err := io.Copy(struct{ io.Writer }{c}, struct{ io.Reader }{c})
			c.Close()
			ended <- err
		}()
	}
	for range echoConns {
		if err := <-ended; err != nil {
			return err
		}
	}
	return nil
}

const echoConns = 4

// Guards against short reads and writes that lose, duplicate or change bytes of a stream, also while signals interrupt both the
// traced process and this one.
func TestShortReadsAndWritesKeepTheStream(t *testing.T) {
	for name, rules := range map[string][]Rule{
		"short reads":  {{Call: Read, Kind: Sockets, Short: 11}},
		"short writes": {{Call: Write, Kind: Sockets, Short: 11}},
		"interrupted":  {{Call: Read, Kind: Sockets, Errno: unix.EINTR, Every: 2}, {Call: Write, Kind: Sockets, Short: 7}},
	} {
		t.Run(name, func(t *testing.T) { checkEcho(t, rules) })
	}
}

// checkEcho runs echo under these rules and checks that each connection gets its bytes back, and that the rules were applied.
func checkEcho(t *testing.T, rules []Rule) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), echoVariable+"="+listener.Addr().String())
	cmd.Stderr = os.Stderr
	tracer, err := Start(cmd, os.Args[0], []Call{Read, Write}, rules...)
	if err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	done := make(chan error, echoConns)
	for range echoConns {
		c, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.SetDeadline(time.Now().Add(time.Minute))
		go func() { done <- roundTrip(c) }()
	}
	for range echoConns {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Error(err)
	}
	if tracer.Applied() < 1000 {
		t.Errorf("rules were applied to %d calls, expected at least 1000", tracer.Applied())
	}
}

// roundTrip sends numbers over a connection and checks that they come back complete and in order.
func roundTrip(c net.Conn) error {
	defer c.Close()
	const numbers = 4000
	go func() {
		for i := range numbers {
			fmt.Fprintf(c, "%08d\n", i)
		}
		c.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	if err != nil {
		return err
	}
	for i := range numbers {
		want := fmt.Sprintf("%08d\n", i)
		if at := i * len(want); at+len(want) > len(got) || string(got[at:at+len(want)]) != want {
			return fmt.Errorf("echoed number %d of %d: got %.40q, expected %q", i, numbers, got[min(at, len(got)):], want)
		}
	}
	return nil
}
