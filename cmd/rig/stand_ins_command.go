package main

import (
	"context"
	"fmt"

	"github.com/spf13/cobra"

	"stepwick/cmd/rig/emulator"
	"stepwick/cmd/rig/history"
)

// operatingPlatformAddress is the address of the platform in docs/OPERATING.md.
const operatingPlatformAddress = "127.0.9.200:8500"

// operatingServers are the servers of docs/OPERATING.md.
var operatingServers = []emulator.ListedServer{
	{
		Name:     "m-1",
		Address:  "127.0.9.201:8000",
		Kind:     history.KindModel,
		Services: []string{"chat"},
		Region:   "lagos",
		Zone:     "a",
	},
	{
		Name:     "m-2",
		Address:  "127.0.9.202:8000",
		Kind:     history.KindModel,
		Services: []string{"chat"},
		Region:   "lagos",
		Zone:     "b",
	},
	{
		Name:     "m-3",
		Address:  "127.0.9.203:8000",
		Kind:     history.KindModel,
		Services: []string{"chat"},
		Region:   "abeokuta",
		Zone:     "a",
	},
	{
		Name:     "m-4",
		Address:  "127.0.9.204:8000",
		Kind:     history.KindModel,
		Services: []string{"chat"},
		Region:   "abeokuta",
		Zone:     "a",
	},
	{
		Name:     "w-1",
		Address:  "127.0.9.205:8000",
		Kind:     history.KindWeb,
		Services: []string{"outage"},
		Region:   "lagos",
		Zone:     "a",
	},
}

func standInsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "stand-ins",
		Short: "Run the platform, model and web servers of docs/OPERATING.md until a signal",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return runStandIns(cmd.Context()) },
	}
}

// runStandIns runs the emulated platform and servers until ctx ends.
func runStandIns(ctx context.Context) error {
	recorder := history.NewRecorder(1)
	defer recorder.Close()
	platform := emulator.NewPlatform(operatingPlatformAddress, recorder)
	if err := platform.Start(); err != nil {
		return err
	}
	defer platform.Close()
	for i, listed := range operatingServers {
		stop, err := startServer(listed, recorder, uint64(i))
		if err != nil {
			return err
		}
		defer stop()
		listed.State = "ready"
		platform.PutServer(listed)
	}
	fmt.Printf("platform at http://%s/servers, %d servers\n", operatingPlatformAddress, len(operatingServers))
	<-ctx.Done()
	return nil
}

// startServer starts an emulated server; a model server skips its warm-up.
func startServer(listed emulator.ListedServer, recorder *history.Recorder, seed uint64) (stop func(), err error) {
	if listed.Kind == history.KindWeb {
		server := emulator.NewWebServer(listed.Name, listed.Address, listed.Services, recorder, seed)
		return server.Close, server.Start()
	}
	server := emulator.NewModelServer(listed.Name, listed.Address, listed.Services, emulator.TypicalModelSpec(), recorder, seed)
	if err := server.Start(); err != nil {
		return server.Close, err
	}
	server.SkipWarmUp()
	return server.Close, nil
}
