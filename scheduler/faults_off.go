//go:build !faults

package scheduler

// planted tells whether a fault is injected. In a build without the tag faults none is.
func planted(string) bool { return false }
