package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"stepwick/cmd/rig/fleet"
	"stepwick/cmd/rig/history"
	"stepwick/cmd/rig/loadgen"
	"stepwick/cmd/rig/owner"
)

func upCommand() *cobra.Command {
	length := 600
	c := &cobra.Command{Use: "up", Short: "Run the first deployment with its first sheet and no load, to try commands by hand",
		RunE: func(cmd *cobra.Command, _ []string) error {
			binary, remove, err := built()
			if err != nil {
				return err
			}
			defer remove()
			dir, err := os.MkdirTemp("", "stepwick-rig-")
			if err != nil {
				return errors.Wrap(err, "temp folder")
			}
			defer os.RemoveAll(dir)
			f, err := fleet.New(fleet.FirstDeployment(), binary, dir, history.NewRecorder(1), 1)
			if err != nil {
				return err
			}
			defer f.Close()
			if err := f.Start(); err != nil {
				return err
			}
			control := loadgen.NewOperators(f, 1)
			key := control.NextKey()
			ctx, cancel := context.WithTimeout(cmd.Context(), 40*time.Second)
			defer cancel()
			told := control.Submit(ctx, control.Put("ade", 0, loadgen.NewSheet(f, loadgen.FirstTenants(), key), key), f.Nodes)
			fmt.Printf("program %s\nfolder %s\noperator key %s\ntenant key key-of-press\nfirst sheet: status %d code %d epoch %d\n", binary, dir, fleet.OperatorKeys["ade"], told.Status, told.Code, told.Version)
			for _, n := range f.Nodes {
				pid, _ := n.Running()
				fmt.Printf("%-8s %-12s %s pid %d\n", n.Name, n.ZoneName(), n.CallerAddress, pid)
			}
			owner.Sleep(cmd.Context(), time.Duration(length)*time.Second)
			return nil
		}}
	c.Flags().IntVar(&length, "seconds", length, "how long to run")
	return c
}
