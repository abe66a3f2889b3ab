package main

import (
	"encoding/json"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"dapplegate/internal/configstore"
)

// anyVersion is the default of --if-version, which makes a write unconditional.
const anyVersion = -1

// configCommand groups the commands that read and write configurations in the store.
func configCommand() *cobra.Command {
	client := &configstore.Client{}
	cmd := &cobra.Command{Use: "config", Short: "Read and write the initiators' configurations that the agents store"}
	cmd.PersistentFlags().StringSliceVar(&client.Addrs, "agents", []string{"127.0.0.1:7701"}, "addresses of the agents")
	cmd.AddCommand(configGetCommand(client), configListCommand(client), configPutCommand(client),
		configDeleteCommand(client), configStatusCommand(client))
	return cmd
}

func configGetCommand(client *configstore.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "get NAME",
		Short: "Print an initiator's configuration",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			entry, err := client.Get(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			return encoder.Encode(entry)
		},
	}
}

func configListCommand(client *configstore.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the initiators and the versions of their configurations",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			versions, err := client.List(cmd.Context())
			if err != nil {
				return err
			}
			for _, name := range slices.Sorted(maps.Keys(versions)) {
				printf(cmd, "%s\t%d\n", name, versions[name])
			}
			return nil
		},
	}
}

func configPutCommand(client *configstore.Client) *cobra.Command {
	var ifVersion int64
	cmd := &cobra.Command{
		Use:   "put NAME FILE",
		Short: "Write an initiator's configuration from FILE, or from standard input if FILE is -",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			name := args[0]
			text, err := readInput(cmd, args[1])
			if err != nil {
				return err
			}
			if err := checkStored(name, text); err != nil {
				return err
			}
			return writeConfig(cmd, client, name, text, ifVersion)
		},
	}
	addIfVersionFlag(cmd, &ifVersion)
	return cmd
}

func configDeleteCommand(client *configstore.Client) *cobra.Command {
	var ifVersion int64
	cmd := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete an initiator's configuration; a running initiator keeps the one that it has",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return writeConfig(cmd, client, args[0], nil, ifVersion)
		},
	}
	addIfVersionFlag(cmd, &ifVersion)
	return cmd
}

func configStatusCommand(client *configstore.Client) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show each agent's state, leader and last applied log entry",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, status := range client.Status(cmd.Context()) {
				printf(cmd, "%s\t%s\tleader=%s\tapplied=%d\n", status.ID, status.State, status.Leader, status.Applied)
			}
			return nil
		},
	}
}

func addIfVersionFlag(cmd *cobra.Command, ifVersion *int64) {
	cmd.Flags().Int64Var(ifVersion, "if-version", anyVersion,
		"apply only if the stored version is this one; 0: only if none is stored; negative: always")
}

// writeConfig writes a configuration, or deletes it if text is nil, and prints the resulting version. A negative ifVersion
// makes the write unconditional.
func writeConfig(cmd *cobra.Command, client *configstore.Client, name string, text []byte, ifVersion int64) error {
	condition := ""
	if ifVersion >= 0 {
		condition = strconv.FormatInt(ifVersion, 10)
	}
	entry, err := client.Put(cmd.Context(), name, text, condition)
	if err != nil {
		return err
	}
	printf(cmd, "%s\t%d\n", entry.Name, entry.Version)
	return nil
}

// readInput reads the named file, or standard input if the name is "-".
func readInput(cmd *cobra.Command, name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(name)
}
