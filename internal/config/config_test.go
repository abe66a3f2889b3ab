package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"dapplegate/internal/propertytest"
)

func TestMain(m *testing.M) { propertytest.Main(m) }

// validConfig is a configuration as the platform writes it, with one unknown field.
const validConfig = `{"name":"n3","listen":"127.0.0.1:8080","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"surprise":1,
 "known":{"version":41,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","cell":0,"state":"SERVING"}]},
 "settings":{"peersTotal":3,"tickUs":2000,"classes":[{"name":"position-read","promiseUs":150000,"deadlineUs":750000,
 "effect":"pure","worth":3},{"name":"event-write","promiseUs":200000,"deadlineUs":1200000,"effect":"side_effect","worth":2},
 {"name":"history-export","promiseUs":750000,"deadlineUs":2500000,"effect":"pure","worth":1}],
 "contracts":[{"name":"standard","usualRate":13,"reservation":13,"parts":3,"pays":0.9}],
 "limits":{"sendCap":3,"mostHeld":20000,"connIdleUs":30000000,"dialTimeoutUs":250000}}}`

// TestParse parses a valid configuration. The environment must override a field, and MaxOpenCalls must be lowered to
// openCallsLimit. The bounds on connections must not need more descriptors than the configuration allows.
func TestParse(t *testing.T) {
	c, err := Parse([]byte(validConfig), func(name string) string {
		return map[string]string{"PROXY_LISTEN": "127.0.0.2:8081"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	if c.Listen != "127.0.0.2:8081" || c.Seed != 0x8c1f30d27a5be964 || c.DialTimeout != 250*time.Millisecond ||
		c.MaxOpenCalls != openCallsLimit || len(c.Scheduler.Classes) != 3 || *c.KnownEndpoints.Version != 41 {
		t.Errorf("parsed as %+v", c)
	}
	// The reserved descriptors include those of connections that are accepted only to reject one request.
	if total := c.MaxClientConns() + c.MaxTargetConns() + reservedDescriptors; total > c.Limits.Sockets {
		t.Errorf("%d descriptors in total, limit %d", total, c.Limits.Sockets)
	}
}

// TestInvalidFieldIsNamed checks that the error for a configuration that cannot be served contains the path of the field.
func TestInvalidFieldIsNamed(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{validConfig, "nonsense", "configuration:"},
		{`"name":"n3",`, "", "name: required"},
		{`"listen":"127.0.0.1:8080",`, "", "listen: required"},
		{"127.0.0.1:8080", "127.0.0.1", "listen:"},
		{"127.0.0.1:8080", "127.0.0.1:0", "listen: port"},
		{"127.0.0.1:8500", "127.0.0.1:99999", "discovery: port"},
		{"8c1f30d27a5be964", "tomorrow", "seed:"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"},
		{`"memory_mb":192`, `"memory_mb":-1`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets"},
		{`"sockets":1024`, `"sockets":"many"`, "sockets"},
		{`"state":"SERVING"`, `"state":"ODD"`, "known: list: servers[0].state"},
		{`"settings":`, `"other":`, "settings: required"},
		{`"peersTotal":3,`, "", "peersTotal: required"},
		{`"effect":"side_effect"`, `"effect":"odd"`, "classes[1].effect"},
		{`"promiseUs":150000`, `"promiseUs":0`, `class "position-read" needs a latency objective`},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)), NoEnvironment)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("replaced by %.30q: error %v, want one that contains %q", c.new, err, c.want)
		}
	}
	for _, env := range []string{"", filepath.Join(t.TempDir(), "absent")} {
		if _, err := Load(func(string) string { return env }); err == nil || !strings.Contains(err.Error(), "PROXY_CONFIG") {
			t.Errorf("PROXY_CONFIG=%q: error %v does not name the variable", env, err)
		}
	}
}

// TestParseDamaged parses a truncated configuration, one with a changed byte, and random bytes. Parse must reject every
// truncated configuration, return either a configuration or an error for the others, and never panic.
func TestParseDamaged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truncated := validConfig[:rapid.IntRange(0, len(validConfig)-1).Draw(t, "length")]
		if c, err := Parse([]byte(truncated), NoEnvironment); err == nil {
			t.Fatalf("truncated configuration %q was accepted as %+v", truncated, c)
		}
		damaged := []byte(validConfig)
		damaged[rapid.IntRange(0, len(damaged)-1).Draw(t, "at")] = rapid.Byte().Draw(t, "byte")
		garbage := rapid.SliceOf(rapid.Byte()).Draw(t, "garbage")
		for _, input := range [][]byte{damaged, garbage} {
			if c, err := Parse(input, NoEnvironment); (c == nil) == (err == nil) {
				t.Fatalf("%q: configuration %+v with error %v", input, c, err)
			}
		}
	})
}

// TestFieldError checks what a caller can rely on: errors.As finds the path of the field, and errors.Is finds ErrMissing if
// the field is absent.
func TestFieldError(t *testing.T) {
	for _, c := range []struct {
		old, new, field string
		missing         bool
	}{
		{`"name":"n3",`, "", "name", true},
		{`"listen":"127.0.0.1:8080",`, "", "listen", true},
		{"127.0.0.1:8500", "127.0.0.1:99999", "discovery", false},
		{`"sockets":1024`, `"sockets":3`, "limits.sockets", false},
		{`"settings":`, `"other":`, "settings", true},
		{`"peersTotal":3,`, "", "settings.peersTotal", true},
		{`"effect":"pure"`, `"effect":"odd"`, "settings.classes[0].effect", false},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, c.old, c.new, 1)), NoEnvironment)
		var field *FieldError
		if !errors.As(err, &field) || field.Field != c.field || errors.Is(err, ErrMissing) != c.missing {
			t.Errorf("replaced by %q: error %v, want field %q, missing %v", c.new, err, c.field, c.missing)
		}
	}
}

// TestOperatorFile reads deploy/nvme.toml, first as it is and then with one field at a time made invalid. The error must
// contain the path of the invalid field.
func TestOperatorFile(t *testing.T) {
	platform, err := Parse([]byte(validConfig), NoEnvironment)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile("../../deploy/nvme.toml")
	if err != nil {
		t.Fatal(err)
	}
	readText := func(text string) (*OperatorFile, error) {
		path := filepath.Join(t.TempDir(), "operator.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return ReadOperatorFile(path, platform)
	}
	operator, err := readText(string(raw))
	if err != nil {
		t.Fatal(err)
	}
	deadlines := platform.ClassDeadlines()
	if len(operator.NVMe.Namespaces) != 1 || deadlines["event-write"] != 1200*time.Millisecond {
		t.Errorf("%d namespaces, want 1; deadlines %v, want 1.2 s for event-write", len(operator.NVMe.Namespaces), deadlines)
	}
	if operator.NVMe.HostIdentifier()[0] != 0x5f || operator.NVMe.KeepAliveTimeout() != 5*time.Second {
		t.Errorf("host identifier %x, want 5f first; keep-alive timeout %v, want 5 s",
			operator.NVMe.HostIdentifier(), operator.NVMe.KeepAliveTimeout())
	}
	for _, c := range []struct{ old, new, want string }{
		{"listen", "lisen", "nvme.lisen: unknown field"},
		{"127.0.0.1:4420", "here", "nvme.listen"},
		{"127.0.0.1:4420", platform.Listen, "nvme.listen: " + platform.Listen + " is already the address of health checks"},
		{`host_id = "5f`, `host_id = "zz`, "nvme.host_id"},
		{"queue_depth = 64", "queue_depth = 1", "nvme.queue_depth"},
		{"keep_alive_ms = 5000", "keep_alive_ms = 5", "nvme.keep_alive_ms"},
		{`plan = "standard"`, `plan = "odd"`, "nvme.namespace[0].plan"},
		{`write = "event-write"`, `write = "odd"`, "nvme.namespace[0].write"},
		{"block_bytes = 512", "block_bytes = 700", "nvme.namespace[0].block_bytes"},
		{"shards = [0, 1, 2, 3]", "shards = []", "nvme.namespace[0].shards"},
		{"bulk_blocks = 64", "bulk_blocks = 0", "nvme.namespace[0].bulk_blocks"},
		{"00000003b4d60021", "volume", "nvme.namespace[0].volume"},
	} {
		_, err := readText(strings.Replace(string(raw), c.old, c.new, 1))
		var field *FieldError
		if !errors.As(err, &field) || !strings.Contains(err.Error(), c.want) {
			t.Errorf("replaced by %q: error %v, want a FieldError that contains %q", c.new, err, c.want)
		}
	}
}
