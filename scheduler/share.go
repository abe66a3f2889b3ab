package scheduler

import (
	"math"
	"time"
)

const (
	// minShareFraction is the least part of an even share that an initiator is taken to have.
	minShareFraction = 0.5
	// usageReportLifetime is for how many periods a usage report is believed.
	usageReportLifetime = 5
	// usageReportGain is the part by which a usage report moves the average.
	usageReportGain = 0.3
	// localRatePeriods is the time constant of the local service rate, in periods of the usage reports.
	localRatePeriods = 2
	// minRate keeps a division by a rate finite, in units per second.
	minRate = 1e-3
)

// serviceRates is how much of a volume's service was done here and everywhere, in units per second.
type serviceRates struct {
	local    float64 // by this initiator, at localAt; it decays
	localAt  time.Duration
	global   float64 // by all initiators, from usage reports
	globalAt time.Duration
}

// localAfterDecay is the local rate now.
func (u *serviceRates) localAfterDecay(now, period time.Duration) float64 {
	timeConstant := localRatePeriods * period.Seconds()
	return u.local * math.Exp(-(now-u.localAt).Seconds()/timeConstant)
}

// recordLocal notes that units were served here.
func (u *serviceRates) recordLocal(now, period time.Duration, units float64) {
	u.local = u.localAfterDecay(now, period) + units/(localRatePeriods*period.Seconds())
	u.localAt = now
}

// recordGlobal updates the average with the rate of a usage report.
func (u *serviceRates) recordGlobal(now time.Duration, rate float64) {
	if u.globalAt == 0 {
		u.global = rate
	}
	u.global += (rate - u.global) * usageReportGain
	u.globalAt = now
}

// isGlobalKnown reports whether a usage report arrived recently. Without a period there are none.
func (u *serviceRates) isGlobalKnown(now, period time.Duration) bool {
	return period > 0 && u.globalAt > 0 && now-u.globalAt < usageReportLifetime*period && u.global > 0
}

// recordUsage notes that units of the volume were served here, and its usage over all initiators as the
// response reported it: 1 + percent of the provisioned rate, or 0 for nothing.
func (s *Scheduler) recordUsage(v *volume, units float64, reported int) {
	period := s.settings.UsageReportPeriod
	if period <= 0 {
		return
	}
	v.usage.recordLocal(s.now, period, units)
	if reported > 0 {
		v.usage.recordGlobal(s.now, float64(reported-1)/100*v.plan.ProvisionedRate)
	}
}

// localShare is the part of the volume's service that this initiator does, 0 to 1: as far as it is known,
// otherwise an even part.
func (s *Scheduler) localShare(v *volume) float64 {
	period := s.settings.UsageReportPeriod
	if !v.usage.isGlobalKnown(s.now, period) {
		return 1 / v.initiators
	}
	return min(1, max(minShareFraction/v.initiators, v.usage.localAfterDecay(s.now, period)/v.usage.global))
}
