package main

import (
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"
)

func checkCommand() *cobra.Command {
	var operatorFile string
	cmd := &cobra.Command{
		Use:   "check [config.json]",
		Short: "Validate a configuration without starting anything",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			getenv := os.Getenv
			if len(args) == 1 {
				getenv = onlyConfigFile(args[0])
			}
			return check(cmd, getenv, operatorFile)
		},
	}
	cmd.Flags().StringVar(&operatorFile, "operator", "", "an operator's file (TOML) to validate as well")
	return cmd
}

// check validates the configuration and prints what it sets up.
func check(cmd *cobra.Command, getenv func(string) string, operatorFile string) error {
	cfg, operator, err := loadConfig(getenv, operatorFile)
	if err != nil {
		return err
	}
	printf(cmd, "%s: %d classes, %d plans, listens at %s\n",
		cfg.Name, len(cfg.Scheduler.Classes), len(cfg.Scheduler.Plans), cfg.Listen)
	if operator.NVMe != nil {
		printf(cmd, "NVMe over TCP: %d namespaces, listens at %s\n", len(operator.NVMe.Namespaces), operator.NVMe.Listen)
	}
	return nil
}

// onlyConfigFile is an environment in which only the configuration file is set.
func onlyConfigFile(path string) func(string) string {
	return func(name string) string {
		if name == "PROXY_CONFIG" {
			return path
		}
		return ""
	}
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version of this program",
		Args:  cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) {
			printf(cmd, "initiator %s\n", buildVersion())
		},
	}
}

// buildVersion returns the module's version and, where the build knows it, the revision.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			version += " " + setting.Value
		}
	}
	return version
}
