// Command benchlink runs schedulers for the benchmark harness (see package benchwire): it reads a batch of messages a
// line from standard input, and writes a reply a line to standard output.
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
	debug.SetGCPercent(400) // schedulers are small and most garbage is input lines: collecting it less often saves CPU
	if err := serve(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// serve answers batches until the end of the input. Warnings go to errs.
func serve(in io.Reader, out, errs io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	session := benchwire.New(errs)
	for n := 1; ; n++ {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			reply, batchErr := session.Answer(line)
			if batchErr != nil {
				return fmt.Errorf("line %d: %w", n, batchErr)
			}
			if _, batchErr = out.Write(reply); batchErr != nil {
				return fmt.Errorf("write the reply to line %d: %w", n, batchErr)
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
