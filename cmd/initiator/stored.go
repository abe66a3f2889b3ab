package main

import (
	"fmt"

	"dapplegate/internal/config"
)

// parseStored parses a configuration from the store. The configuration must be complete, because the environment does not
// override any field, and it must have the initiator's name.
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

// checkStored returns an error if the configuration is incomplete or invalid, or belongs to another initiator.
func checkStored(name string, text []byte) error {
	_, err := parseStored(name, text)
	return err
}
