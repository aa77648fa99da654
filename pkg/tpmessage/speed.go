package tpmessage

// TargetSpeed holds what a node, or several together, have observed of the speed
// of a target's process. All figures are sums over some ten seconds in which older
// observations count less.
type TargetSpeed struct {
	Process      uint32  // hash of the target's name and start
	ReadMs       float64 // time to read the prompts of finished steps at the reference speed, in milliseconds
	Streams      float64 // number of answers generated
	StreamSpeeds float64 // sum of their speeds, relative to the reference speed
}
