//go:build !faults

package main

import "log/slog"

// bug is the one that a build with the tag faults was told to have.
func bug() string { return "" }

func level() slog.Level { return slog.LevelInfo }
