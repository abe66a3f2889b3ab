package main

import (
	"fmt"

	"dapplegate/internal/config"
)

// parseStored parses a configuration from the store. It must be complete, since the environment adds nothing to it, and be
// that of the named initiator.
func parseStored(name string, text []byte) (*config.Config, error) {
	cfg, err := config.Parse(text, config.NoEnvironment)
	if err != nil {
		return nil, err
	}
	if cfg.Name != name {
		return nil, &config.FieldError{Field: "name", Err: fmt.Errorf("the configuration is %q's, not %q's", cfg.Name, name)}
	}
	return cfg, nil
}

// checkStored returns an error if the named initiator could not start with the configuration.
func checkStored(name string, text []byte) error {
	_, err := parseStored(name, text)
	return err
}
