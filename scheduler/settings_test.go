package scheduler

import (
	"errors"
	"testing"
)

// TestNewRejectsInvalidSettings checks that the error of New names the invalid setting.
func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"no class":                func(s *Settings) { s.Classes = nil },
		"no plan":                 func(s *Settings) { s.Plans = nil },
		"no initiator":            func(s *Settings) { s.Initiators = 0 },
		"class without objective": func(s *Settings) { s.Classes[0].LatencyObjective = 0 },
	} {
		settings := testSettings()
		invalidate(&settings)
		_, err := New(settings, 1)
		var settingsError *SettingsError
		if !errors.As(err, &settingsError) || settingsError.Field == "" {
			t.Errorf("%s: New returned error %v, want a *SettingsError with a field", name, err)
		}
	}
}

// TestSettingsAreCopied checks that changes to the slices of the caller do not affect the scheduler.
func TestSettingsAreCopied(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, servingTarget(testTarget, 0))
	settings.Classes[0].LatencyObjective = 0
	settings.Plans[0].ProvisionedRate = 0
	h.step(testRequest("a", "v", 1))
	if h.scheduler.classes["get"].LatencyObjective != 400*ms ||
		h.scheduler.plans["std"].ProvisionedRate != 10 {
		t.Fatal("the scheduler's settings changed with the caller's slices")
	}
}
