package batch

// pressureWeight is the weight of the newest request in the share of those turned
// away: about the last 30 requests of a model at one node, some seconds.
const pressureWeight = 0.03

// Pressure follows the share of requests that are turned away.
type Pressure struct{ refused float64 }

// Note takes whether a request was turned away.
func (p *Pressure) Note(refused bool) {
	newest := 0.0
	if refused {
		newest = 1
	}
	p.refused += pressureWeight * (newest - p.refused)
}

// Refused is the share of requests turned away lately, 0 to 1.
func (p *Pressure) Refused() float64 { return p.refused }
