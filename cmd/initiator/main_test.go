package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs the program with the given arguments and returns its output and error.
func runCommand(args ...string) (string, error) {
	var out strings.Builder
	root := rootCommand()
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

// TestCommands runs the commands that need no running initiator. An error of validation must name the invalid field, and one
// initiator's configuration must not be written under the name of another.
func TestCommands(t *testing.T) {
	b := newTestbed(t)
	configFile := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, configFile, b.config())
	if out, err := runCommand("check", configFile); err != nil || !strings.HasPrefix(out, "n1: 1 classes") {
		t.Errorf("check of a valid configuration: %q, %v", out, err)
	}
	if out, err := runCommand("version"); err != nil || !strings.HasPrefix(out, "initiator ") {
		t.Errorf("version: %q, %v", out, err)
	}
	_, err := runCommand("config", "put", "n2", configFile, "--agents", "127.0.0.1:1")
	if err == nil || !strings.Contains(err.Error(), "n1") {
		t.Errorf("config put of n1's configuration under the name n2: %v, want an error that names n1", err)
	}
	writeFile(t, configFile, strings.Replace(b.config(), "n1", "", 1))
	if _, err := runCommand("check", configFile); err == nil || !strings.Contains(err.Error(), "name") {
		t.Errorf("check of a configuration without a name: %v, want an error that names the field", err)
	}
	if _, err := runCommand("config", "put", "n2", configFile, "--agents", "127.0.0.1:1"); err == nil {
		t.Error("config put accepted a configuration without a name")
	}
}
