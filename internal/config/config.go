// Package config reads the configuration of an initiator from the environment, the platform's JSON and the operator's file.
// A configuration is read at startup, on SIGHUP, and for each version in the configuration store. If a field is missing or
// invalid, the configuration is rejected with an error that names the field.
package config

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	jsoniter "github.com/json-iterator/go"

	"dapplegate/internal/endpoints"
	"dapplegate/scheduler"
)

// Environment variables. All except EnvConfigFile override fields of the configuration file.
const (
	// EnvConfigFile holds the path of the configuration file.
	EnvConfigFile = "PROXY_CONFIG"
	// EnvName holds the initiator's name.
	EnvName      = "PROXY_NAME"
	envListen    = "PROXY_LISTEN"
	envDiscovery = "PROXY_DISCOVERY"
)

const (
	// openCallsLimit bounds MaxOpenCalls even if the settings allow more, because each open call may hold a request body.
	openCallsLimit         = 4000
	dialTimeoutLimit       = 250 * time.Millisecond
	defaultConnIdleTimeout = 30 * time.Second
)

// Config is the validated configuration of one initiator.
type Config struct {
	// Name identifies this initiator; required.
	Name string
	// Listen is the host:port where clients connect; required.
	Listen string
	// Discovery is the host:port of the discovery service; required.
	Discovery string
	// Seed is the seed of the scheduler's random choices, which makes them reproducible; default: taken from the clock.
	Seed uint64
	// Limits are the resources available to the process. The bounds on connections and memory are derived from them.
	Limits Limits
	// KnownEndpoints is the endpoint list of an earlier run, used until discovery responds; nil: none.
	KnownEndpoints *endpoints.List
	// Scheduler holds the scheduler's settings; required.
	Scheduler scheduler.Settings
	// MaxOpenCalls is the maximum number of requests that are queued or in flight at one time; default and upper bound 4000.
	MaxOpenCalls int
	// ConnIdleTimeout is how long a target keeps an idle connection open; default 30 s. The initiator closes it earlier.
	ConnIdleTimeout time.Duration
	// DialTimeout is how long an attempt waits for a new connection to its target; default and upper bound 250 ms. The dial
	// may continue in the background and take up to eight times as long.
	DialTimeout time.Duration
}

// configFile is the JSON form of a configuration, with the platform's field names.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // 64 bits in hexadecimal
	Limits    Limits          `json:"limits"`
	Known     *endpoints.List `json:"known"`
	Settings  *WireSettings   `json:"settings"`
}

// Load reads and validates the JSON file named by PROXY_CONFIG. If PROXY_NAME, PROXY_LISTEN or PROXY_DISCOVERY is set, it
// overrides the field of the file. An absent or invalid field or variable is reported as a *FieldError. JSON that is
// malformed or has a field of the wrong type is reported as another error.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(EnvConfigFile)
	if path == "" {
		return nil, MissingField(EnvConfigFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{Field: EnvConfigFile, Err: err}
	}
	return Parse(raw, getenv)
}

// Reload is Load for a process that has received SIGHUP. From the first SIGHUP on, the address of discovery comes from the
// file instead of PROXY_DISCOVERY, and a file without it is rejected: the environment dates from the start of the process,
// whereas the file may have been replaced since.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
}

// Parse decodes and validates a configuration in JSON. The environment overrides fields as in Load. Unknown fields are
// ignored. The errors are those of Load.
func Parse(raw []byte, getenv func(string) string) (*Config, error) {
	var file configFile
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(raw, &file); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	file.applyEnvironment(getenv)
	if err := file.validate(); err != nil {
		return nil, err
	}
	return file.config()
}

// applyEnvironment overrides the fields for which the environment has a value.
func (f *configFile) applyEnvironment(getenv func(string) string) {
	for variable, field := range map[string]*string{EnvName: &f.Name, envListen: &f.Listen, envDiscovery: &f.Discovery} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
}

// validate checks all fields except the seed and the contents of the settings, and applies the default limits. The config
// method checks the rest.
func (f *configFile) validate() error {
	if f.Name == "" {
		return MissingField("name")
	}
	if err := checkAddress("listen", f.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", f.Discovery); err != nil {
		return err
	}
	if f.Known != nil {
		if err := f.Known.Validate(); err != nil {
			return &FieldError{Field: "known", Err: err}
		}
	}
	if err := f.Limits.validate(); err != nil {
		return PrefixField("limits", err)
	}
	f.Limits.applyDefaults()
	if f.Settings == nil {
		return MissingField("settings")
	}
	return nil
}

// config converts a file that validate has accepted. It calls scheduler.New only to validate the settings.
func (f *configFile) config() (*Config, error) {
	seed, err := parseSeed(f.Seed)
	if err != nil {
		return nil, err
	}
	settings, err := f.Settings.SchedulerSettings()
	if err != nil {
		return nil, PrefixField("settings", err)
	}
	if _, err := scheduler.New(settings, seed); err != nil {
		return nil, PrefixField("settings", err)
	}
	limits := f.Settings.Limits
	return &Config{
		Name:            f.Name,
		Listen:          f.Listen,
		Discovery:       f.Discovery,
		Seed:            seed,
		Limits:          f.Limits,
		KnownEndpoints:  f.Known,
		Scheduler:       settings,
		MaxOpenCalls:    min(positiveOr(limits.MostHeld, openCallsLimit), openCallsLimit),
		ConnIdleTimeout: positiveOr(Microseconds(limits.ConnIdleUs), defaultConnIdleTimeout),
		DialTimeout:     min(positiveOr(Microseconds(limits.DialTimeoutUs), dialTimeoutLimit), dialTimeoutLimit),
	}, nil
}

// NoEnvironment is an environment without variables, for Parse.
func NoEnvironment(string) string { return "" }

// FileEnvironment returns an environment in which only the path of the configuration file is set, for Load.
func FileEnvironment(path string) func(name string) string {
	return func(name string) string {
		if name == EnvConfigFile {
			return path
		}
		return ""
	}
}

// SharedDiscovery reports whether all initiators poll one discovery service, which serves their polls one after the other,
// so that the polls must be spread over time. On the platform, this is the case if the endpoint list must be requested.
func (c *Config) SharedDiscovery() bool { return c.Scheduler.WatchEndpoints }

// ClassNames returns the set of the names of the configured classes.
func (c *Config) ClassNames() map[string]bool {
	names := map[string]bool{}
	for _, class := range c.Scheduler.Classes {
		names[class.Name] = true
	}
	return names
}

// ClassDeadlines returns the deadline of each class by name: how long its clients wait for a response.
func (c *Config) ClassDeadlines() map[string]time.Duration {
	deadlines := map[string]time.Duration{}
	for _, class := range c.Scheduler.Classes {
		deadlines[class.Name] = class.Deadline
	}
	return deadlines
}

// MaxDeadline returns the longest deadline of any class.
func (c *Config) MaxDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Scheduler.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// PlanNames returns the set of the names of the configured plans.
func (c *Config) PlanNames() map[string]bool {
	names := map[string]bool{}
	for _, plan := range c.Scheduler.Plans {
		names[plan.Name] = true
	}
	return names
}

// checkAddress checks the address in a required field. The error is a *FieldError; an absent address is reported as
// ErrMissing.
func checkAddress(field, address string) error {
	if address == "" {
		return MissingField(field)
	}
	if err := checkHostPort(address); err != nil {
		return &FieldError{Field: field, Err: err}
	}
	return nil
}

// checkHostPort returns an error unless address is a host:port with a numeric port other than 0.
func checkHostPort(address string) error {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return err
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return fmt.Errorf("port %q is not a number from 1 to 65535", port)
	}
	return nil
}

// parseSeed parses a 64-bit seed in hexadecimal. For an empty text it returns a seed from the clock.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return uint64(time.Now().UnixNano()), nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fieldError("seed", "%q is not a hexadecimal number of 64 bits", text)
	}
	return seed, nil
}

// positiveOr returns value if it is positive, and fallback otherwise.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
