// Command benchlink runs the decisions on the bench's wire: a batch a line on standard input, a reply a line
// on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"shalebeam/benchwire"
)

func main() {
	debug.SetGCPercent(400) // instances are small and most garbage is read lines: rarer collection saves CPU
	if err := serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

func serve(in io.Reader, out, errs io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	link := benchwire.New(errs)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			reply, bad := link.Answer(line)
			if bad != nil {
				return fmt.Errorf("line %d: %w", n, bad)
			}
			if _, bad = out.Write(reply); bad != nil {
				return fmt.Errorf("write: %w", bad)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
}
