package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplegate/internal/config"
)

// The messages and the reason that are logged about configurations, whether from the file or from the store.
const (
	eventConfigAccepted   = "configuration accepted"
	eventConfigRejected   = "configuration rejected"
	reasonConfigNotServed = "CONFIG_NOT_SERVED" // the configuration, the operator's file or a listen address cannot be used
)

// serveFlags holds the flags of the serve command.
type serveFlags struct {
	operatorFile string
	agents       []string
	logLevel     slog.Level
}

func serveCommand() *cobra.Command {
	var flags serveFlags
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run an initiator with the configuration that the environment names",
		Args:  cobra.NoArgs,
		RunE:  func(*cobra.Command, []string) error { return runServe(flags) },
	}
	cmd.Flags().StringVar(&flags.operatorFile, "operator", "",
		"path of an operator's file (TOML), such as deploy/nvme.toml")
	cmd.Flags().TextVar(&flags.logLevel, "log-level", slog.LevelInfo,
		"minimum level of log messages; debug logs the steps of each request")
	cmd.Flags().StringSliceVar(&flags.agents, "agents", nil,
		"take the configuration of the initiator named by PROXY_NAME from the agents at these addresses, and follow its changes")
	return cmd
}

// runServe runs an initiator until SIGTERM or SIGINT, then shuts it down gracefully and returns.
func runServe(flags serveFlags) error {
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: flags.logLevel}))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	// Handle SIGHUP before the configuration is loaded, because its default action is to end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)

	if len(flags.agents) > 0 {
		go ignoreReloads(hangups, log)
		return follow(ctx, flags.agents, os.Getenv, flags.operatorFile, log)
	}
	cfg, operator, err := loadConfig(os.Getenv, flags.operatorFile)
	if err != nil {
		return err
	}
	discoveryAddrs := watchReloads(hangups, os.Getenv, cfg.Discovery, log)
	return serve(ctx, cfg, operator, log, runOptions{discoveryAddrs: discoveryAddrs})
}

// ignoreReloads logs each SIGHUP and otherwise ignores it, in a process that has no configuration file to reload.
func ignoreReloads(hangups <-chan os.Signal, log *slog.Logger) {
	for range hangups {
		log.Info("nothing to reload", slog.String("reason", "NO_CONFIG_FILE"))
	}
}

// loadConfig reads the platform's configuration and, unless its path is empty, the operator's file.
func loadConfig(getenv func(string) string, operatorFile string) (*config.Config, *config.OperatorFile, error) {
	cfg, err := config.Load(getenv)
	if err != nil {
		return nil, nil, err
	}
	operator, err := readOperator(operatorFile, cfg)
	return cfg, operator, err
}

// readOperator reads the operator's file. An empty path stands for a file that sets up nothing.
func readOperator(path string, cfg *config.Config) (*config.OperatorFile, error) {
	if path == "" {
		return &config.OperatorFile{}, nil
	}
	return config.ReadOperatorFile(path, cfg)
}
