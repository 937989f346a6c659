//go:build !faults

package main

import "log/slog"

// injectedFault returns the fault that a build with the tag faults has injected; this build has none.
func injectedFault() string { return "" }

func logLevel() slog.Level { return slog.LevelInfo }
