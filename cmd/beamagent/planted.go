//go:build faults

package main

import "os"

func bug() string { return os.Getenv("SHALEBEAM_BUG") }
