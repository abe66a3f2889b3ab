package endpoints

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplegate/internal/propertytest"
	"dapplegate/scheduler"
)

func TestMain(m *testing.M) { propertytest.Main(m) }

const entryJSON = `{"id":"a","addr":"127.0.0.1:1","zone":"z","kind":"k","cell":3,"state":"SERVING","weight":1.0,"started_ms":7}`

func listJSON(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%v,"servers":[%s]}`, version, complete, strings.Join(entries, ","))
}

// TestFieldErrors checks that the error for an invalid list names the invalid field.
func TestFieldErrors(t *testing.T) {
	for _, c := range []struct{ name, in, field, want string }{
		{"no version", `{"full":true,"servers":[]}`, "version", "version is missing"},
		{"no id", listJSON(1, true, strings.Replace(entryJSON, `"id":"a",`, "", 1)), "servers[0].id", "servers[0].id"},
		{"no cell", listJSON(1, true, entryJSON, strings.Replace(entryJSON, `"cell":3,`, "", 1)), "servers[1].cell", "servers[1].cell"},
		{"unknown state", listJSON(1, true, strings.Replace(entryJSON, "SERVING", "ODD", 1)), "servers[0].state", `unknown state "ODD"`},
		{"no port", listJSON(1, true, strings.Replace(entryJSON, "127.0.0.1:1", "here", 1)), "servers[0].addr", "servers[0].addr"},
	} {
		_, err := Decode([]byte(c.in))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != c.field || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want %q for field %s", c.name, err, c.want, c.field)
		}
	}
}

// TestDecode decodes a list of changes, in which the entry of a removed target has only its ID and state.
func TestDecode(t *testing.T) {
	list, err := Decode([]byte(listJSON(1, false, entryJSON, `{"id":"b","state":"DELETED"}`)))
	if err != nil {
		t.Fatal(err)
	}
	const startedAt = 5 * time.Second // in scheduler time
	want := scheduler.Target{ID: "a", Zone: "z", Shard: 3, StartedAt: startedAt}
	if got := list.Entries[0].Target(startedAt); got != want {
		t.Errorf("target %+v, want %+v", got, want)
	}
	if got := list.Entries[0].StartedMs; got != 7 {
		t.Errorf("StartedMs is %d, want 7", got)
	}
	if got := list.Entries[1].Target(0); got.State != scheduler.Removed {
		t.Errorf("target of the removed entry %+v, want state Removed", got)
	}
}

// TestTruncatedLists checks that a valid list is rejected if it is truncated at any point, and that random input does
// not make Decode panic.
func TestTruncatedLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete := listJSON(rapid.IntRange(0, 99).Draw(t, "version"), rapid.Bool().Draw(t, "full"), entryJSON, entryJSON)
		if _, err := Decode([]byte(complete)); err != nil {
			t.Fatal(err)
		}
		truncated := complete[:rapid.IntRange(0, len(complete)-1).Draw(t, "cut")]
		if list, err := Decode([]byte(truncated)); err == nil {
			t.Fatalf("truncated list %q was decoded as %+v", truncated, list)
		}
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")) // must not panic
	})
}
