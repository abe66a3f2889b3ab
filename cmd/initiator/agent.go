package main

import (
	"context"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"dapplegate/internal/config"
	"dapplegate/internal/configstore"
)

func agentCommand() *cobra.Command {
	var operatorFile string
	cmd := &cobra.Command{
		Use:   "agent",
		Short: "Run one of the agents that store the initiators' configurations",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := config.ReadAgent(operatorFile)
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return runAgent(ctx, settings, slog.New(slog.NewTextHandler(os.Stderr, nil)))
		},
	}
	cmd.Flags().StringVar(&operatorFile, "operator", "deploy/agent.toml",
		"path of the operator's file (TOML) that lists the agents")
	return cmd
}

// runAgent runs an agent, which is one server of the configuration store, until ctx is done or the server fails.
func runAgent(ctx context.Context, settings *config.Agent, log *slog.Logger) error {
	listener, err := net.Listen("tcp", settings.API())
	if err != nil {
		return settings.APIAddrError(err)
	}
	store, err := configstore.Start(configstore.Options{
		ID:       settings.ID,
		Dir:      settings.Dir,
		Peers:    storePeers(settings.Peers),
		Logger:   log,
		Validate: checkStored,
	})
	if err != nil {
		_ = listener.Close() // the error from Start takes precedence
		return err
	}
	log.Info("agent started", slog.String("id", settings.ID), slog.String("listen", settings.API()))
	failed := make(chan error, 1)
	go func() { failed <- store.Serve(listener) }()
	select {
	case err := <-failed:
		_ = store.Shutdown() // the error from Serve takes precedence
		return err
	case <-ctx.Done():
		return store.Shutdown()
	}
}

// storePeers converts the peers in the operator's file for the configuration store.
func storePeers(peers []config.Peer) []configstore.Peer {
	converted := make([]configstore.Peer, 0, len(peers))
	for _, peer := range peers {
		converted = append(converted, configstore.Peer(peer))
	}
	return converted
}
