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

const upSheetTimeout = 40 * time.Second

func upCommand() *cobra.Command {
	seconds := 600
	command := &cobra.Command{
		Use:   "up",
		Short: "Run the first deployment with its first sheet and without load, to try commands manually",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runFleet(cmd.Context(), time.Duration(seconds)*time.Second)
		},
	}
	command.Flags().IntVar(&seconds, "seconds", seconds, "duration in seconds")
	return command
}

// runFleet runs the first deployment without load until d has elapsed or ctx is done.
func runFleet(ctx context.Context, d time.Duration) error {
	binary, remove, err := buildProgram()
	if err != nil {
		return err
	}
	defer remove()
	dir, err := os.MkdirTemp("", "stepwick-rig-")
	if err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	deployment, err := fleet.New(fleet.FirstDeployment(), binary, dir, history.NewRecorder(1), 1)
	if err != nil {
		return err
	}
	defer deployment.Close()
	if err := deployment.Start(); err != nil {
		return err
	}
	answer := submitFirstSheet(ctx, deployment)
	fmt.Printf("program %s\nfolder %s\noperator key %s\ntenant key key-of-press\nfirst sheet: status %d code %d epoch %d\n",
		binary, dir, fleet.OperatorKeys["ade"], answer.Status, answer.Code, answer.Version)
	for _, node := range deployment.Nodes {
		pid, _ := node.Running()
		fmt.Printf("%-8s %-12s %s pid %d\n", node.Name, node.ZoneName(), node.CallerAddress, pid)
	}
	owner.Sleep(ctx, d)
	return nil
}

// submitFirstSheet submits the sheet of the first deployment and returns the last
// answer.
func submitFirstSheet(ctx context.Context, f *fleet.Fleet) history.Order {
	ctx, cancel := context.WithTimeout(ctx, upSheetTimeout)
	defer cancel()
	operators := loadgen.NewOperators(f, 1)
	key := operators.NextKey()
	sheet := loadgen.NewSheet(f, loadgen.FirstTenants(), key)
	return operators.Submit(ctx, operators.Put("ade", 0, sheet, key), f.Nodes)
}
