package timekeeper

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// maxReadings is the number of times that the clocks are read if the process is held up
// between them.
const maxReadings = 3

// machine is the source of the clocks of the machine.
type machine struct{ start time.Time }

// Now implements source.
func (m *machine) Now() (monotonic, wall time.Duration) {
	now := time.Now()
	return now.Sub(m.start), now.Round(0).Sub(m.start.Round(0))
}

// Suspended implements source. It returns what the boot clock is ahead of the monotonic one.
func (m *machine) Suspended() (time.Duration, error) {
	var suspended time.Duration
	for range maxReadings {
		before, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, errors.Wrap(err, "reading monotonic clock")
		}
		boot, err := read(unix.CLOCK_BOOTTIME)
		if err != nil {
			return 0, errors.Wrap(err, "reading boot clock")
		}
		after, err := read(unix.CLOCK_MONOTONIC)
		if err != nil {
			return 0, errors.Wrap(err, "reading monotonic clock")
		}
		if suspended = boot - after; after-before < stepThreshold {
			break
		}
	}
	return suspended, nil
}

func read(clock int32) (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
