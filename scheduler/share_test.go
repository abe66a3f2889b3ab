package scheduler

import (
	"math"
	"testing"
	"time"
)

// TestLocalShare checks the share of one of four initiators in the service of a volume, with a usage
// report every second.
func TestLocalShare(t *testing.T) {
	const now = time.Minute
	for _, c := range []struct {
		name  string
		usage serviceRates
		want  float64
	}{
		{"no report: an equal share", serviceRates{}, 0.25},
		{
			"recent report: the measured share",
			serviceRates{local: 6, localAt: now, global: 10, globalAt: now},
			0.6,
		},
		{
			"at least half of an equal share",
			serviceRates{local: 0.1, localAt: now, global: 10, globalAt: now},
			0.125,
		},
		{"at most everything", serviceRates{local: 30, localAt: now, global: 10, globalAt: now}, 1},
		{
			"old report: an equal share",
			serviceRates{local: 6, localAt: now, global: 10, globalAt: now - 5*time.Second},
			0.25,
		},
	} {
		h := newHarness(t, testSettings())
		h.scheduler.now = now
		v := &volume{plan: &Plan{ProvisionedRate: 10}, initiators: 4, usage: c.usage}
		if got := h.scheduler.localShare(v); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: share %v, want %v", c.name, got, c.want)
		}
	}
}

// TestServiceRatesDecay checks that the local rate falls to 1/e within two periods, and that the first
// usage report sets the global rate.
func TestServiceRatesDecay(t *testing.T) {
	var usage serviceRates
	usage.recordLocal(0, time.Second, 8)
	if usage.local != 4 {
		t.Errorf("local rate %v after 8 units, want 4", usage.local)
	}
	if got, want := usage.localAfterDecay(2*time.Second, time.Second), 4/math.E; math.Abs(got-want) > 1e-9 {
		t.Errorf("local rate %v after two periods, want %v", got, want)
	}
	usage.recordGlobal(time.Second, 20)
	usage.recordGlobal(2*time.Second, 30)
	if math.Abs(usage.global-23) > 1e-9 {
		t.Errorf("global rate %v after reports of 20 and 30, want 23", usage.global)
	}
}
