//go:build faults

package scheduler

import "os"

func planted(bug string) bool { return os.Getenv("SHALEBEAM_BUG") == bug }
