package main

import (
	"os"

	"github.com/spf13/cobra"

	"dapplegate/internal/config"
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
				getenv = config.FileEnvironment(args[0])
			}
			return check(cmd, getenv, operatorFile)
		},
	}
	cmd.Flags().StringVar(&operatorFile, "operator", "", "path of an operator's file (TOML) to validate as well")
	return cmd
}

// check validates the configuration and, unless its path is empty, the operator's file, and prints a summary of them.
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
