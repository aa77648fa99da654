package tpusage

import "time"

// maxClockDifference is the difference from the time of the region up to which a
// node keeps its own time.
const maxClockDifference = 250 * time.Millisecond

// Clock numbers the windows. Window k begins k times Length after the start of
// 1970. It reads the wall clock once, because wall clocks jump.
type Clock struct {
	Length time.Duration // of a window
	Wall   time.Time     // of the wall clock at Start
	Start  time.Time     // of the monotonic clock that all other times are of
	Offset time.Duration // time of the region minus that of the own clock
}

// Own returns the time of the own clock, without Offset.
func (c *Clock) Own(now time.Time) time.Time { return c.Wall.Add(now.Sub(c.Start)) }

// Window returns the number of the window at time now.
func (c *Clock) Window(now time.Time) int64 {
	return c.Own(now).Add(c.Offset).UnixNano() / int64(c.Length)
}

// SinceEnd returns the time that has passed at time now since the end of a
// window. It is negative while the window is open.
func (c *Clock) SinceEnd(now time.Time, window int64) time.Duration {
	return time.Duration(c.Own(now).Add(c.Offset).UnixNano() - (window+1)*int64(c.Length))
}

// Correct sets the offset if it differs by more than maxClockDifference from the
// one in use.
func (c *Clock) Correct(offset time.Duration) {
	if (offset - c.Offset).Abs() > maxClockDifference {
		c.Offset = offset
	}
}
