package tpmessage

// Chunk is one numbered part of the answer to a request.
type Chunk struct {
	RequestID string
	Number    int // from 0, without gaps
	Text      string
	Tokens    int
	Status    int      // HTTP status of a plain service's answer, else 0
	End       bool     // the answer is complete with this chunk
	Refusal   *Refusal // set on the last chunk of an answer that failed
}

// Last reports whether no chunk follows.
func (c *Chunk) Last() bool { return c.End || c.Refusal != nil }
