package main

import "time"

// class is a class of requests in the settings.
type class struct {
	name          string
	aim, deadline time.Duration
	effect, group string
	window        time.Duration
	worth         float64
}

// storeClasses are the classes of the site cardiff-store.
func storeClasses() []class {
	return []class{
		{"file-read", 200 * time.Millisecond, 1200 * time.Millisecond, "pure", "all", 5 * time.Second, 2},
		{"file-write", 300 * time.Millisecond, 2 * time.Second, "pure", "all", 5 * time.Second, 2},
		{"bulk-export", 1500 * time.Millisecond, 5 * time.Second, "pure", "all", 5 * time.Second, 1},
	}
}

// settings returns the settings of a small deployment. Their figures are those of the example in the page WIRE.
func settings(initiators, shards int, classes []class) map[string]any {
	var wireClasses []map[string]any
	var writes []bool
	for _, c := range classes {
		wireClasses = append(wireClasses, map[string]any{"name": c.name, "promiseUs": c.aim.Microseconds(),
			"deadlineUs": c.deadline.Microseconds(), "effect": c.effect, "group": c.group, "windowUs": c.window.Microseconds(),
			"worth": c.worth, "lateWorth": 0.2, "streaming": false})
		writes = append(writes, c.name == "file-write")
	}
	plan := func(name string, rate, reservation, pays float64) map[string]any {
		return map[string]any{"name": name, "usualRate": rate, "reservation": reservation, "parts": 1.0, "pays": pays,
			"ceilingRate": 0.0, "limitBurst": 0.0, "tolerance": 0.0}
	}
	return map[string]any{
		"peersTotal": initiators, "index": 0, "stage": 0, "tiers": []string{"design-store"}, "tickUs": 2000,
		"classes":   wireClasses,
		"clients":   map[string]any{"marksRetry": false},
		"contracts": []any{plan("standard", 41, 20, 0.8), plan("priority", 61, 49, 0.9), plan("express", 120, 140, 1.5)},
		"extra": map[string]any{"coldBears": 38.0, "countsOthers": false, "fairWorth": 0.35, "idleWorth": 0.1, "largest": 6,
			"meanUnits": 1.98, "meteringUs": 0, "nShards": shards, "writes": writes},
		"limits": map[string]any{"cancelling": true, "connIdleUs": 30000000, "dialTimeoutUs": 250000,
			"maxRetryAfterUs": 1000000, "mostHeld": 26666, "parallelTries": true, "peers": true, "probes": true,
			"retryAfter": false, "sendCap": 3, "streamsPerConn": 100},
		"kinds": []string{"node-std", "node-slow"}, "localities": []string{"treforest"}, "myZone": "treforest",
		"registryMode": "pushed",
		"report":       map[string]any{"fields": []string{"load_share", "mean_ms"}, "how": "answers"},
		"rules": map[string]any{"answerSlackUs": 8000, "askWithinUs": 10000000, "coldShare": 0.21, "drainGraceUs": 1000000,
			"fallUs": 3000000, "tipMultiple": 4.0, "warmWithinUs": 18000000},
		"weightKind": "nominal",
	}
}
