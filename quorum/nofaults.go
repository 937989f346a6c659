//go:build !faults

package quorum

// wrapDisk returns d as it is; a build with the tag faults puts a disk with injected faults around it.
func wrapDisk(d Disk) Disk { return d }

// wrapClock returns c as it is; a build with the tag faults puts a clock with injected faults around it.
func wrapClock(c Clock) Clock { return c }

// WallClock returns the same clock as NewClock. In a build with the tag faults it is a wall clock, for a planted bug.
func WallClock() Clock { return NewClock() }
