//go:build faults

package main

import (
	"log/slog"
	"os"
)

func bug() string { return os.Getenv("SHALEBEAM_BUG") }

// level has each call logged: the lab judges by it when an owner acted.
func level() slog.Level { return slog.LevelDebug }
