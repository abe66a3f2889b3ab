package config

import (
	"fmt"

	"github.com/BurntSushi/toml"
)

// OperatorFile is the operator's file (TOML). It configures features that the platform's configuration does not cover.
// Without the file, all of them are off.
type OperatorFile struct {
	// NVMe serves NVMe over TCP instead of the platform's HTTP; nil: off.
	NVMe *NVMe `toml:"nvme"`
	// Agent runs a server of the configuration store; nil: off.
	Agent *Agent `toml:"agent"`
}

// ReadOperatorFile reads the operator's file at path and validates it against the platform's configuration. Unknown fields
// are rejected, because a misspelt field would otherwise silently have no effect. An absent, invalid or unknown field is
// reported as a *FieldError. A file that cannot be read, is malformed or has a field of the wrong type is reported as
// another error.
func ReadOperatorFile(path string, platform *Config) (*OperatorFile, error) {
	operator, err := decodeOperatorFile(path)
	if err != nil || operator.NVMe == nil {
		return operator, err
	}
	operator.NVMe.applyDefaults()
	if err := operator.NVMe.validate(platform); err != nil {
		return operator, operatorFileError(PrefixField("nvme", err))
	}
	return operator, nil
}

// ReadAgent reads the operator's file at path and returns its agent section, which is required.
func ReadAgent(path string) (*Agent, error) {
	operator, err := decodeOperatorFile(path)
	if err != nil {
		return nil, err
	}
	if operator.Agent == nil {
		return nil, operatorFileError(MissingField("agent"))
	}
	return operator.Agent, nil
}

// decodeOperatorFile decodes the file and validates everything that does not depend on the platform's configuration.
func decodeOperatorFile(path string) (*OperatorFile, error) {
	var operator OperatorFile
	meta, err := toml.DecodeFile(path, &operator)
	if err != nil {
		return nil, operatorFileError(err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, operatorFileError(fieldError(unknown[0].String(), "unknown field"))
	}
	if operator.Agent != nil {
		if err := operator.Agent.validate(); err != nil {
			return nil, operatorFileError(PrefixField("agent", err))
		}
	}
	return &operator, nil
}

func operatorFileError(err error) error { return fmt.Errorf("operator's file: %w", err) }
