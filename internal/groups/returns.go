package groups

import (
	"math"
	"time"
)

// recoveryModel estimates when all lost VMs of a group are back: with
// returnProbability they return by themselves after exponentially distributed
// times, otherwise they are replaced after repairTime. The longer the VMs have
// been missing, the lower the probability that they return by themselves.
type recoveryModel struct {
	returnProbability float64
	// meanReturn is the mean time in seconds until all are back if they return
	// by themselves.
	meanReturn float64
	// repairTime is the time in seconds until lost VMs are replaced.
	repairTime float64
}

// recoveryModel returns the model for a group whose VMs have been missing for
// the additional time on top of what they are missing now.
func (d *decision) recoveryModel(inc incomplete, additional time.Duration) recoveryModel {
	e := d.in.Estimates
	model := recoveryModel{repairTime: e.RepairTime.Seconds()}
	if inc.empty > 0 {
		return model
	}
	missing := (inc.longestMissing + additional).Seconds()
	stillReturning := e.ReturnProbability * math.Exp(-missing/e.ReturnTime.Seconds())
	model.returnProbability = math.Pow(stillReturning/(stillReturning+1-e.ReturnProbability), float64(len(inc.lost)))
	for n := range inc.lost {
		model.meanReturn += e.ReturnTime.Seconds() / float64(n+1)
	}
	return model
}

// meanDowntime returns the expected time in seconds until all VMs are back.
func (m recoveryModel) meanDowntime() float64 {
	return m.returnProbability*m.meanReturn + (1-m.returnProbability)*m.repairTime
}

// probabilityMissing returns the probability that some VMs are still missing
// after the given time.
func (m recoveryModel) probabilityMissing(after time.Duration) float64 {
	t := after.Seconds()
	if t >= m.repairTime {
		return 0
	}
	if m.meanReturn == 0 {
		return 1
	}
	return m.returnProbability*math.Exp(-t/m.meanReturn) + 1 - m.returnProbability
}

// expectedDowntime returns the expected time in seconds until all VMs are back,
// counting no more than limit.
func (m recoveryModel) expectedDowntime(limit time.Duration) float64 {
	t := min(limit.Seconds(), m.repairTime)
	byReturn := 0.0
	if m.meanReturn > 0 {
		byReturn = m.returnProbability * m.meanReturn * (1 - math.Exp(-t/m.meanReturn))
	}
	return byReturn + (1-m.returnProbability)*t
}
