package scheduler

import (
	"math"
	"time"
)

const (
	// minShareFraction is the lower bound of an initiator's share, as a fraction of an equal share.
	minShareFraction = 0.5
	// usageReportLifetime is how many periods a usage report remains valid.
	usageReportLifetime = 5
	// usageReportGain is the weight of a usage report in the moving average.
	usageReportGain = 0.3
	// localRatePeriods is the time constant of the local service rate, in periods of the usage reports.
	localRatePeriods = 2
	// minRate, in units per second, keeps divisions by a rate finite.
	minRate = 1e-3
)

// serviceRates holds the rates at which a volume's requests are served, here and over all initiators, in
// units per second.
type serviceRates struct {
	local    float64 // by this initiator, as of localAt; decays
	localAt  time.Duration
	global   float64 // by all initiators, from usage reports
	globalAt time.Duration
}

// localAfterDecay is the current local rate.
func (u *serviceRates) localAfterDecay(now, period time.Duration) float64 {
	timeConstant := localRatePeriods * period.Seconds()
	return u.local * math.Exp(-(now-u.localAt).Seconds()/timeConstant)
}

// recordLocal records units that were served here.
func (u *serviceRates) recordLocal(now, period time.Duration, units float64) {
	u.local = u.localAfterDecay(now, period) + units/(localRatePeriods*period.Seconds())
	u.localAt = now
}

// recordGlobal adds the rate of a usage report to the moving average.
func (u *serviceRates) recordGlobal(now time.Duration, rate float64) {
	if u.globalAt == 0 {
		u.global = rate
	}
	u.global += (rate - u.global) * usageReportGain
	u.globalAt = now
}

// isGlobalKnown reports whether the last usage report is recent and the global rate is positive. If the
// period is 0, there are no reports.
func (u *serviceRates) isGlobalKnown(now, period time.Duration) bool {
	return period > 0 && u.globalAt > 0 && now-u.globalAt < usageReportLifetime*period && u.global > 0
}

// recordUsage records units of the volume that were served here, and the volume's usage over all
// initiators as the response reported it: 1 + percent of the provisioned rate, or 0 if there is no
// report.
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

// localShare is the fraction of the volume's service that this initiator provides, 0 to 1. It is measured
// if usage reports are recent, and otherwise an equal share.
func (s *Scheduler) localShare(v *volume) float64 {
	period := s.settings.UsageReportPeriod
	if !v.usage.isGlobalKnown(s.now, period) {
		return 1 / v.initiators
	}
	return min(1, max(minShareFraction/v.initiators, v.usage.localAfterDecay(s.now, period)/v.usage.global))
}
