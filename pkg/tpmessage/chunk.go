package tpmessage

// Chunk is one numbered part of the answer to a request. The last chunk has
// either End or Refusal set.
type Chunk struct {
	RequestID string
	Number    int // from 0, without gaps
	Text      string
	Tokens    int
	Status    int      // HTTP status of a plain service's answer, otherwise 0
	End       bool     // this chunk completes the answer
	Refusal   *Refusal // set on the last chunk of a failed answer
}

// Last reports whether c is the last chunk of its answer.
func (c *Chunk) Last() bool { return c.End || c.Refusal != nil }
