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

// TestFieldErrors checks that the error names the field that cannot be used.
func TestFieldErrors(t *testing.T) {
	for _, c := range []struct{ name, in, field, want string }{
		{"no version", `{"full":true,"servers":[]}`, "version", "version is missing"},
		{"no id", listJSON(1, true, strings.Replace(entryJSON, `"id":"a",`, "", 1)), "servers[0].id", "servers[0].id"},
		{"no cell", listJSON(1, true, entryJSON, strings.Replace(entryJSON, `"cell":3,`, "", 1)), "servers[1].cell", "servers[1].cell"},
		{"odd state", listJSON(1, true, strings.Replace(entryJSON, "SERVING", "ODD", 1)), "servers[0].state", `unknown state "ODD"`},
		{"odd address", listJSON(1, true, strings.Replace(entryJSON, "127.0.0.1:1", "here", 1)), "servers[0].addr", "servers[0].addr"},
	} {
		_, err := Decode([]byte(c.in))
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != c.field || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q of %s", c.name, err, c.want, c.field)
		}
	}
}

// TestDecode reads a list of changes; an entry of a removed target has no more than its ID.
func TestDecode(t *testing.T) {
	list, err := Decode([]byte(listJSON(1, false, entryJSON, `{"id":"b","state":"DELETED"}`)))
	if err != nil {
		t.Fatal(err)
	}
	const started = 5 * time.Second // on the scheduler's clock
	want := scheduler.Target{ID: "a", Zone: "z", Shard: 3, StartedAt: started}
	if got := list.Entries[0].Target(started); got != want {
		t.Errorf("entry %+v, want %+v", got, want)
	}
	if got := list.Entries[0].StartedMs; got != 7 {
		t.Errorf("started_ms is read as %d, want 7", got)
	}
	if got := list.Entries[1].Target(0); got.State != scheduler.Removed {
		t.Errorf("removed entry %+v", got)
	}
}

// TestTruncatedLists cuts a valid list anywhere and feeds garbage: no part passes for a complete one.
func TestTruncatedLists(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		complete := listJSON(rapid.IntRange(0, 99).Draw(t, "version"), rapid.Bool().Draw(t, "full"), entryJSON, entryJSON)
		if _, err := Decode([]byte(complete)); err != nil {
			t.Fatal(err)
		}
		cut := complete[:rapid.IntRange(0, len(complete)-1).Draw(t, "cut")]
		if list, err := Decode([]byte(cut)); err == nil {
			t.Fatalf("%q passed as %+v", cut, list)
		}
		_, _ = Decode(rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")) // must not panic
	})
}
