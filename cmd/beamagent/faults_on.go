//go:build faults

package main

import (
	"log/slog"
	"os"
)

// injectedFault names the fault that this process has to show in a test, "" for none.
func injectedFault() string { return os.Getenv("SHALEBEAM_BUG") }

// logLevel has each call logged: the lab judges by the log when the owner of a lease acted.
func logLevel() slog.Level { return slog.LevelDebug }
