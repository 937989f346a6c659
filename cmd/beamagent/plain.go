//go:build !faults

package main

// bug is the one that a build with the tag faults was told to have.
func bug() string { return "" }
