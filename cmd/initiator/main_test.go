package main

import (
	"path/filepath"
	"strings"
	"testing"
)

// runCommand runs the program's command line and returns what it prints.
func runCommand(args ...string) (string, error) {
	var out strings.Builder
	root := rootCommand()
	root.SetOut(&out)
	root.SetArgs(args)
	err := root.Execute()
	return out.String(), err
}

// TestCommands runs the commands that need no running initiator. Validation names the field that cannot be used, and an
// initiator's configuration cannot be written under the name of another.
func TestCommands(t *testing.T) {
	b := newTestbed(t)
	configFile := filepath.Join(t.TempDir(), "config.json")
	writeFile(t, configFile, b.config())
	if out, err := runCommand("check", configFile); err != nil || !strings.HasPrefix(out, "n1: 1 classes") {
		t.Errorf("check: %q, %v", out, err)
	}
	if out, err := runCommand("version"); err != nil || !strings.HasPrefix(out, "initiator ") {
		t.Errorf("version: %q, %v", out, err)
	}
	_, err := runCommand("config", "put", "n2", configFile, "--agents", "127.0.0.1:1")
	if err == nil || !strings.Contains(err.Error(), "n1") {
		t.Errorf("n1's configuration was written as n2's: %v", err)
	}
	writeFile(t, configFile, strings.Replace(b.config(), "n1", "", 1))
	if _, err := runCommand("check", configFile); err == nil || !strings.Contains(err.Error(), "name") {
		t.Errorf("check of a configuration without a name: %v", err)
	}
	if _, err := runCommand("config", "put", "n2", configFile, "--agents", "127.0.0.1:1"); err == nil {
		t.Error("a configuration without a name was written")
	}
}
