package tpplace

// ForgetSpeeds makes all targets equally fast until the next loads of the other
// nodes. A placer that forgets after each of them is the naive variant.
func (p *Placer[P]) ForgetSpeeds() {
	for _, t := range p.targets {
		t.factors = factors{read: 1, stream: 1}
	}
}

// Factors returns the times that a target takes to read and to generate, relative
// to its pool.
func (p *Placer[P]) Factors(name string) (read, stream float64) {
	t := p.targets[name]
	return t.factors.read, t.factors.stream
}

// ProcessHash identifies a process in what nodes tell each other of speeds.
var ProcessHash = processHash
