//go:build !faults

package scheduler

// planted tells whether a bug was planted, in a build with the tag faults alone: the lab shows that it is found.
func planted(string) bool { return false }
