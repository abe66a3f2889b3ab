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

// Environment variables that are read. Those other than EnvConfigFile replace fields of the configuration file.
const (
	// EnvConfigFile holds the path of the configuration file.
	EnvConfigFile = "PROXY_CONFIG"
	// EnvName holds the initiator's name.
	EnvName      = "PROXY_NAME"
	envListen    = "PROXY_LISTEN"
	envDiscovery = "PROXY_DISCOVERY"
)

const (
	// openCallsLimit bounds MaxOpenCalls where the settings allow more, since each open call may hold a request body.
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
	// Seed makes the scheduler's random choices reproducible; default: taken from the clock.
	Seed uint64
	// Limits are the resources that the machine grants the process. The bounds on connections and memory derive from them.
	Limits Limits
	// KnownEndpoints is the endpoint list of an earlier run, used until discovery answers; nil: none.
	KnownEndpoints *endpoints.List
	// Scheduler holds the settings of the decisions; required.
	Scheduler scheduler.Settings
	// MaxOpenCalls is the number of requests that may be queued or in flight at one time; default and upper bound 4000.
	MaxOpenCalls int
	// ConnIdleTimeout is how long a target keeps an unused connection open; default 30 s. The initiator closes it earlier.
	ConnIdleTimeout time.Duration
	// DialTimeout is how long an attempt waits for a new connection to its target; default and upper bound 250 ms. The dial
	// itself may take eight times as long.
	DialTimeout time.Duration
}

// configFile is the JSON form of a configuration, under the platform's field names.
type configFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"` // 64 bits in hexadecimal
	Limits    Limits          `json:"limits"`
	Known     *endpoints.List `json:"known"`
	Settings  *WireSettings   `json:"settings"`
}

// Load reads and validates the JSON file that PROXY_CONFIG names. PROXY_NAME, PROXY_LISTEN and PROXY_DISCOVERY, where set,
// replace the fields of the file. Errors about a field or a variable are FieldErrors.
func Load(getenv func(string) string) (*Config, error) {
	path := getenv(EnvConfigFile)
	if path == "" {
		return nil, Missing(EnvConfigFile)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, &FieldError{Field: EnvConfigFile, Err: err}
	}
	return Parse(raw, getenv)
}

// Reload is Load for a process that got SIGHUP. From the first SIGHUP on the file's address of discovery counts, not
// PROXY_DISCOVERY, and a file without one is rejected: the environment dates from the start of the process, the file may have
// been replaced since.
func Reload(getenv func(string) string) (*Config, error) {
	return Load(func(name string) string {
		if name == envDiscovery {
			return ""
		}
		return getenv(name)
	})
}

// Parse validates a configuration in JSON, with the environment's replacements as in Load. Unknown fields are skipped.
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

// applyEnvironment replaces the fields for which the environment has a value.
func (f *configFile) applyEnvironment(getenv func(string) string) {
	for variable, field := range map[string]*string{EnvName: &f.Name, envListen: &f.Listen, envDiscovery: &f.Discovery} {
		if value := getenv(variable); value != "" {
			*field = value
		}
	}
}

// validate checks the fields that are used as they are, and fills in the defaults of the limits.
func (f *configFile) validate() error {
	if f.Name == "" {
		return Missing("name")
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
		return Under("limits", err)
	}
	f.Limits.applyDefaults()
	if f.Settings == nil {
		return Missing("settings")
	}
	return nil
}

// config converts a valid file. The scheduler validates its own settings.
func (f *configFile) config() (*Config, error) {
	seed, err := parseSeed(f.Seed)
	if err != nil {
		return nil, err
	}
	settings, err := f.Settings.SchedulerSettings()
	if err != nil {
		return nil, Under("settings", err)
	}
	if _, err := scheduler.New(settings, seed); err != nil {
		return nil, Under("settings", err)
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

// NoEnvironment is an environment without any variable, for Parse.
func NoEnvironment(string) string { return "" }

// FileEnvironment returns an environment that has the path of the configuration file alone, for Load.
func FileEnvironment(path string) func(name string) string {
	return func(name string) string {
		if name == EnvConfigFile {
			return path
		}
		return ""
	}
}

// SharedDiscovery reports whether one discovery service serves the polls of all initiators in turn, so that they must be
// spread. On the platform that is so where the endpoint list must be requested.
func (c *Config) SharedDiscovery() bool { return c.Scheduler.WatchEndpoints }

// ClassNames returns the set of configured request classes.
func (c *Config) ClassNames() map[string]bool {
	names := map[string]bool{}
	for _, class := range c.Scheduler.Classes {
		names[class.Name] = true
	}
	return names
}

// ClassDeadlines returns, for each class, how long its clients wait for a response.
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

// PlanNames returns the set of configured plans.
func (c *Config) PlanNames() map[string]bool {
	names := map[string]bool{}
	for _, plan := range c.Scheduler.Plans {
		names[plan.Name] = true
	}
	return names
}

// checkAddress requires a host:port with a numeric port other than 0. An absent address is ErrMissing.
func checkAddress(field, address string) error {
	if address == "" {
		return Missing(field)
	}
	if err := checkHostPort(address); err != nil {
		return &FieldError{Field: field, Err: err}
	}
	return nil
}

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

// parseSeed reads a hexadecimal seed of 64 bits. An empty one is replaced by a seed from the clock.
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

// positiveOr returns value where it is positive, else the fallback.
func positiveOr[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
