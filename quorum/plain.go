//go:build !faults

package quorum

// wrap is where a build with the tag faults puts its failing disk.
func wrap(d Disk) Disk { return d }

func wrapClock(c Clock) Clock { return c }

// WallClock is there for a bug that the lab plants.
func WallClock() Clock { return NewClock() }
