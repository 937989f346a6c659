//go:build !faults

package scheduler

// faultInjected tells whether a fault is injected. In a build without the tag faults none is.
func faultInjected(string) bool { return false }
