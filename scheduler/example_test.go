package scheduler_test

import (
	"fmt"
	"time"

	"dapplegate/scheduler"
)

func Example() {
	settings := scheduler.Settings{
		Initiators: 1,
		Tick:       time.Millisecond,
		MeanUnits:  1,
		Classes: []scheduler.Class{{
			Name:             "read",
			LatencyObjective: 400 * time.Millisecond,
			Deadline:         2 * time.Second,
			PriorityWeight:   1,
		}},
		Plans: []scheduler.Plan{{Name: "basic", ProvisionedRate: 10, Reservation: 5, PriorityFactor: 1}},
	}
	s, err := scheduler.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []scheduler.Event{
		scheduler.EndpointList{Complete: true, Targets: []scheduler.Target{{ID: "target-a", Shard: 0}}},
		scheduler.Request{
			ID:         "r1",
			Class:      "read",
			Plan:       "basic",
			Volume:     "v",
			Units:      1,
			Initiators: 1,
			Timeout:    time.Second,
		},
	}
	for _, action := range s.Step(time.Second, events) {
		if action.Kind == scheduler.Send {
			fmt.Println("send", action.RequestID, "to", action.Target)
		}
	}
	// Output: send r1 to target-a
}
