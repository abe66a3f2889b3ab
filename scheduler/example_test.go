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
		Classes:    []scheduler.Class{{Name: "read", Aim: 400 * time.Millisecond, Deadline: 2 * time.Second, Worth: 1}},
		Plans:      []scheduler.Plan{{Name: "basic", Rate: 10, Reserve: 5, Price: 1}},
	}
	s, err := scheduler.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	events := []scheduler.Event{
		scheduler.NodeList{Whole: true, Nodes: []scheduler.Node{{ID: "node-a", Shard: 0}}},
		scheduler.Request{ID: "r1", Class: "read", Plan: "basic", Volume: "v", Units: 1, Initiators: 1, Budget: time.Second},
	}
	for _, a := range s.Step(time.Second, events) {
		if a.Kind == scheduler.Send {
			fmt.Println("send", a.Request, "to", a.Node)
		}
	}
	// Output: send r1 to node-a
}
